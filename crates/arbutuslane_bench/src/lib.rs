//! Scenario runs of decision code in virtual time, result files and plots.

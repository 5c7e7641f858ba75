//! Replicated log for the catalogue: elections, commits, membership changes.

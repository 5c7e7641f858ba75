//! Stand-in backend server and caller for demos, tests and measurements.

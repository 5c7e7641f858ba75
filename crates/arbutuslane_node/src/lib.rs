//! The node daemon: entry, admission beside backend servers, record replica.

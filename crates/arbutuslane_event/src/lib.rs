//! Time line of events with hybrid logical clock stamps, metrics and the log format.

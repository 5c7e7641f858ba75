//! Monotonic time for decision code.

use std::time::{Duration, Instant};

/// A point in time, counted from the start of the process or of a test.
pub type Time = Duration;

/// A monotonic clock that measures [`Time`] since its creation.
///
/// ```
/// use arbutuslane_core::time::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose origin is the current instant.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }
}

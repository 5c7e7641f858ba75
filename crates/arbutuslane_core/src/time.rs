//! Monotonic time for decision code.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

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
    id: ClockId,
    origin: Duration,
}

impl Clock {
    /// Starts a clock whose origin is the current instant. It stops while the machine is suspended.
    pub fn start() -> Self {
        Self::start_with(ClockId::Monotonic)
    }

    /// Starts a clock that also counts the time for which the machine is suspended.
    ///
    /// A permission that expires, such as the lease of a server, needs this clock: the process that
    /// granted the permission may have gone on while this machine was suspended.
    pub fn start_counting_suspension() -> Self {
        Self::start_with(ClockId::Boottime)
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Time {
        read(self.id).saturating_sub(self.origin)
    }

    fn start_with(id: ClockId) -> Self {
        Self { id, origin: read(id) }
    }
}

/// Returns a duration in whole milliseconds, for messages and log lines.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(arbutuslane_core::time::millis(Duration::from_micros(2_900)), 2);
/// ```
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of a clock of the system, since its own origin.
fn read(id: ClockId) -> Duration {
    // The clocks that are used here are never negative.
    clock_gettime(id).try_into().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the seconds for which the system has run, with the time for which it was suspended.
    fn uptime() -> f64 {
        let text = std::fs::read_to_string("/proc/uptime").unwrap();
        text.split(' ').next().unwrap().parse().unwrap()
    }

    /// Guards against a clock for permissions that does not read the system's time with suspensions.
    #[test]
    fn start_counting_suspension_origin() {
        let clock = Clock::start_counting_suspension();
        let difference = uptime() - (clock.origin + clock.now()).as_secs_f64();
        assert!(difference.abs() < 1.0, "{difference}");
        assert!(clock.now() < Duration::from_secs(10));
    }
}

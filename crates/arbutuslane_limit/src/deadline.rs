//! The time until which the response to a request is useful.

use std::time::Duration;

use arbutuslane_core::time::{Time, millis};

/// The point in time at which a request expires, by the clock of the process that handles it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    at: Time,
}

impl Deadline {
    /// Returns the deadline `remaining` after `now`.
    pub fn after(now: Time, remaining: Duration) -> Self {
        Self { at: now.saturating_add(remaining) }
    }

    /// Returns the deadline as a point in time.
    pub fn at(&self) -> Time {
        self.at
    }

    /// Returns the remaining time, zero after expiry.
    pub fn remaining(&self, now: Time) -> Duration {
        self.at.saturating_sub(now)
    }

    /// Returns the remaining time in whole milliseconds, rounded down so that no hop extends a
    /// deadline.
    pub fn remaining_ms(&self, now: Time) -> u64 {
        millis(self.remaining(now))
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.at
    }

    /// Returns the deadline for the next hop, earlier by the `allowance` for the response's way
    /// back.
    pub fn reduced(&self, allowance: Duration) -> Self {
        Self { at: self.at.saturating_sub(allowance) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a hop that passes on more time than it was given.
    #[test]
    fn remaining_ms_rounds_down() {
        let deadline = Deadline::after(Duration::ZERO, Duration::from_micros(1_999));
        assert_eq!(deadline.remaining_ms(Duration::ZERO), 1);
        assert_eq!(deadline.remaining_ms(Duration::from_secs(9)), 0);
        assert!(deadline.is_expired(Duration::from_micros(1_999)));
    }
}

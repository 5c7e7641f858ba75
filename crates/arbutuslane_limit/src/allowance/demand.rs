//! The rate at which requests of a workspace arrive at an entry.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The time over which arrivals are averaged. After a longer one, callers that moved to another entry
/// would leave more unused tokens behind.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// An exponentially weighted rate of arrivals.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    per_second: f64,
    updated_at: Time,
}

impl Demand {
    /// Records an arrival.
    pub(super) fn observe(&mut self, now: Time) {
        self.per_second = self.per_second(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the arrivals a second.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_second * (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

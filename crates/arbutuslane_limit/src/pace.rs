//! Spaces the starts of requests at a server that states how many it accepts in a second.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The time whose share of requests may start together. Requests arrive in bursts, and without it
/// half of the stated rate would stay unused.
const BURST: Duration = Duration::from_millis(500);

/// The lowest rate, in requests a second. Only a response shows that a server accepts more again, so
/// that a server that accepted none at all would never be used again.
const MIN_RATE: f64 = 0.25;

/// The rate at which a server accepts requests.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::pace::Pace;
///
/// let mut pace = Pace::new(1.0, Duration::ZERO);
/// assert_eq!(pace.wait(Duration::ZERO), Duration::from_millis(500));
/// pace.record_start(Duration::from_secs(1));
/// assert!(pace.wait(Duration::from_secs(1)) > Duration::ZERO);
/// ```
#[derive(Debug, Clone)]
pub struct Pace {
    /// The time between two starts at the stated rate.
    interval: Duration,
    /// The time at which the next request would start if all were spaced evenly.
    next_start: Time,
}

impl Pace {
    /// Returns the pace of a server that accepts `per_second` requests a second from now on.
    pub fn new(per_second: f64, now: Time) -> Self {
        let interval = interval(per_second);
        Self { interval, next_start: now + interval }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, per_second: f64, now: Time) {
        let interval = interval(per_second);
        if interval != self.interval {
            self.interval = interval;
            self.next_start = self.next_start.min(now + interval);
        }
    }

    /// Returns the time until a request may start.
    pub fn wait(&self, now: Time) -> Duration {
        self.next_start.saturating_sub(now + BURST)
    }

    /// Returns the time until a request may start that follows `others` other ones.
    pub fn wait_behind(&self, others: u32, now: Time) -> Duration {
        let start = self.next_start.max(now) + self.interval.saturating_mul(others);
        start.saturating_sub(now + BURST)
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Time) {
        self.next_start = self.next_start.max(now) + self.interval;
    }
}

fn interval(per_second: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_second.max(MIN_RATE))
}

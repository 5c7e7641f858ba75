//! Recognizes callers' resends of failed requests.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::budget::Origin;

/// The shortest time for which a failed request is remembered. Callers that resend later than this
/// do not cause a retry storm.
const MIN_RETENTION: Duration = Duration::from_secs(10);

/// The most failed requests that are remembered per period of 10 s. Resends of any further ones
/// count as new requests.
const MAX_IDS_PER_PERIOD: usize = 4_096;

/// The ids of recently failed requests.
///
/// A request counts as a resend only if one with the same id has failed before: two equal lookups
/// of one caller that both succeed are new work.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::prelude::*;
///
/// let mut failures = RecentFailures::default();
/// let now = Duration::ZERO;
/// assert_eq!(failures.origin(7, now), Origin::First);
/// failures.record(7, now);
/// assert_eq!(failures.origin(7, now), Origin::Resend);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentFailures {
    current: Vec<u64>,
    previous: Vec<u64>,
    period_start: Time,
}

impl RecentFailures {
    /// Returns whether request `id` is new or a resend of a failed one.
    pub fn origin(&mut self, id: u64, now: Time) -> Origin {
        self.rotate(now);
        let known =
            [&self.current, &self.previous].iter().any(|ids| ids.binary_search(&id).is_ok());
        if known { Origin::Resend } else { Origin::First }
    }

    /// Records that request `id` failed or was refused.
    pub fn record(&mut self, id: u64, now: Time) {
        self.rotate(now);
        if self.current.len() == MAX_IDS_PER_PERIOD {
            return;
        }
        if let Err(index) = self.current.binary_search(&id) {
            self.current.insert(index, id);
        }
    }

    fn rotate(&mut self, now: Time) {
        let age = now.saturating_sub(self.period_start);
        if age < MIN_RETENTION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * MIN_RETENTION {
            self.previous.clear();
        }
        self.period_start = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an old failure that makes all later requests with its id count as resends.
    #[test]
    fn origin_forgotten() {
        let mut failures = RecentFailures::default();
        failures.record(1, Duration::from_secs(9));
        assert_eq!(failures.origin(1, Duration::from_secs(19)), Origin::Resend);
        assert_eq!(failures.origin(1, Duration::from_secs(29)), Origin::First);
    }

    /// Guards against memory that grows without bound during an outage with many failures.
    #[test]
    fn record_bounded() {
        let mut failures = RecentFailures::default();
        for id in 0..10_000 {
            failures.record(id, Duration::ZERO);
        }
        assert_eq!(failures.current.len(), MAX_IDS_PER_PERIOD);
        assert_eq!(failures.origin(9_999, Duration::ZERO), Origin::First);
    }
}

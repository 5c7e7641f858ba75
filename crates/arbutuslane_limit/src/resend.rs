//! Recognizes a caller's resend of a request that has failed.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::budget::Origin;

/// How long a failed request is remembered at least; callers that send again later are no storm.
const KEPT: Duration = Duration::from_secs(10);

/// The most failed requests of one period. More than this in 10 s are not told from new ones.
const CAPACITY: usize = 4_096;

/// The requests that failed lately.
///
/// A request counts as a resend only after one with the same id has failed, because two equal
/// lookups of one caller that are both answered are new work.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::prelude::*;
///
/// let mut failures = Failures::default();
/// let now = Duration::ZERO;
/// assert_eq!(failures.origin(7, now), Origin::First);
/// failures.record(7, now);
/// assert_eq!(failures.origin(7, now), Origin::Resend);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Failures {
    current: Vec<u64>,
    previous: Vec<u64>,
    began: Time,
}

impl Failures {
    /// Returns whether the request `id` is a resend of a failed one.
    pub fn origin(&mut self, id: u64, now: Time) -> Origin {
        self.rotate(now);
        let known =
            [&self.current, &self.previous].iter().any(|ids| ids.binary_search(&id).is_ok());
        if known { Origin::Resend } else { Origin::First }
    }

    /// Takes in that the request `id` failed or was refused.
    pub fn record(&mut self, id: u64, now: Time) {
        self.rotate(now);
        if self.current.len() == CAPACITY {
            return;
        }
        if let Err(place) = self.current.binary_search(&id) {
            self.current.insert(place, id);
        }
    }

    fn rotate(&mut self, now: Time) {
        let age = now.saturating_sub(self.began);
        if age < KEPT {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * KEPT {
            self.previous.clear();
        }
        self.began = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a caller that is taken for a resender for ever.
    #[test]
    fn origin_forgotten() {
        let mut failures = Failures::default();
        failures.record(1, Duration::from_secs(9));
        assert_eq!(failures.origin(1, Duration::from_secs(19)), Origin::Resend);
        assert_eq!(failures.origin(1, Duration::from_secs(29)), Origin::First);
    }

    /// Guards against memory that grows with the failures of a bad night.
    #[test]
    fn record_bounded() {
        let mut failures = Failures::default();
        for id in 0..10_000 {
            failures.record(id, Duration::ZERO);
        }
        assert_eq!(failures.current.len(), CAPACITY);
        assert_eq!(failures.origin(9_999, Duration::ZERO), Origin::First);
    }
}

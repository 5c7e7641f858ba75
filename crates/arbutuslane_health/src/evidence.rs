//! The evidence of requests as log-likelihood ratios, and the tests that sum it up.

use arbutuslane_core::time::Time;

use crate::cusum::{Cusum, Group, Mix};
use crate::peers::Peers;

/// The two tests over the requests of one class, or of all classes together.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pub(crate) mix: Mix,
    pub(crate) failure: Cusum,
    slowness: Cusum,
    /// When the slowness sum last rose from (almost) nothing.
    pub(crate) slow_since: Option<Time>,
}

/// Sums end at this multiple of the threshold, so that a recovered server is cleared soon.
pub(crate) const LIMIT: f64 = 2.5;

/// The sum from which on slowness is taken to have begun.
const SLOW_BEGINS: f64 = 2.0;

/// The shares of requests (up to the median, up to the 90th percentile, above) of a healthy server.
/// They allow for a server about 10% slower than its peers; one 50% slower is as likely under both
/// hypotheses.
const HEALTHY: [f64; 3] = [0.48, 0.40, 0.12];

/// The same shares of an unhealthy server.
const UNHEALTHY: [f64; 3] = [0.12, 0.33, 0.55];

/// Multiples of the 90th percentile at which the age of a request is evidence.
pub(crate) const AGES: [f64; 7] = [1.0, 1.414, 2.0, 2.828, 4.0, 5.657, 8.0];

/// The share of requests at one age that a healthy server lets reach the next, 0.3 for each
/// doubling. A log-normal with a deviation of 1 has 0.24, a Pareto tail of exponent 1.7 has 0.3.
const AGED_HEALTHY: f64 = 0.548;

/// The same share of an unhealthy server, 0.64 for each doubling.
const AGED_UNHEALTHY: f64 = 0.8;

/// The share of slow requests among the peers up to which slowness is full evidence.
const SLOW_USUAL: f64 = 0.15;

/// The share from which slowness is no evidence at all.
const SLOW_SERVICE: f64 = 0.35;

impl Evidence {
    /// Adds the ratio of one request to the slowness test.
    pub(crate) fn add_slowness(&mut self, ratio: f64, group: Group, limit: f64, now: Time) {
        self.slowness.add(ratio, group, limit);
        if self.slowness.highest() < SLOW_BEGINS {
            self.slow_since = None;
        } else if self.slow_since.is_none() {
            self.slow_since = Some(now);
        }
    }

    /// Returns whether the failure test and the slowness test have reached the threshold.
    pub(crate) fn verdict(&self, threshold: f64) -> (bool, bool) {
        let limit = threshold * LIMIT;
        let failing = self.failure.reaches(threshold, limit, &self.mix);
        (failing, self.slowness.reaches(threshold, limit, &self.mix))
    }

    /// Forgets the sums; the mix of callers and routes is a property of the service.
    pub(crate) fn reset(&mut self) {
        self.failure = Cusum::default();
        self.slowness = Cusum::default();
        self.slow_since = None;
    }
}

/// Returns how far slowness is evidence, from 1 when as many peers as usual are slow to 0 when the
/// whole service has slowed down and its quantiles have not followed yet.
pub(crate) fn confidence(peers: &Peers) -> f64 {
    (1.0 - (peers.slow - SLOW_USUAL) / (SLOW_SERVICE - SLOW_USUAL)).clamp(0.0, 1.0)
}

/// Returns the ratio of a request that grew older than the age of `level`.
pub(crate) fn passed(level: usize) -> f64 {
    match level {
        0 => ratio(1.0 - UNHEALTHY[0], 1.0 - HEALTHY[0]),
        1 => {
            let all = ratio(UNHEALTHY[2], HEALTHY[2]);
            all - ratio(1.0 - UNHEALTHY[0], 1.0 - HEALTHY[0])
        }
        _ => ratio(AGED_UNHEALTHY, AGED_HEALTHY),
    }
}

/// Returns the ratio of a request that ended before it reached the age of `level`.
pub(crate) fn stopped(level: usize) -> f64 {
    match level {
        0 => ratio(UNHEALTHY[0], HEALTHY[0]),
        1 => {
            let all = ratio(UNHEALTHY[1], HEALTHY[1]);
            all - ratio(1.0 - UNHEALTHY[0], 1.0 - HEALTHY[0])
        }
        level if level <= AGES.len() => ratio(1.0 - AGED_UNHEALTHY, 1.0 - AGED_HEALTHY),
        _ => 0.0,
    }
}

pub(crate) fn ratio(unhealthy: f64, healthy: f64) -> f64 {
    (unhealthy / healthy).ln()
}

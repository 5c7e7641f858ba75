//! The evidence of requests as log-likelihood ratios, and the sequential tests that sum them.

use arbutuslane_core::time::Time;

use crate::cusum::{Cusum, Group, GroupCounts};
use crate::peers::Peers;

/// The failure test and the slowness test over the requests of one class or of all classes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pub(crate) group_counts: GroupCounts,
    pub(crate) failure: Cusum,
    slowness: Cusum,
    /// When the slowness sum last rose to `SLOWNESS_START_SUM`, or `None` while it is lower.
    pub(crate) slow_since: Option<Time>,
}

/// Sums are limited to this multiple of the threshold, so that a recovered server is cleared soon.
pub(crate) const SUM_LIMIT_FACTOR: f64 = 2.5;

/// The sum at which slowness is considered to have begun.
const SLOWNESS_START_SUM: f64 = 2.0;

/// The shares of a healthy server's requests with a latency up to the peers' median, up to their
/// 90th percentile, and above. They allow for a server about 10% slower than its peers; the
/// requests of a server 50% slower are equally likely under both hypotheses.
const HEALTHY_LATENCY_SHARES: [f64; 3] = [0.48, 0.40, 0.12];

/// The same shares for an unhealthy server.
const UNHEALTHY_LATENCY_SHARES: [f64; 3] = [0.12, 0.33, 0.55];

/// The multiples of the 90th percentile at which the age of a request counts as evidence.
pub(crate) const AGE_MULTIPLES: [f64; 7] = [1.0, 1.414, 2.0, 2.828, 4.0, 5.657, 8.0];

/// The share of a healthy server's requests that exceed one of the `AGE_MULTIPLES` and also exceed
/// the next. It corresponds to 0.3 per doubling of the age: a log-normal distribution with a
/// standard deviation of 1 has 0.24, a Pareto tail with exponent 1.7 has 0.3.
const HEALTHY_NEXT_AGE_SHARE: f64 = 0.548;

/// The same share for an unhealthy server, 0.64 per doubling.
const UNHEALTHY_NEXT_AGE_SHARE: f64 = 0.8;

/// The share of slow requests among the peers up to which slowness counts as evidence in full.
const FULL_EVIDENCE_SLOW_SHARE: f64 = 0.15;

/// The share of slow requests among the peers from which slowness no longer counts as evidence.
const NO_EVIDENCE_SLOW_SHARE: f64 = 0.35;

impl Evidence {
    /// Adds a log-likelihood ratio of one request to the slowness test.
    pub(crate) fn add_slowness(&mut self, ratio: f64, group: Group, limit: f64, now: Time) {
        self.slowness.add(ratio, group, limit);
        if self.slowness.highest_sum() < SLOWNESS_START_SUM {
            self.slow_since = None;
        } else if self.slow_since.is_none() {
            self.slow_since = Some(now);
        }
    }

    /// Returns whether the failure test and whether the slowness test has reached the threshold.
    pub(crate) fn verdicts(&self, threshold: f64) -> (bool, bool) {
        let limit = threshold * SUM_LIMIT_FACTOR;
        let failing = self.failure.reaches(threshold, limit, &self.group_counts);
        (failing, self.slowness.reaches(threshold, limit, &self.group_counts))
    }

    /// Clears the sums, but not the counts of callers and routes, which describe the service's
    /// requests.
    pub(crate) fn reset(&mut self) {
        self.failure = Cusum::default();
        self.slowness = Cusum::default();
        self.slow_since = None;
    }
}

/// Returns the weight of slowness as evidence: 1 while the usual share of the peers' requests is
/// slow, falling to 0 when the whole service has slowed down and its quantiles do not show that
/// yet.
pub(crate) fn slowness_confidence(peers: &Peers) -> f64 {
    (1.0 - (peers.slow - FULL_EVIDENCE_SLOW_SHARE)
        / (NO_EVIDENCE_SLOW_SHARE - FULL_EVIDENCE_SLOW_SHARE))
        .clamp(0.0, 1.0)
}

/// Returns the log-likelihood ratio that a request adds when it exceeds the age of `age_level`.
pub(crate) fn age_passed_ratio(age_level: usize) -> f64 {
    match age_level {
        0 => {
            log_likelihood_ratio(1.0 - UNHEALTHY_LATENCY_SHARES[0], 1.0 - HEALTHY_LATENCY_SHARES[0])
        }
        1 => {
            let all = log_likelihood_ratio(UNHEALTHY_LATENCY_SHARES[2], HEALTHY_LATENCY_SHARES[2]);
            all - log_likelihood_ratio(
                1.0 - UNHEALTHY_LATENCY_SHARES[0],
                1.0 - HEALTHY_LATENCY_SHARES[0],
            )
        }
        _ => log_likelihood_ratio(UNHEALTHY_NEXT_AGE_SHARE, HEALTHY_NEXT_AGE_SHARE),
    }
}

/// Returns the log-likelihood ratio that a request adds when it ends before the age of `age_level`.
pub(crate) fn age_not_passed_ratio(age_level: usize) -> f64 {
    match age_level {
        0 => log_likelihood_ratio(UNHEALTHY_LATENCY_SHARES[0], HEALTHY_LATENCY_SHARES[0]),
        1 => {
            let all = log_likelihood_ratio(UNHEALTHY_LATENCY_SHARES[1], HEALTHY_LATENCY_SHARES[1]);
            all - log_likelihood_ratio(
                1.0 - UNHEALTHY_LATENCY_SHARES[0],
                1.0 - HEALTHY_LATENCY_SHARES[0],
            )
        }
        age_level if age_level <= AGE_MULTIPLES.len() => {
            log_likelihood_ratio(1.0 - UNHEALTHY_NEXT_AGE_SHARE, 1.0 - HEALTHY_NEXT_AGE_SHARE)
        }
        _ => 0.0,
    }
}

pub(crate) fn log_likelihood_ratio(unhealthy: f64, healthy: f64) -> f64 {
    (unhealthy / healthy).ln()
}

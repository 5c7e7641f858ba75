//! The normal latency and failures of a service, which owners merge from the summaries of entries.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

pub use crate::summarizer::Summarizer;
pub use crate::summary::Summary;

/// The normal performance of a server's peers for one class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peers {
    /// The median latency.
    pub median: Duration,
    /// The 90th percentile of the latency.
    pub p90: Duration,
    /// The share of recent requests that failed.
    pub failed: f64,
    /// The share of recent requests that were slower than the 90th percentile.
    pub slow: f64,
}

/// The peers' baseline of one server, merged from the summaries of several entries.
///
/// Quantiles are weighted medians over the entries, so that a single entry with wrong values does
/// not change them. Shares are pooled, because each entry alone sees few requests per second.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    classes: [ClassBaseline; Class::COUNT],
}

#[derive(Debug, Clone, Default)]
struct ClassBaseline {
    received: Vec<ReceivedSummary>,
    merged: Option<Peers>,
    /// The decayed number of recent requests.
    recent: f64,
    /// The decayed number of slow ones among them.
    slow: f64,
    merged_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedSummary {
    entry: u64,
    summary: Summary,
    at: Time,
}

/// The most entries whose summaries are stored; beyond that, a new one replaces the oldest.
const MAX_ENTRIES: usize = 16;

/// The time after which a summary is dropped.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(30);

/// The time after the arrival of a summary in which its shares lose half of their weight, in
/// seconds.
const SHARE_HALF_LIFE_S: f64 = 0.3;

/// The least time between two merges of summaries on arrival.
const MIN_MERGE_INTERVAL: Duration = Duration::from_millis(50);

/// The least number of requests behind the quantiles for a class to have a baseline.
const MIN_BASELINE_REQUESTS: f32 = 20.0;

/// The number of pseudo-observations that keep a share near its normal value while there are few
/// requests.
const PRIOR_REQUESTS: f64 = 10.0;

/// The normal share of requests above the 90th percentile.
const NORMAL_SLOW_SHARE: f64 = 0.1;

impl Baseline {
    /// Records a summary from the entry whose hash is `entry`.
    pub fn record(&mut self, entry: u64, summary: Summary, now: Time) {
        let class = &mut self.classes[summary.class.index()];
        let fresh = ReceivedSummary { entry, summary, at: now };
        if let Some(known) = class.received.iter_mut().find(|known| known.entry == entry) {
            *known = fresh;
        } else if class.received.len() < MAX_ENTRIES {
            class.received.push(fresh);
        } else if let Some(oldest) = class.received.iter_mut().min_by_key(|known| known.at) {
            *oldest = fresh;
        }
        if class.merged_at.is_none_or(|at| now.saturating_sub(at) >= MIN_MERGE_INTERVAL) {
            class.merge(now);
        }
    }

    /// Returns the normal performance for `class`, or `None` while it is based on too few requests.
    ///
    /// The share of slow requests is the higher one of the class and of all classes together.
    /// Otherwise a class with few requests per second would hide a slowdown of the whole service.
    pub fn peers(&self, class: Class) -> Option<Peers> {
        let merged = self.classes[class.index()].merged?;
        let (mut total, mut slow) = (PRIOR_REQUESTS, PRIOR_REQUESTS * NORMAL_SLOW_SHARE);
        for class in &self.classes {
            total += class.recent;
            slow += class.slow;
        }
        Some(Peers { slow: merged.slow.max(slow / total), ..merged })
    }

    /// Returns whether at least two summaries of `class` have arrived since `since`, or one when
    /// only one entry sends summaries.
    pub fn is_fresh(&self, class: Class, since: Time) -> bool {
        let received = &self.classes[class.index()].received;
        let fresh = received.iter().filter(|received| received.at >= since).count();
        fresh >= received.len().clamp(1, 2)
    }

    /// Drops summaries that are too old; the owner calls this about once a second.
    pub fn expire(&mut self, now: Time) {
        for class in &mut self.classes {
            class.merge(now);
        }
    }
}

impl ClassBaseline {
    fn merge(&mut self, now: Time) {
        self.merged_at = Some(now);
        self.received.retain(|received| now.saturating_sub(received.at) < MAX_SUMMARY_AGE);
        let weight: f32 = self.received.iter().map(|received| received.summary.weight).sum();
        if weight < MIN_BASELINE_REQUESTS {
            *self = Self { received: std::mem::take(&mut self.received), ..Self::default() };
            return;
        }
        let (mut total, mut failed, mut slow) =
            (PRIOR_REQUESTS, 0.0, PRIOR_REQUESTS * NORMAL_SLOW_SHARE);
        for received in &self.received {
            let age = now.saturating_sub(received.at).as_secs_f64();
            let summary = received.summary;
            let weight = f64::from(summary.recent) * (-age / SHARE_HALF_LIFE_S).exp2();
            total += weight;
            failed += weight * f64::from(summary.failed);
            slow += weight * f64::from(summary.slow);
        }
        self.recent = total - PRIOR_REQUESTS;
        self.slow = slow - PRIOR_REQUESTS * NORMAL_SLOW_SHARE;
        self.merged = Some(Peers {
            median: self.weighted_median(weight, |summary| summary.median),
            p90: self.weighted_median(weight, |summary| summary.p90),
            failed: failed / total,
            slow: slow / total,
        });
    }

    fn weighted_median(&self, weight: f32, value: fn(&Summary) -> Duration) -> Duration {
        let mut values: Vec<(Duration, f32)> = self
            .received
            .iter()
            .map(|received| (value(&received.summary), received.summary.weight))
            .collect();
        values.sort_unstable_by_key(|(value, _)| *value);
        let mut remaining = weight / 2.0;
        for (value, weight) in &values {
            remaining -= weight;
            if remaining <= 0.0 {
                return *value;
            }
        }
        values.last().map(|(value, _)| *value).unwrap_or_default()
    }
}

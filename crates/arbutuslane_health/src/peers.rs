//! What is normal for a service: entries summarize, owners merge.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

pub use crate::summarizer::Summarizer;
pub use crate::summary::Summary;
use crate::summary::{CLASSES, index};

/// What an owner holds as normal for one class.
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
/// Quantiles are weighted medians over the entries, so a single entry with a wrong view does not
/// move them. Shares are pooled, because one entry alone sees few requests a second.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    classes: [ClassBaseline; CLASSES],
}

#[derive(Debug, Clone, Default)]
struct ClassBaseline {
    received: Vec<Received>,
    merged: Option<Peers>,
    /// The recent requests and the slow ones among them.
    recent: f64,
    slow: f64,
    merged_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    entry: u64,
    summary: Summary,
    at: Time,
}

/// The number of entries whose summaries are kept; the oldest makes room.
const ENTRIES: usize = 16;

/// Quantiles of a summary are used for this long.
const KEPT: Duration = Duration::from_secs(30);

/// The shares of a summary lose half their weight in this time after its arrival.
const SHARE_HALF_LIFE: f64 = 0.3;

/// Merging is repeated at most this often.
const MERGE_EVERY: Duration = Duration::from_millis(50);

/// The number of requests below which the quantiles are not used.
const WEIGHT_FLOOR: f32 = 20.0;

/// Pseudo-observations that keep a share near its normal value while few requests are behind it.
const PRIOR: f64 = 10.0;

/// The share of requests that is normally above the 90th percentile.
const NORMAL_SLOW: f64 = 0.1;

impl Baseline {
    /// Takes in the summary that the entry with the hash `entry` sent.
    pub fn record(&mut self, entry: u64, summary: Summary, now: Time) {
        let class = &mut self.classes[index(summary.class)];
        let fresh = Received { entry, summary, at: now };
        if let Some(known) = class.received.iter_mut().find(|known| known.entry == entry) {
            *known = fresh;
        } else if class.received.len() < ENTRIES {
            class.received.push(fresh);
        } else if let Some(oldest) = class.received.iter_mut().min_by_key(|known| known.at) {
            *oldest = fresh;
        }
        if class.merged_at.is_none_or(|at| now.saturating_sub(at) >= MERGE_EVERY) {
            class.merge(now);
        }
    }

    /// Returns what is normal for `class`, or nothing while too few requests are behind it.
    ///
    /// The share of slow requests is that of the class or that of all classes together, whichever
    /// is higher: a class with few requests a second would otherwise hide a slowdown of the whole
    /// service.
    pub fn peers(&self, class: Class) -> Option<Peers> {
        let merged = self.classes[index(class)].merged?;
        let (mut total, mut slow) = (PRIOR, PRIOR * NORMAL_SLOW);
        for class in &self.classes {
            total += class.recent;
            slow += class.slow;
        }
        Some(Peers { slow: merged.slow.max(slow / total), ..merged })
    }

    /// Returns whether summaries of `class` have arrived since `since`: two, or one when only one
    /// entry sends any.
    pub fn is_fresh(&self, class: Class, since: Time) -> bool {
        let received = &self.classes[index(class)].received;
        let fresh = received.iter().filter(|received| received.at >= since).count();
        fresh >= received.len().clamp(1, 2)
    }

    /// Drops summaries that have become too old; the owner calls this about once a second.
    pub fn expire(&mut self, now: Time) {
        for class in &mut self.classes {
            class.merge(now);
        }
    }
}

impl ClassBaseline {
    fn merge(&mut self, now: Time) {
        self.merged_at = Some(now);
        self.received.retain(|received| now.saturating_sub(received.at) < KEPT);
        let weight: f32 = self.received.iter().map(|received| received.summary.weight).sum();
        if weight < WEIGHT_FLOOR {
            *self = Self { received: std::mem::take(&mut self.received), ..Self::default() };
            return;
        }
        let (mut total, mut failed, mut slow) = (PRIOR, 0.0, PRIOR * NORMAL_SLOW);
        for received in &self.received {
            let age = now.saturating_sub(received.at).as_secs_f64();
            let summary = received.summary;
            let weight = f64::from(summary.recent) * (-age / SHARE_HALF_LIFE).exp2();
            total += weight;
            failed += weight * f64::from(summary.failed);
            slow += weight * f64::from(summary.slow);
        }
        self.recent = total - PRIOR;
        self.slow = slow - PRIOR * NORMAL_SLOW;
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
        let mut left = weight / 2.0;
        for (value, weight) in &values {
            left -= weight;
            if left <= 0.0 {
                return *value;
            }
        }
        values.last().map(|(value, _)| *value).unwrap_or_default()
    }
}

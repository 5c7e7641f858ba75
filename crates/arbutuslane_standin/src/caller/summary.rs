//! The counts and latencies of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The result of a load run, printed as one line of JSON.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were not sent because too many were in flight.
    pub dropped: u64,
    /// Requests by outcome: `answered`, `not-run`, `unknown`, or the failure that the caller
    /// observed.
    pub outcomes: BTreeMap<String, u64>,
    /// Responses by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Complete responses that belong to another request or have wrong bytes.
    pub wrong: u64,
    /// Responses that ended early, so that the caller could recognize them as incomplete.
    pub broken: u64,
    /// Requests that ended without a response head.
    pub unanswered: u64,
    /// Requests that the caller gave up after its deadline.
    pub given_up: u64,
    /// Latencies of answered requests by kind.
    pub latency: BTreeMap<String, Latency>,
    /// The duration of the run in seconds.
    pub seconds: f64,
}

/// Latencies of one kind of request in microseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Latency {
    /// The number of requests.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// Histograms of latencies in microseconds, by kind of request.
#[derive(Debug)]
pub(super) struct Latencies(BTreeMap<&'static str, Histogram<u64>>);

impl Latencies {
    /// Returns an empty collection.
    pub(super) fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Adds the latency of one request.
    pub(super) fn add(&mut self, kind: &'static str, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let histogram = match self.0.entry(kind) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => match Histogram::new(3) {
                Ok(histogram) => entry.insert(histogram),
                Err(_) => return,
            },
        };
        // The histogram resizes itself; a value beyond its largest range is not recorded.
        let _ = histogram.record(micros);
    }

    /// Returns the percentiles by kind.
    pub(super) fn summarize(&self) -> BTreeMap<String, Latency> {
        let mut summary = BTreeMap::new();
        for (kind, histogram) in &self.0 {
            let latency = Latency {
                count: histogram.len(),
                p50_us: histogram.value_at_quantile(0.5),
                p99_us: histogram.value_at_quantile(0.99),
                max_us: histogram.max(),
            };
            summary.insert((*kind).to_string(), latency);
        }
        summary
    }
}

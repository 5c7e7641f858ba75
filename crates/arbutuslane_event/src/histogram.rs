//! Latency histograms that merge without loss.

use std::time::Duration;

/// The longest latency that is told apart: one hour, in microseconds.
const HIGHEST_US: u64 = 3_600_000_000;

/// Upper bounds of the buckets in Prometheus text, in microseconds.
///
/// They are dense around 7 ms, the bound on added latency, and reach the longest usual deadline.
pub const BOUNDS_US: &[u64] = &[
    500, 1_000, 2_000, 3_000, 5_000, 7_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000,
    1_000_000, 2_000_000, 5_000_000, 10_000_000, 30_000_000,
];

/// Counts latencies with three significant digits from one microsecond to one hour.
///
/// All histograms have the same resolution, so a merge adds counts and loses nothing.
///
/// ```
/// use std::time::Duration;
/// use arbutuslane_event::histogram::Histogram;
///
/// let mut slots = Histogram::new();
/// slots.record(Duration::from_millis(5));
/// let mut all = Histogram::new();
/// all.merge(&slots);
/// assert_eq!((all.count(), all.quantile(0.5)), (1, slots.quantile(0.5)));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Histogram {
    counts: hdrhistogram::Histogram<u64>,
    // Counted apart, because the library's own cells straddle the bounds.
    buckets: [u64; BOUNDS_US.len()],
    sum_us: u64,
}

impl Histogram {
    /// Returns an empty histogram.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram library accepts.
    pub fn new() -> Self {
        let counts = hdrhistogram::Histogram::new_with_bounds(1, HIGHEST_US, 3);
        let counts = counts.expect("constant bounds are valid");
        Self { counts, buckets: [0; BOUNDS_US.len()], sum_us: 0 }
    }

    /// Counts one latency; longer than one hour counts as one hour.
    pub fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_US).clamp(1, HIGHEST_US);
        self.counts.saturating_record(us);
        if let Some(count) = self.buckets.get_mut(BOUNDS_US.partition_point(|bound| *bound < us)) {
            *count += 1;
        }
        self.sum_us = self.sum_us.saturating_add(us);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        // Equal bounds and a fixed range make the addition infallible.
        if self.counts.add(&other.counts).is_ok() {
            for (count, added) in self.buckets.iter_mut().zip(other.buckets) {
                *count += added;
            }
            self.sum_us = self.sum_us.saturating_add(other.sum_us);
        }
    }

    /// Returns the number of latencies.
    pub fn count(&self) -> u64 {
        self.counts.len()
    }

    /// Returns the sum of the latencies.
    pub fn sum(&self) -> Duration {
        Duration::from_micros(self.sum_us)
    }

    /// Returns the latency at `quantile` (0 to 1), or zero when nothing was counted.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.counts.value_at_quantile(quantile))
    }

    /// Returns the number of latencies up to each of [`BOUNDS_US`].
    pub fn cumulative(&self) -> Vec<u64> {
        let mut total = 0;
        let running = self.buckets.iter().map(|count| {
            total += count;
            total
        });
        running.collect()
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    /// Guards against a merge that loses or moves counts.
    fn merge_equals_single(left: Vec<u32>, right: Vec<u32>) -> bool {
        let (mut one, mut two, mut both) = (Histogram::new(), Histogram::new(), Histogram::new());
        for us in left {
            one.record(Duration::from_micros(u64::from(us)));
            both.record(Duration::from_micros(u64::from(us)));
        }
        for us in right {
            two.record(Duration::from_micros(u64::from(us)));
            both.record(Duration::from_micros(u64::from(us)));
        }
        one.merge(&two);
        one == both && one.cumulative() == both.cumulative()
    }

    #[test]
    fn merge_lossless() {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, 5))
            .quickcheck(merge_equals_single as fn(Vec<u32>, Vec<u32>) -> bool);
    }

    /// Guards against a latency on a bucket's bound that is counted above it.
    #[test]
    fn cumulative_bound() {
        let mut histogram = Histogram::new();
        histogram.record(Duration::from_micros(500));
        histogram.record(Duration::from_millis(7));
        let counts = histogram.cumulative();
        assert_eq!((counts[0], counts[4], counts[5]), (1, 1, 2));
    }
}

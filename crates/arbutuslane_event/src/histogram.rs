//! Latency histograms that can be merged without loss.

use std::time::Duration;

/// The highest latency that is recorded, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// The upper bounds of the buckets in Prometheus text, in microseconds.
///
/// They are dense around 7 ms, the limit on the latency that the fleet adds, and reach the longest
/// usual deadline.
pub const BUCKET_BOUNDS_US: &[u64] = &[
    500, 1_000, 2_000, 3_000, 5_000, 7_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000,
    1_000_000, 2_000_000, 5_000_000, 10_000_000, 30_000_000,
];

/// Counts latencies with three significant digits from one microsecond to one hour.
///
/// All histograms have the same resolution, so a merge only adds counts and loses no precision.
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
    // Counted separately, because the library's own buckets extend across these bounds.
    buckets: [u64; BUCKET_BOUNDS_US.len()],
    sum_us: u64,
}

impl Histogram {
    /// Returns an empty histogram.
    ///
    /// # Panics
    ///
    /// Never panics: the bounds are constants that the histogram library accepts.
    pub fn new() -> Self {
        let counts = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let counts = counts.expect("constant bounds are valid");
        Self { counts, buckets: [0; BUCKET_BOUNDS_US.len()], sum_us: 0 }
    }

    /// Counts one latency; one of more than an hour counts as an hour.
    pub fn record(&mut self, latency: Duration) {
        let us =
            u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US);
        self.counts.saturating_record(us);
        if let Some(count) =
            self.buckets.get_mut(BUCKET_BOUNDS_US.partition_point(|bound| *bound < us))
        {
            *count += 1;
        }
        self.sum_us = self.sum_us.saturating_add(us);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        // The addition cannot fail, because all histograms have the same bounds and a fixed range.
        if self.counts.add(&other.counts).is_ok() {
            for (count, added) in self.buckets.iter_mut().zip(other.buckets) {
                *count += added;
            }
            self.sum_us = self.sum_us.saturating_add(other.sum_us);
        }
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.counts.len()
    }

    /// Returns the sum of the recorded latencies.
    pub fn sum(&self) -> Duration {
        Duration::from_micros(self.sum_us)
    }

    /// Returns the latency at `quantile` (0 to 1), or zero when no latency was recorded.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.counts.value_at_quantile(quantile))
    }

    /// Returns, for each of [`BUCKET_BOUNDS_US`], the number of latencies up to that bound.
    pub fn cumulative_counts(&self) -> Vec<u64> {
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

    /// Guards against a merge that loses counts or puts them into other buckets.
    fn merge_equals_single(left: Vec<u32>, right: Vec<u32>) -> bool {
        let (mut first, mut second, mut single) =
            (Histogram::new(), Histogram::new(), Histogram::new());
        for us in left {
            first.record(Duration::from_micros(u64::from(us)));
            single.record(Duration::from_micros(u64::from(us)));
        }
        for us in right {
            second.record(Duration::from_micros(u64::from(us)));
            single.record(Duration::from_micros(u64::from(us)));
        }
        first.merge(&second);
        first == single && first.cumulative_counts() == single.cumulative_counts()
    }

    #[test]
    fn merge_lossless() {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, 5))
            .quickcheck(merge_equals_single as fn(Vec<u32>, Vec<u32>) -> bool);
    }

    /// Guards against a latency equal to a bucket's bound that is counted in the next bucket.
    #[test]
    fn cumulative_bound() {
        let mut histogram = Histogram::new();
        histogram.record(Duration::from_micros(500));
        histogram.record(Duration::from_millis(7));
        let counts = histogram.cumulative_counts();
        assert_eq!((counts[0], counts[4], counts[5]), (1, 1, 2));
    }
}

//! A decaying latency histogram with logarithmic buckets.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The number of buckets. 80 buckets, each 20% wider than the last, reach from 100 microseconds to
/// 215 s; the quantile error is at most 10%.
const BUCKET_COUNT: usize = 80;

/// The ratio between the upper bounds of two successive buckets.
const BUCKET_GROWTH: f64 = 1.2;

/// The upper bound of the first bucket, in seconds.
const FIRST_BUCKET_BOUND_S: f64 = 100e-6;

/// The least time between two decay steps, because each step changes every bucket.
const MIN_DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Counts latencies with weights that are halved every `half_life`.
#[derive(Debug, Clone)]
pub(crate) struct Histogram {
    counts: [f32; BUCKET_COUNT],
    half_life: f32,
    decayed_at: Time,
}

impl Histogram {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            half_life: half_life.as_secs_f32(),
            decayed_at: Time::ZERO,
        }
    }

    pub(crate) fn add(&mut self, latency: Duration, now: Time) {
        self.decay(now);
        self.counts[bucket_index(latency)] += 1.0;
    }

    pub(crate) fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < MIN_DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = (-elapsed.as_secs_f32() / self.half_life).exp2();
        for count in &mut self.counts {
            *count *= factor;
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count += added;
        }
    }

    pub(crate) fn weight(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// Returns the latency below which a share `quantile` of the weight lies, interpolated within
    /// the bucket.
    pub(crate) fn quantile(&self, quantile: f32) -> Duration {
        let mut remaining = self.weight() * quantile;
        let mut lower = 0.0;
        let mut upper = FIRST_BUCKET_BOUND_S;
        for count in &self.counts {
            if *count > 0.0 && remaining <= *count {
                let part = f64::from(remaining / count);
                return Duration::from_secs_f64(lower + (upper - lower) * part);
            }
            remaining -= count;
            lower = upper;
            upper *= BUCKET_GROWTH;
        }
        Duration::from_secs_f64(lower)
    }
}

fn bucket_index(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BUCKET_BOUND_S;
    if ratio <= 1.0 {
        return 0;
    }
    let index = ratio.ln() / BUCKET_GROWTH.ln() + 1.0;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "1 to about 120")]
    let index = index as usize;
    index.min(BUCKET_COUNT - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shifted bucket bound, which would shift every baseline.
    #[test]
    fn quantile_uniform() {
        let mut histogram = Histogram::new(Duration::from_secs(1_000));
        for micros in (1_000..=100_000).step_by(100) {
            histogram.add(Duration::from_micros(micros), Duration::ZERO);
        }
        for (quantile, expected) in [(0.5, 50_500.0), (0.9, 90_100.0)] {
            let found = histogram.quantile(quantile).as_secs_f64() * 1e6;
            assert!((found / expected - 1.0).abs() < 0.05, "{quantile}: {found}");
        }
    }
}

//! A decaying latency histogram with logarithmic buckets.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// 80 buckets of 20% from 100 microseconds reach 215 s; the quantile error is at most 10%.
const BUCKETS: usize = 80;
const GROWTH: f64 = 1.2;
const FIRST: f64 = 100e-6;

/// Decay is applied in steps, because a step touches every bucket.
const STEP: Duration = Duration::from_millis(250);

/// Counts latencies with weights that halve every `half_life`.
#[derive(Debug, Clone)]
pub(crate) struct Histogram {
    counts: [f32; BUCKETS],
    half_life: f32,
    decayed_at: Time,
}

impl Histogram {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self { counts: [0.0; BUCKETS], half_life: half_life.as_secs_f32(), decayed_at: Time::ZERO }
    }

    pub(crate) fn add(&mut self, latency: Duration, now: Time) {
        self.decay(now);
        self.counts[bucket(latency)] += 1.0;
    }

    pub(crate) fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < STEP {
            return;
        }
        self.decayed_at = now;
        let keep = (-elapsed.as_secs_f32() / self.half_life).exp2();
        for count in &mut self.counts {
            *count *= keep;
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(&other.counts) {
            *count += more;
        }
    }

    pub(crate) fn weight(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// Returns the latency below which `quantile` of the weight lies, interpolated in the bucket.
    pub(crate) fn quantile(&self, quantile: f32) -> Duration {
        let mut left = self.weight() * quantile;
        let mut lower = 0.0;
        let mut upper = FIRST;
        for count in &self.counts {
            if *count > 0.0 && left <= *count {
                let part = f64::from(left / count);
                return Duration::from_secs_f64(lower + (upper - lower) * part);
            }
            left -= count;
            lower = upper;
            upper *= GROWTH;
        }
        Duration::from_secs_f64(lower)
    }
}

fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST;
    if ratio <= 1.0 {
        return 0;
    }
    let place = ratio.ln() / GROWTH.ln() + 1.0;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "1 to about 120")]
    let place = place as usize;
    place.min(BUCKETS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shifted bucket bound, which would move every baseline.
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

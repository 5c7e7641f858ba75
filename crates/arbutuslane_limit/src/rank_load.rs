//! How much of a server's time the requests of each level take.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The time constant of the decaying sums. It spans several service times of a slow request, and follows
/// a change of the load within a few seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The mean number of slots that the requests of each level occupy. The levels are the ranks, or parts of
/// them; the lowest one starts first.
#[derive(Debug, Clone, Default)]
pub struct RankLoads {
    /// The levels in ascending order, each with its slots at `updated_at`.
    loads: Vec<(u16, f64)>,
    updated_at: Time,
}

impl RankLoads {
    /// Records that a request of `level` has occupied a slot for `time`.
    pub fn record(&mut self, level: u16, time: Duration, now: Time) {
        let factor = self.decay(now);
        for (_, load) in &mut self.loads {
            *load *= factor;
        }
        self.updated_at = now;
        let added = time.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        match self.loads.binary_search_by_key(&level, |(known, _)| *known) {
            Ok(index) => self.loads[index].1 += added,
            Err(index) => self.loads.insert(index, (level, added)),
        }
    }

    /// Returns the mean number of slots that requests of lower levels than `level` occupy.
    pub fn above(&self, level: u16, now: Time) -> f64 {
        let higher = self.loads.iter().take_while(|(known, _)| *known < level);
        higher.map(|(_, load)| load).sum::<f64>() * self.decay(now)
    }

    fn decay(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a load that counts the rank itself, or that never fades.
    #[test]
    fn above_steady() {
        let mut loads = RankLoads::default();
        for millis in (0..20_000).step_by(100) {
            let now = Duration::from_millis(millis);
            loads.record(1, Duration::from_millis(200), now);
            loads.record(3, Duration::from_millis(700), now);
        }
        let now = Duration::from_secs(20);
        assert!(loads.above(1, now).abs() < 1e-9);
        assert!((loads.above(2, now) - 2.0).abs() < 0.2, "{}", loads.above(2, now));
        assert!((loads.above(4, now) - 9.0).abs() < 0.9, "{}", loads.above(4, now));
        assert!(loads.above(4, now + TIME_CONSTANT * 5) < 0.1);
    }
}

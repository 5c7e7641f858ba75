//! Mean service times of a server for each kind of request.

use std::time::Duration;

/// Identifies requests with about the same service time, such as those of one route.
pub type Kind = u64;

/// The most kinds that are measured separately; the others use the mean of all kinds.
const MAX_KINDS: usize = 256;

/// The newest service time has a weight of one divided by this number in the mean.
const SMOOTHING_DIVISOR: u32 = 16;

/// How many mean deviations beyond the mean a request is given that has to end by a certain time.
/// An overloaded queue admits requests up to the time that is left, and with the mean alone half of them
/// would be late.
const ALLOWED_DEVIATIONS: u32 = 1;

/// The service times of one server.
///
/// With one mean over all kinds, a quick request with little remaining time would be refused
/// because slow requests share its server.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// The estimate of each kind, in ascending order of the kinds.
    kinds: Vec<(Kind, Estimate)>,
    overall: Option<Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    /// The mean distance of a service time from the mean.
    deviation: Duration,
}

impl ServiceTimes {
    /// Records the service time of a finished request.
    pub fn observe(&mut self, kind: Kind, time: Duration) {
        self.overall = Some(Estimate::updated(self.overall, time));
        match self.kinds.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(index) => {
                let estimate = &mut self.kinds[index].1;
                *estimate = Estimate::updated(Some(*estimate), time);
            }
            Err(index) if self.kinds.len() < MAX_KINDS => {
                self.kinds.insert(index, (kind, Estimate::updated(None, time)));
            }
            Err(_) => {}
        }
    }

    /// Returns the mean of `kind`, or `None` while it is unknown, so that requests of a new kind
    /// are admitted and measured.
    pub fn mean(&self, kind: Kind) -> Option<Duration> {
        self.estimate(kind).map(|estimate| estimate.mean)
    }

    /// Returns the mean of `kind`, or the mean of all kinds while that of `kind` is unknown.
    pub fn mean_or_overall(&self, kind: Kind) -> Duration {
        self.estimate(kind).or(self.overall).map(|estimate| estimate.mean).unwrap_or_default()
    }

    /// Returns a time in which most requests of `kind` end, or `None` while none has been measured.
    pub fn upper(&self, kind: Kind) -> Option<Duration> {
        let estimate = self.estimate(kind)?;
        Some(estimate.mean + estimate.deviation * ALLOWED_DEVIATIONS)
    }

    fn estimate(&self, kind: Kind) -> Option<Estimate> {
        match self.kinds.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(index) => Some(self.kinds[index].1),
            Err(_) if self.kinds.len() >= MAX_KINDS => self.overall,
            Err(_) => None,
        }
    }
}

impl Estimate {
    /// Returns the estimate changed by a service time, or the first estimate.
    fn updated(estimate: Option<Self>, time: Duration) -> Self {
        let Some(Self { mean, deviation }) = estimate else {
            return Self { mean: time, deviation: Duration::ZERO };
        };
        let smoothed = |old: Duration, new: Duration| {
            (old * (SMOOTHING_DIVISOR - 1) + new) / SMOOTHING_DIVISOR
        };
        Self { mean: smoothed(mean, time), deviation: smoothed(deviation, time.abs_diff(mean)) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a time that only half of the requests keep, or that a few slow requests stretch.
    #[test]
    fn upper_varied() {
        let mut times = ServiceTimes::default();
        assert_eq!(times.upper(1), None);
        let millis = Duration::from_millis;
        for step in 0..400 {
            // Evenly spread from 400 to 800 ms: the mean distance from the mean is 100 ms.
            times.observe(1, millis(400 + (step * 157) % 400));
        }
        let upper = times.upper(1).unwrap_or_default();
        assert!((millis(660)..millis(740)).contains(&upper), "{upper:?}");
        assert!((millis(560)..millis(640)).contains(&times.mean_or_overall(2)));
    }
}

//! Mean service times of a server for each kind of request.

use std::time::Duration;

/// Identifies requests with about the same service time, such as those of one route.
pub type Kind = u64;

/// The most kinds that are measured separately; the others use the mean of all kinds.
const MAX_KINDS: usize = 256;

/// The newest service time has a weight of one divided by this number in the mean.
const SMOOTHING_DIVISOR: u32 = 16;

/// The mean service times of one server.
///
/// With one mean over all kinds, a quick request with little remaining time would be refused
/// because slow requests share its server.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// The mean of each kind, in ascending order of the kinds.
    means: Vec<(Kind, Duration)>,
    overall: Option<Duration>,
}

impl ServiceTimes {
    /// Records the service time of a finished request.
    pub fn observe(&mut self, kind: Kind, time: Duration) {
        self.overall = Some(updated_mean(self.overall, time));
        match self.means.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(index) => {
                let mean = &mut self.means[index].1;
                *mean = updated_mean(Some(*mean), time);
            }
            Err(index) if self.means.len() < MAX_KINDS => self.means.insert(index, (kind, time)),
            Err(_) => {}
        }
    }

    /// Returns the mean of `kind`, or `None` while it is unknown, so that requests of a new kind
    /// are admitted and measured.
    pub fn mean(&self, kind: Kind) -> Option<Duration> {
        match self.means.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(index) => Some(self.means[index].1),
            Err(_) if self.means.len() >= MAX_KINDS => self.overall,
            Err(_) => None,
        }
    }

    /// Returns the mean of `kind`, or the mean of all kinds while that of `kind` is unknown.
    pub fn mean_or_overall(&self, kind: Kind) -> Duration {
        self.mean(kind).or(self.overall).unwrap_or_default()
    }
}

fn updated_mean(mean: Option<Duration>, time: Duration) -> Duration {
    mean.map_or(time, |mean| (mean * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR)
}

//! How long a server takes for requests of each kind.

use std::time::Duration;

/// What requests have in common that take about the same time, such as their route.
pub type Kind = u64;

/// The most kinds that are measured apart; the others share the mean of all.
const KINDS: usize = 256;

/// The weight of the newest service time in the mean is one in this many.
const SMOOTHING: u32 = 16;

/// The mean service times of one server.
///
/// A mean over all kinds would refuse a quick request with little time because slow ones share its
/// server.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// The mean of each kind, in ascending order of the kinds.
    means: Vec<(Kind, Duration)>,
    all: Option<Duration>,
}

impl ServiceTimes {
    /// Takes in the time that a request took.
    pub fn observe(&mut self, kind: Kind, time: Duration) {
        self.all = Some(smooth(self.all, time));
        match self.means.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(place) => {
                let mean = &mut self.means[place].1;
                *mean = smooth(Some(*mean), time);
            }
            Err(place) if self.means.len() < KINDS => self.means.insert(place, (kind, time)),
            Err(_) => {}
        }
    }

    /// Returns the mean of `kind`; nothing while it is unknown, so that requests of a new kind are
    /// admitted and measured.
    pub fn of(&self, kind: Kind) -> Option<Duration> {
        match self.means.binary_search_by_key(&kind, |(known, _)| *known) {
            Ok(place) => Some(self.means[place].1),
            Err(_) if self.means.len() >= KINDS => self.all,
            Err(_) => None,
        }
    }

    /// Returns the mean of `kind`, or that of all kinds while it is unknown.
    pub fn of_or_all(&self, kind: Kind) -> Duration {
        self.of(kind).or(self.all).unwrap_or_default()
    }
}

fn smooth(mean: Option<Duration>, time: Duration) -> Duration {
    mean.map_or(time, |mean| (mean * (SMOOTHING - 1) + time) / SMOOTHING)
}

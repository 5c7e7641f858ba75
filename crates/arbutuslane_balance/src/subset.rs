//! Subsets: the servers of a large service that one entry uses.

use arbutuslane_core::hash;
use arbutuslane_core::id::{NodeId, ServerId};

/// Chooses the servers of a service that one entry uses, by rendezvous hashing.
///
/// A server that leaves is replaced in the subsets that contained it; nothing else changes in any
/// subset.
///
/// ```
/// use arbutuslane_balance::subset::Subset;
///
/// let servers: Vec<String> = (0..100).map(|id| format!("s{id}")).collect();
/// assert_eq!(Subset::default().choose(&"node-1".to_string(), &servers).len(), 24);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subset {
    size: usize,
}

impl Default for Subset {
    /// Returns subsets of 24 servers.
    fn default() -> Self {
        Self::new(24)
    }
}

impl Subset {
    /// Returns subsets of `size` servers.
    pub fn new(size: usize) -> Self {
        Self { size }
    }

    /// Returns the servers that `entry` uses, which are all of them when there are at most `size`.
    pub fn choose(&self, entry: &NodeId, servers: &[ServerId]) -> Vec<ServerId> {
        if servers.len() <= self.size {
            return servers.to_vec();
        }
        hash::rendezvous(servers, entry, self.size)
    }

    /// Returns the bound on the load of the most used server: its number of entries relative to the
    /// mean.
    ///
    /// Each of `entries` entries uses a given server with probability `p = size / servers`, so the
    /// number has a binomial distribution with mean `entries * p`. The bound is four standard
    /// deviations above the mean, plus one entry; in the normal approximation, one server in 30,000
    /// exceeds four deviations.
    pub fn imbalance_bound(&self, entries: u32, servers: u32) -> f64 {
        let size = u32::try_from(self.size).unwrap_or(u32::MAX);
        if servers <= size || entries == 0 {
            return 1.0;
        }
        let share = f64::from(size) / f64::from(servers);
        let mean = f64::from(entries) * share;
        1.0 + (4.0 * (mean * (1.0 - share)).sqrt() + 1.0) / mean
    }
}

//! Requests that crashed backend servers.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_core::time::Time;

/// The number of crashes after which a request is quarantined.
pub const STRIKES: usize = 2;

/// The time for which a strike counts and a quarantine lasts.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Without restriction.
    Free,
    /// Under a register claim, one at a time in the fleet.
    Alone,
    /// Not before the given time.
    Quarantined {
        /// The end of the quarantine.
        until: Time,
    },
}

#[derive(Debug, Clone)]
struct Struck {
    fingerprint: u64,
    crashed: Vec<(ServerId, Incarnation)>,
    last: Time,
}

/// The strikes that one owner knows, in ascending order of the fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Strikes {
    struck: Vec<Struck>,
}

impl Strikes {
    /// Records that a request crashed the given incarnation of a server; the same crash counts once.
    pub fn strike(&mut self, now: Time, fingerprint: u64, server: &str, incarnation: Incarnation) {
        let crash = (server.to_string(), incarnation);
        match self.index(fingerprint) {
            Ok(index) => {
                let struck = &mut self.struck[index];
                if now >= struck.last + QUARANTINE {
                    struck.crashed.clear();
                }
                if !struck.crashed.contains(&crash) {
                    struck.crashed.push(crash);
                    struck.last = now;
                }
            }
            Err(index) => {
                self.struck.insert(index, Struck { fingerprint, crashed: vec![crash], last: now });
            }
        }
    }

    /// Forgets the strikes of a request that has run without a crash.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Ok(index) = self.index(fingerprint) {
            self.struck.remove(index);
        }
    }

    /// Returns how a request may run now.
    pub fn verdict(&self, now: Time, fingerprint: u64) -> Verdict {
        let Ok(index) = self.index(fingerprint) else { return Verdict::Free };
        let struck = &self.struck[index];
        let until = struck.last + QUARANTINE;
        if now >= until {
            return Verdict::Free;
        }
        if struck.crashed.len() >= STRIKES {
            return Verdict::Quarantined { until };
        }
        Verdict::Alone
    }

    /// Drops strikes that no longer count.
    pub fn sweep(&mut self, now: Time) {
        self.struck.retain(|struck| now < struck.last + QUARANTINE);
    }

    fn index(&self, fingerprint: u64) -> Result<usize, usize> {
        self.struck.binary_search_by_key(&fingerprint, |struck| struck.fingerprint)
    }
}

//! Counts, by request, the crashes of backend servers that it caused.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_core::time::Time;

/// The number of crashes after which a request is quarantined.
pub const QUARANTINE_STRIKES: usize = 2;

/// The time for which a strike counts and a quarantine lasts.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// The restriction under which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run without restriction.
    Unrestricted,
    /// The request may run only under a register claim, so that one runs at a time in the fleet.
    Exclusive,
    /// The request may not run before the given time.
    Quarantined {
        /// The end of the quarantine.
        until: Time,
    },
}

/// A request during which servers crashed.
#[derive(Debug, Clone)]
struct StruckRequest {
    fingerprint: u64,
    crashes: Vec<(ServerId, Incarnation)>,
    last_strike: Time,
}

/// The strikes that one owner knows of, in ascending order of the request's fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Strikes {
    requests: Vec<StruckRequest>,
}

impl Strikes {
    /// Records that the given incarnation of a server crashed while it ran a request.
    ///
    /// The same crash counts once.
    pub fn strike(&mut self, now: Time, fingerprint: u64, server: &str, incarnation: Incarnation) {
        let crash = (server.to_string(), incarnation);
        match self.index(fingerprint) {
            Ok(index) => {
                let request = &mut self.requests[index];
                if now >= request.last_strike + QUARANTINE_DURATION {
                    request.crashes.clear();
                }
                if !request.crashes.contains(&crash) {
                    request.crashes.push(crash);
                    request.last_strike = now;
                }
            }
            Err(index) => {
                self.requests.insert(
                    index,
                    StruckRequest { fingerprint, crashes: vec![crash], last_strike: now },
                );
            }
        }
    }

    /// Removes the strikes of a request that has run without a crash.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Ok(index) = self.index(fingerprint) {
            self.requests.remove(index);
        }
    }

    /// Returns the restriction under which a request may run now.
    pub fn verdict(&self, now: Time, fingerprint: u64) -> Verdict {
        let Ok(index) = self.index(fingerprint) else { return Verdict::Unrestricted };
        let request = &self.requests[index];
        let until = request.last_strike + QUARANTINE_DURATION;
        if now >= until {
            return Verdict::Unrestricted;
        }
        if request.crashes.len() >= QUARANTINE_STRIKES {
            return Verdict::Quarantined { until };
        }
        Verdict::Exclusive
    }

    /// Removes expired strikes.
    pub fn sweep(&mut self, now: Time) {
        self.requests.retain(|request| now < request.last_strike + QUARANTINE_DURATION);
    }

    /// Returns the index of the request, or the index at which to insert it.
    fn index(&self, fingerprint: u64) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&fingerprint, |request| request.fingerprint)
    }
}

//! The strikes that one process knows.

use arbutuslane_core::id::Incarnation;
use arbutuslane_core::time::Time;

use super::{Crash, Fingerprint, Identity, QUARANTINE_DURATION, Scope, Strike, Verdict};

/// A strike with the end of the time for which it counts.
#[derive(Debug, Clone)]
struct Entry {
    strike: Strike,
    until: Time,
}

/// The strikes that one process knows, in ascending order of the requests and their crashes.
#[derive(Debug, Clone, Default)]
pub struct Strikes {
    entries: Vec<Entry>,
}

impl Strikes {
    /// Records that the given incarnation of a server crashed while it ran a request; returns the strike.
    pub fn strike(
        &mut self,
        now: Time,
        identity: Identity,
        server: &str,
        incarnation: Incarnation,
    ) -> Strike {
        let Identity { request, variant } = identity;
        let crash = Crash { server: server.to_string(), incarnation, variant };
        let strike = Strike { request, crash, scope: Scope::Request };
        self.merge(now, strike.clone(), now + QUARANTINE_DURATION);
        strike
    }

    /// Merges a strike that another process told, which counts until `until`. The same crash counts once.
    pub fn merge(&mut self, now: Time, strike: Strike, until: Time) {
        self.sweep(now);
        let until = until.min(now + QUARANTINE_DURATION);
        if until <= now {
            return;
        }
        match self.find(strike.request, &strike.crash) {
            Ok(index) => {
                let known = &mut self.entries[index].strike;
                known.scope = known.scope.max(strike.scope);
            }
            Err(index) => self.entries.insert(index, Entry { strike, until }),
        }
    }

    /// Records that a request has run without a crash: clears the strikes of its variant, and narrows the
    /// others to theirs. Returns the strikes that have changed.
    pub fn clear(&mut self, identity: Identity) -> Vec<Strike> {
        let mut changed = Vec::new();
        for entry in &mut self.entries {
            let strike = &mut entry.strike;
            if strike.request != identity.request {
                continue;
            }
            let scope = match strike.crash.variant == identity.variant {
                true => Scope::Cleared,
                false => Scope::Variant,
            };
            if scope > strike.scope {
                strike.scope = scope;
                changed.push(strike.clone());
            }
        }
        changed
    }

    /// Returns the restriction under which a request may run now.
    pub fn verdict(&self, now: Time, identity: Identity) -> Verdict {
        let entries = self.of_request(identity.request);
        // The strikes of a request expire together.
        let until = entries.iter().map(|entry| entry.until).max().filter(|until| now < *until);
        let strikes = entries.iter().map(|entry| &entry.strike);
        let applying: Vec<&Strike> =
            strikes.filter(|strike| strike.applies_to(identity.variant)).collect();
        let Some(until) = until.filter(|_| !applying.is_empty()) else {
            return Verdict::Unrestricted;
        };
        let is_convicted = applying.iter().enumerate().any(|(index, first)| {
            applying[index + 1..].iter().any(|second| convicts(first, second, identity))
        });
        match is_convicted {
            true => Verdict::Quarantined { until },
            false => Verdict::Exclusive,
        }
    }

    /// Returns the time until which a strike counts.
    pub fn until(&self, strike: &Strike) -> Option<Time> {
        let index = self.find(strike.request, &strike.crash).ok()?;
        Some(self.entries[index].until)
    }

    /// Removes expired strikes.
    pub fn sweep(&mut self, now: Time) {
        let mut expired: Vec<Fingerprint> = Vec::new();
        let is_same = |left: &Entry, right: &Entry| left.strike.request == right.strike.request;
        for of_request in self.entries.chunk_by(is_same) {
            if of_request.iter().all(|entry| now >= entry.until) {
                expired.push(of_request[0].strike.request);
            }
        }
        self.entries.retain(|entry| expired.binary_search(&entry.strike.request).is_err());
    }

    fn of_request(&self, request: Fingerprint) -> &[Entry] {
        let start = self.entries.partition_point(|entry| entry.strike.request < request);
        let end = self.entries.partition_point(|entry| entry.strike.request <= request);
        &self.entries[start..end]
    }

    /// Returns the index of a strike, or the index at which to insert it.
    fn find(&self, request: Fingerprint, crash: &Crash) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            (entry.strike.request, &entry.strike.crash).cmp(&(request, crash))
        })
    }
}

/// Returns whether two strikes that apply to a request convict it: two of one variant say nothing about
/// others.
fn convicts(first: &Strike, second: &Strike, identity: Identity) -> bool {
    let variant = first.crash.variant;
    variant != second.crash.variant || variant == identity.variant
}

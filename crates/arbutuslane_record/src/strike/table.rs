//! The strikes that one process knows.

use arbutuslane_core::id::DomainName;
use arbutuslane_core::time::Time;

use super::bound;
use super::served::Served;
use super::{
    BUCKETS, Crash, Fingerprint, Identity, MAX_RETRIAL_STRIKES, MAX_TRIALS, QUARANTINE_DURATION,
    RETRIAL_DELAY, Scope, Strike, Verdict,
};

/// A strike with the end of the time for which it counts.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) strike: Strike,
    pub(super) until: Time,
}

/// The strikes that one process knows, in ascending order of the requests and their crashes.
#[derive(Debug, Clone, Default)]
pub struct Strikes {
    entries: Vec<Entry>,
    served: Served,
}

impl Strikes {
    /// Records a crash at a server of this process; returns the strike as it is known then.
    pub fn strike(&mut self, now: Time, mut strike: Strike) -> Strike {
        let (request, variant) = (strike.request, strike.crash.variant);
        strike.was_served = self.served.contains(now, Identity { request, variant });
        self.merge(now, strike.clone(), now + QUARANTINE_DURATION);
        strike
    }

    /// Records that a request has run without a crash at a server of this process.
    pub fn record_served(&mut self, now: Time, identity: Identity) {
        self.served.record(now, identity);
    }

    /// Merges a strike that another process told, which counts until `until`; returns it as it is known
    /// then, if that is new. The same crash counts once.
    pub fn merge(&mut self, now: Time, mut strike: Strike, until: Time) -> Option<Strike> {
        self.sweep(now);
        let until = until.min(now + QUARANTINE_DURATION);
        if until <= now {
            return None;
        }
        match self.find(strike.request, &strike.crash) {
            Ok(index) => {
                let known = &mut self.entries[index].strike;
                let before = (known.scope, known.was_served);
                known.scope = known.scope.max(strike.scope);
                known.was_served |= strike.was_served;
                (before != (known.scope, known.was_served)).then(|| known.clone())
            }
            Err(index) => {
                let (request, variant) = (strike.request, strike.crash.variant);
                strike.was_served |= self.served.contains(now, Identity { request, variant });
                self.entries.insert(index, Entry { strike: strike.clone(), until });
                bound::apply(&mut self.entries, request);
                Some(strike)
            }
        }
    }

    /// Records that a request has run without a crash, and that the crashes in `known` counted against it
    /// when the run began: clears those of its variant, and narrows the others to theirs. Returns the
    /// strikes that have changed.
    pub fn clear(&mut self, identity: Identity, known: &[Crash]) -> Vec<Strike> {
        let mut changed = Vec::new();
        for entry in &mut self.entries {
            let strike = &mut entry.strike;
            if strike.request != identity.request || !known.contains(&strike.crash) {
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
        let applying = self.applying(now, identity);
        if applying.is_empty() {
            return Verdict::Unrestricted;
        }
        let convicts = |strike: &&&Strike| self.convicts(strike, identity);
        let convicting = applying.iter().filter(convicts).count();
        if convicting == 0 {
            return Verdict::Exclusive { trials: MAX_TRIALS };
        }
        let entries = self.of_request(identity.request).iter();
        let end = entries.map(|entry| entry.until).max().unwrap_or(now);
        let was_served = applying.iter().any(|strike| strike.was_served);
        let until = match was_served && convicting <= MAX_RETRIAL_STRIKES {
            true => end.saturating_sub(QUARANTINE_DURATION) + RETRIAL_DELAY,
            false => end,
        };
        match now < until {
            true => Verdict::Quarantined { until },
            false => Verdict::Exclusive { trials: 1 },
        }
    }

    /// Returns the crashes that count against a request.
    pub fn known(&self, now: Time, identity: Identity) -> Vec<Crash> {
        let applying = self.applying(now, identity);
        applying.into_iter().map(|strike| strike.crash.clone()).collect()
    }

    /// Returns the failure domains in which the request has crashed servers, in ascending order.
    pub fn domains(&self, now: Time, identity: Identity) -> Vec<DomainName> {
        let applying = self.applying(now, identity).into_iter();
        let mut domains: Vec<_> = applying.map(|strike| strike.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the strikes that count against a request. Those of one request expire together.
    fn applying(&self, now: Time, identity: Identity) -> Vec<&Strike> {
        let entries = self.of_request(identity.request);
        if entries.iter().all(|entry| now >= entry.until) {
            return Vec::new();
        }
        let strikes = entries.iter().map(|entry| &entry.strike);
        strikes.filter(|strike| strike.applies_to(identity.variant)).collect()
    }

    /// Returns whether a strike that counts against a request convicts it: with one that was known when
    /// its run began, and still counts. Two of one variant say nothing about others.
    fn convicts(&self, strike: &Strike, identity: Identity) -> bool {
        strike.known.iter().any(|known| {
            let found = self.find(identity.request, known).ok();
            // A strike that is not known here may not have been cleared.
            let still_counts =
                found.is_none_or(|index| self.entries[index].strike.applies_to(identity.variant));
            let variant = strike.crash.variant;
            still_counts && (known.variant != variant || variant == identity.variant)
        })
    }

    /// Returns all strikes that still count at `now`, also those that were cleared.
    pub fn all(&self, now: Time) -> Vec<Strike> {
        let counting = self.entries.iter().filter(|entry| now < entry.until);
        counting.map(|entry| entry.strike.clone()).collect()
    }

    /// Returns the hash of each bucket of strikes, by which processes find out where they differ.
    pub fn buckets(&self) -> [u64; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for entry in &self.entries {
            buckets[bucket(entry.strike.request)] ^= entry.strike.hash();
        }
        buckets
    }

    /// Returns the strikes in the buckets whose hashes differ from those in `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<Strike> {
        let own = self.buckets();
        let differs = |entry: &&Entry| {
            let bucket = bucket(entry.strike.request);
            theirs.get(bucket) != Some(&own[bucket])
        };
        self.entries.iter().filter(differs).map(|entry| entry.strike.clone()).collect()
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

fn bucket(request: Fingerprint) -> usize {
    usize::try_from(request % BUCKETS as u64).unwrap_or(0)
}

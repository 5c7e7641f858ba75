//! Strikes against requests during which servers crashed.
//!
//! [`Identity`] says which requests are the same, and [`Strikes`] what the fleet knows against them. A
//! [`Strike`] is a record that only ever loses [`Scope`], so that the records of different nodes merge
//! in any order.

mod bound;
mod identity;
mod served;
mod table;

use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::{DomainName, Incarnation, ServerId};
use arbutuslane_core::time::Time;

use crate::trial::MAX_TRIALS;

pub use identity::{Content, Fingerprint, Identity, ParseError, REQUEST_BODY_BYTES, Variant};
pub use table::Strikes;

/// The most crashes that a strike names as known when its run began; one of them is enough.
pub const MAX_KNOWN: usize = 4;

/// The time for which a strike counts and a quarantine lasts.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// The time after which a convicted request that had been served before is tried once more. All servers of a
/// service that end in turn may convict a popular request; it is back then.
pub const RETRIAL_DELAY: Duration = Duration::from_secs(10);

/// The most convicting strikes with which a request is tried once more.
const MAX_RETRIAL_STRIKES: usize = 2;

/// The number of buckets in which the strikes of two processes are compared.
pub const BUCKETS: usize = 16;

/// The most strikes that a process keeps.
pub const MAX_STRIKES: usize = 1_024;

/// The most strikes against one request that a process keeps.
pub const MAX_REQUEST_STRIKES: usize = 8;

/// The restriction under which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run without restriction.
    Unrestricted,
    /// The request may run only as a trial, of which few run at a time in the fleet.
    Exclusive {
        /// The most trials at a time.
        trials: usize,
    },
    /// The request may not run before the given time.
    Quarantined {
        /// The end of the quarantine.
        until: Time,
    },
}

/// The crash of a server while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// The server.
    pub server: ServerId,
    /// The incarnation of the server that ended.
    pub incarnation: Incarnation,
    /// The variant of the request that it ran.
    pub variant: Variant,
}

impl Crash {
    /// Returns a text that is the same in every release, for hashes.
    fn text(&self) -> String {
        format!("{} {} {:016x}", self.server, self.incarnation, self.variant)
    }
}

/// The requests that a strike counts against; it only ever gets narrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All variants of the request.
    Request,
    /// The variant that ran at the crash; another one has run without a crash since.
    Variant,
    /// None; the variant itself has run without a crash since.
    Cleared,
}

/// A crash that counts against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// The time of day of the crash in milliseconds, by the clock of the server's owner.
    pub at_ms: u64,
    /// The failure domain of the server.
    pub domain: DomainName,
    /// The crashes that counted against the request when the run began. With one of them, this one
    /// convicts; a run that began before any was known proves nothing.
    pub known: Vec<Crash>,
    /// Whether the request had been served a moment before, so that another cause is likely.
    pub was_served: bool,
    /// The variants that it counts against.
    pub scope: Scope,
}

impl Strike {
    /// Returns a strike against all variants of a request that was not known to have crashed servers.
    pub fn new(request: Fingerprint, crash: Crash) -> Self {
        Self {
            request,
            crash,
            at_ms: 0,
            domain: DomainName::new(),
            known: Vec::new(),
            was_served: false,
            scope: Scope::Request,
        }
    }

    /// Sets the time of day of the crash.
    #[must_use]
    pub fn at(mut self, at_ms: u64) -> Self {
        self.at_ms = at_ms;
        self
    }

    /// Sets the failure domain of the server.
    #[must_use]
    pub fn in_domain(mut self, domain: &str) -> Self {
        self.domain = domain.to_string();
        self
    }

    /// Sets the crashes that counted against the request when the run began.
    #[must_use]
    pub fn after(mut self, known: &[Crash]) -> Self {
        self.known = known[..known.len().min(MAX_KNOWN)].to_vec();
        self
    }

    /// Returns a hash of all that processes have to agree on.
    fn hash(&self) -> u64 {
        let mut text = format!("{:016x} {}", self.request, self.crash.text());
        for known in &self.known {
            text.push(' ');
            text.push_str(&known.text());
        }
        let scope = match self.scope {
            Scope::Request => 'r',
            Scope::Variant => 'v',
            Scope::Cleared => 'c',
        };
        text.push(scope);
        text.push(if self.was_served { 's' } else { 'n' });
        hash::of_bytes(text.as_bytes())
    }

    /// Returns whether the strike counts against a variant of its request.
    pub fn applies_to(&self, variant: Variant) -> bool {
        match self.scope {
            Scope::Request => true,
            Scope::Variant => self.crash.variant == variant,
            Scope::Cleared => false,
        }
    }
}

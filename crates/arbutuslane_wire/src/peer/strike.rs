//! Strikes against requests in messages.

use std::time::Duration;

use arbutuslane_core::time::{Time, millis};
use arbutuslane_record::strike;
use serde::{Deserialize, Serialize};

/// See [`strike::Strike`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Strike {
    request: u64,
    crash: Crash,
    at_ms: u64,
    domain: String,
    known: Vec<Crash>,
    was_served: bool,
    scope: Scope,
    /// The time for which the strike still counts.
    remaining_ms: u64,
}

/// See [`strike::Crash`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Crash {
    server: String,
    incarnation: u64,
    variant: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Scope {
    Request,
    Variant,
    Cleared,
}

impl Strike {
    /// Converts a strike that counts until `until`.
    pub fn new(strike: &strike::Strike, until: Time, now: Time) -> Self {
        let scope = match strike.scope {
            strike::Scope::Request => Scope::Request,
            strike::Scope::Variant => Scope::Variant,
            strike::Scope::Cleared => Scope::Cleared,
        };
        Self {
            request: strike.request,
            crash: Crash::from(&strike.crash),
            at_ms: strike.at_ms,
            domain: strike.domain.clone(),
            known: strike.known.iter().map(Crash::from).collect(),
            was_served: strike.was_served,
            scope,
            remaining_ms: millis(until.saturating_sub(now)),
        }
    }

    /// Returns the strike with the time until which it counts.
    pub fn into_strike(self, now: Time) -> (strike::Strike, Time) {
        let scope = match self.scope {
            Scope::Request => strike::Scope::Request,
            Scope::Variant => strike::Scope::Variant,
            Scope::Cleared => strike::Scope::Cleared,
        };
        let strike = strike::Strike {
            request: self.request,
            crash: self.crash.into(),
            at_ms: self.at_ms,
            domain: self.domain,
            known: self.known.into_iter().map(Into::into).collect(),
            was_served: self.was_served,
            scope,
        };
        // The table bounds what a peer states.
        let remaining = Duration::from_millis(self.remaining_ms);
        (strike, now.saturating_add(remaining))
    }
}

impl From<&strike::Crash> for Crash {
    fn from(crash: &strike::Crash) -> Self {
        let strike::Crash { server, incarnation, variant } = crash.clone();
        Self { server, incarnation, variant }
    }
}

impl From<Crash> for strike::Crash {
    fn from(crash: Crash) -> Self {
        let Crash { server, incarnation, variant } = crash;
        Self { server, incarnation, variant }
    }
}

//! Trials: runs of requests that may crash servers.
//!
//! A run that begins after a strike is known shows whether the request was at fault. The [`Arbiter`]
//! lets few of them run at a time: a request that crashes each server must not crash many, and a
//! request that was only beside a crash is back after one good run. With two trials in two failure
//! domains, a cause outside the request, such as a domain that fails, ends one of them at most.

use std::time::Duration;

use arbutuslane_core::id::{DomainName, ServerId};
use arbutuslane_core::time::Time;

use crate::strike::{Fingerprint, QUARANTINE_DURATION};

/// The most trials of one request at a time.
pub const MAX_TRIALS: usize = 2;

/// The most trials of all requests that an arbiter knows of at a time.
const MAX_GRANTS: usize = 1_024;

/// A trial that is to run.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The most trials of the request at a time.
    pub max: usize,
    /// The request.
    pub request: Fingerprint,
    /// The server that is to run it.
    pub server: ServerId,
    /// The failure domain of the server.
    pub domain: DomainName,
}

/// A trial that may run until a time at the latest.
#[derive(Debug, Clone)]
struct Grant {
    trial: Trial,
    until: Time,
}

/// Lets few trials of a request run at a time.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_record::trial::{Arbiter, Trial};
///
/// let trial = |server: &str, domain: &str| {
///     let (server, domain) = (server.to_string(), domain.to_string());
///     Trial { max: 2, request: 7, server, domain }
/// };
/// let (now, second) = (Duration::ZERO, Duration::from_secs(1));
/// let mut arbiter = Arbiter::default();
/// assert!(arbiter.grant(now, trial("s1", "a"), second));
/// assert!(!arbiter.grant(now, trial("s2", "a"), second));
/// assert!(arbiter.grant(now, trial("s3", "b"), second));
/// assert!(!arbiter.grant(now, trial("s4", "c"), second));
/// arbiter.release(7, "s1");
/// assert!(arbiter.grant(now, trial("s4", "c"), second));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Arbiter {
    grants: Vec<Grant>,
}

impl Arbiter {
    /// Returns whether a trial may run for at most `duration`: few others of its request run, and none
    /// in its failure domain.
    pub fn grant(&mut self, now: Time, trial: Trial, duration: Duration) -> bool {
        self.grants.retain(|grant| now < grant.until);
        // The response to an earlier request for it was lost.
        self.release(trial.request, &trial.server);
        let running = self.grants.iter().filter(|grant| grant.trial.request == trial.request);
        let (mut count, mut is_domain_free) = (0, true);
        for grant in running {
            count += 1;
            is_domain_free &= grant.trial.domain != trial.domain;
        }
        if count >= trial.max.min(MAX_TRIALS) || !is_domain_free || self.grants.len() >= MAX_GRANTS
        {
            return false;
        }
        let until = now + duration.min(QUARANTINE_DURATION);
        self.grants.push(Grant { trial, until });
        true
    }

    /// Records that the trial of a request at a server has ended.
    pub fn release(&mut self, request: Fingerprint, server: &str) {
        let is_other = |trial: &Trial| trial.request != request || trial.server != server;
        self.grants.retain(|grant| is_other(&grant.trial));
    }
}

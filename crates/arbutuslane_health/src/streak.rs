//! Detects within a few requests that a server has begun to fail or has recovered.
//!
//! [`Detector`](crate::detector::Detector) compares a server with its peers and leads to an
//! ejection, which needs a permit. A [`Streak`] only changes the order of preference: requests go
//! to a suspect server when no other server accepts them. No capacity is lost, and the number of
//! servers in use cannot fall below the floor.

use std::time::Duration;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::time::Time;

/// The evidence of one failure: the log-likelihood ratio between a server that fails 85% of its
/// requests and one that fails 2%.
const FAILURE_EVIDENCE: f64 = 3.75;

/// The evidence of one success, likewise.
const SUCCESS_EVIDENCE: f64 = -1.88;

/// The evidence at which a server becomes suspect, reached by one failure. Most failures of
/// requests that depend on no other requests come from servers that fail most requests.
const SUSPECT_THRESHOLD: f64 = 3.0;

/// The evidence at which a suspect server is trusted again, reached by one success after a single
/// failure and by two after several.
const TRUST_THRESHOLD: f64 = 2.0;

/// The upper limit of the evidence, so that a server recovers from a long outage as fast as from a
/// short one.
const MAX_EVIDENCE: f64 = 5.0;

/// The time between two trials of a suspect server with requests that are sent to another server if
/// they fail.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// The time between two trials with requests that are lost if they fail. Servers fail for some
/// seconds at a time, and a suspect server that gets no other requests would stay suspect forever.
const UNREPEATABLE_TRIAL_INTERVAL: Duration = Duration::from_secs(4);

/// The recent successes and failures of one server.
#[derive(Debug, Clone, Default)]
pub struct Streak {
    evidence: f64,
    is_suspect: bool,
    /// The time of the last trial, or of the first request since the server became suspect.
    last_trial_at: Option<Time>,
    /// Whether the last outcome since the server became suspect is a success.
    has_succeeded: bool,
}

/// A change of the server's standing caused by an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server has become suspect.
    Suspected,
    /// The server is trusted again.
    Trusted,
}

impl Streak {
    /// Records the outcome of one request, and returns a change of standing if it caused one.
    pub fn observe(&mut self, success: bool) -> Option<Change> {
        let evidence = if success { SUCCESS_EVIDENCE } else { FAILURE_EVIDENCE };
        self.evidence = (self.evidence + evidence).clamp(0.0, MAX_EVIDENCE);
        self.has_succeeded = success;
        if !self.is_suspect
            && self.evidence >= SUSPECT_THRESHOLD
            && Mechanism::SuspectServers.is_on()
        {
            self.is_suspect = true;
            self.last_trial_at = None;
            self.has_succeeded = false;
            return Some(Change::Suspected);
        }
        if self.is_suspect && self.evidence <= TRUST_THRESHOLD {
            self.is_suspect = false;
            return Some(Change::Trusted);
        }
        None
    }

    /// Returns whether the server should get only requests that no other server accepts.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Starts a trial of a suspect server with a request, if one is due. `repeatable` is whether the
    /// request is sent to another server if it fails.
    ///
    /// # Errors
    ///
    /// Returns the time until a trial with such a request is due.
    pub fn try_start_trial(&mut self, now: Time, repeatable: bool) -> Result<(), Duration> {
        if !Mechanism::SuspectTrials.is_on() {
            return Err(UNREPEATABLE_TRIAL_INTERVAL);
        }
        let interval = if repeatable { TRIAL_INTERVAL } else { UNREPEATABLE_TRIAL_INTERVAL };
        let due = match self.last_trial_at {
            // A success makes a recovery likely, and the next outcome decides.
            _ if repeatable && self.has_succeeded => now,
            Some(last_trial_at) => last_trial_at + interval,
            None if repeatable => now,
            // The interval is counted from the first request that the server could have had.
            None => {
                self.last_trial_at = Some(now);
                now + interval
            }
        };
        if now < due {
            return Err(due - now);
        }
        self.last_trial_at = Some(now);
        Ok(())
    }

    /// Returns the evidence against the server.
    pub fn evidence(&self) -> f64 {
        self.evidence
    }
}

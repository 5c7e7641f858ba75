//! Tells within a few requests that a server has begun to fail, and that it is well again.
//!
//! [`Detector`](crate::detector::Detector) weighs the evidence against peers and leads to an
//! ejection, which needs a permit. A [`Streak`] only changes the order in which servers are
//! preferred: work goes to a suspect when no other server takes it, so no capacity is lost and no
//! floor can be crossed.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The evidence of one failure: the logarithm of how much likelier a server that fails 85% of its
/// requests fails one than a server that fails 2%.
const FAILURE: f64 = 3.75;

/// The evidence of one success, likewise.
const SUCCESS: f64 = -1.88;

/// The evidence at which a server becomes a suspect: one failure. Most failures of requests that
/// need no others come from servers that fail most requests.
const SUSPECT: f64 = 3.0;

/// The evidence at which it is none any more: one success after a single failure, two after several.
const TRUSTED: f64 = 2.0;

/// The most evidence that is kept, so that a long outage is not held against a server that is well.
const MOST: f64 = 5.0;

/// The time between two requests that try a suspect, when they are repeated elsewhere if they fail.
const TRIAL: Duration = Duration::from_millis(1_200);

/// The same for requests that are lost if they fail. Servers fail for some seconds at a time, and one
/// that gets no other requests would stay a suspect for good.
const COSTLY_TRIAL: Duration = Duration::from_secs(4);

/// The recent successes and failures of one server.
#[derive(Debug, Clone, Default)]
pub struct Streak {
    evidence: f64,
    suspect: bool,
    tried: Option<Time>,
}

/// What an outcome changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server has become a suspect.
    Suspected,
    /// The server is trusted again.
    Trusted,
}

impl Streak {
    /// Takes in the outcome of one request.
    pub fn observe(&mut self, success: bool) -> Option<Change> {
        let evidence = if success { SUCCESS } else { FAILURE };
        self.evidence = (self.evidence + evidence).clamp(0.0, MOST);
        if !self.suspect && self.evidence >= SUSPECT {
            self.suspect = true;
            self.tried = None;
            return Some(Change::Suspected);
        }
        if self.suspect && self.evidence <= TRUSTED {
            self.suspect = false;
            return Some(Change::Trusted);
        }
        None
    }

    /// Returns whether the server should get work only where no other takes it.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns whether a request should try a suspect now, and counts it; `repeatable` tells whether it
    /// is sent elsewhere if it fails.
    pub fn try_now(&mut self, now: Time, repeatable: bool) -> bool {
        let due = match (self.tried, repeatable) {
            (None, repeatable) => {
                // The time counts from the first request that the suspect could have had.
                self.tried = Some(now);
                return repeatable;
            }
            (Some(tried), true) => tried + TRIAL,
            (Some(tried), false) => tried + COSTLY_TRIAL,
        };
        if now < due {
            return false;
        }
        self.tried = Some(now);
        true
    }

    /// Returns the evidence against the server.
    pub fn evidence(&self) -> f64 {
        self.evidence
    }
}

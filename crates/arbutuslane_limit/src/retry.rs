//! Whether the fleet may send a request again.

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte can have reached a server, or the server or owner said that it did not run.
    NotRun,
    /// The server answered with an error of its own (status 5xx).
    Failed,
    /// The exchange broke or timed out; the request may have run.
    Unknown,
    /// The server broke off in mid-exchange and its process is gone.
    Crashed,
}

/// An attempt that did not succeed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The class of the request.
    pub class: Class,
    /// What became of the attempt.
    pub outcome: Outcome,
    /// The attempts made so far, this one included.
    pub made: u32,
    /// The most attempts that the request may make; at most [`ATTEMPTS`] are made where the route
    /// states no limit.
    pub limit: u32,
    /// Whether the caller has received a part of the response.
    pub response_started: bool,
    /// The deadline of the request.
    pub deadline: Deadline,
}

/// What to do after an unsuccessful attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server that it has not been sent to; the budget has been charged.
    Retry,
    /// Report the outcome to the caller: a further run may do harm.
    Unsafe,
    /// Report the outcome to the caller: the deadline, the attempts or the budget are used up.
    Exhausted,
}

/// Attempts that one request may make, the first included. Against a fleet in which fewer than one
/// server in ten is unhealthy, a third attempt is needed by fewer than one request in a hundred.
pub const ATTEMPTS: u32 = 3;

/// Decides whether an unsuccessful attempt is followed by another one, and charges the budget.
pub fn decide(attempt: &Attempt, budget: &mut RetryBudget, now: Time) -> Decision {
    if attempt.response_started || !is_safe(attempt.class, attempt.outcome) {
        return Decision::Unsafe;
    }
    if attempt.made >= attempt.limit || attempt.deadline.is_expired(now) || !budget.spend() {
        return Decision::Exhausted;
    }
    Decision::Retry
}

/// Returns whether another run after `outcome` does no harm.
///
/// Work that crashed a server is never sent again: it would crash the next one. A download that
/// has delivered bytes is resumed with a range request instead.
pub fn is_safe(class: Class, outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun => true,
        Outcome::Crashed => false,
        Outcome::Failed | Outcome::Unknown => class != Class::NonIdempotent,
    }
}

//! Decides whether the fleet may send a request again.

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte can have reached a server, or the server or owner reported that the request did not
    /// run.
    NotRun,
    /// The server responded with an error of its own (status 5xx).
    Failed,
    /// The exchange broke off or timed out; the request may have run.
    Unknown,
    /// The server broke off the exchange and its process has ended.
    Crashed,
}

/// An attempt that did not succeed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The class of the request.
    pub class: Class,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The number of attempts made so far, this one included.
    pub made: u32,
    /// The most attempts for the request; [`DEFAULT_MAX_ATTEMPTS`] where the route sets no limit.
    pub limit: u32,
    /// Whether the caller has received part of the response.
    pub response_started: bool,
    /// The deadline of the request.
    pub deadline: Deadline,
}

/// How the fleet proceeds after an unsuccessful attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server to which it has not been sent; the retry is charged to the
    /// budget.
    Retry,
    /// Report the outcome to the caller, because another run may do harm.
    Unsafe,
    /// Report the outcome to the caller, because the deadline, the attempts or the budget are used
    /// up.
    Exhausted,
}

/// The most attempts for one request by default, the first included. In a fleet with fewer than one
/// unhealthy server in ten, fewer than one request in a hundred needs a third attempt.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Decides whether an unsuccessful attempt is followed by another one, and charges a retry to the
/// budget.
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
/// A request that crashed a server is never sent again, because it would crash the next one. A
/// download of which bytes have been delivered is resumed with a range request instead.
pub fn is_safe(class: Class, outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotRun => true,
        Outcome::Crashed => false,
        Outcome::Failed | Outcome::Unknown => class.is_repeatable(),
    }
}

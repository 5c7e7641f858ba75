//! The attempts of one request: how the next one is made, and whether the request may have run.

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;
use crate::retry::{self, Decision, Outcome};

/// The most owners to which a request is sent while owners refuse it. A refusal takes about 2 ms,
/// but waiting at a full server takes hundreds of milliseconds.
pub(crate) const MAX_OWNERS_TRIED: u32 = 12;

/// The most owners that are asked to admit a repeat. Each keeps a part of the limit, and one may have
/// used up its part while others have not.
const MAX_REPEAT_REFUSALS: u32 = 3;

/// How an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effort {
    /// Another attempt may follow.
    Ordinary,
    /// No other attempt follows.
    Last,
    /// The request may wait for a slot.
    Insist,
    /// A server that fails most requests must accept the request, because no other server does.
    Suspect,
}

/// The servers of a service that a request has not been sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Untried {
    /// Whether there is one.
    pub any: bool,
    /// Whether there is one whose owner has not said a moment ago that it fails most requests. An
    /// owner that has said so is not asked again before it takes a request as a trial.
    pub trusted: bool,
}

/// How an unsuccessful attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The owner refused the request without sending it to the server, because the server is busy.
    /// As a last resort the request may wait for that server.
    Busy,
    /// The owner refused the request without sending it to the server, because the server fails
    /// most requests.
    Suspect,
    /// The owner refused the repeated request without sending it to the server, because the fleet
    /// repeats too many requests.
    RepeatLimit,
    /// The request was not sent to the server, because the server has moved, left or cannot be
    /// reached.
    Unavailable,
    /// The request was sent to the server, or may have been.
    Sent(Outcome),
    /// No other server may be tried.
    Final,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    class: Class,
    /// The most servers that the request may be sent to.
    limit: u32,
    deadline: Deadline,
    /// The most owners that are asked before the request waits.
    max_owners: u32,
    /// The number of attempts so far, each at one owner.
    owners_tried: u32,
    /// The number of attempts in which the request was sent to a server, or may have been.
    sent: u32,
    may_have_run: bool,
    /// The number of owners that refused the request as one repeat too many.
    repeat_refusals: u32,
    /// Whether a busy server was found at which the request may wait.
    has_busy_server: bool,
    /// Whether a server was found that fails most requests but may accept this one.
    has_suspect_server: bool,
    /// How the current attempt is made, once servers that refused the request are tried again.
    second_pass: Option<Effort>,
}

impl Attempts {
    /// Returns the state of a request that may be sent to at most `limit` servers.
    pub fn new(class: Class, limit: u32, deadline: Deadline) -> Self {
        let limit = limit.max(1);
        Self {
            class,
            limit,
            deadline,
            max_owners: MAX_OWNERS_TRIED,
            owners_tried: 0,
            sent: 0,
            may_have_run: false,
            repeat_refusals: 0,
            has_busy_server: false,
            has_suspect_server: false,
            second_pass: None,
        }
    }

    /// Returns the state changed to ask at most `owners` owners before the request waits.
    #[must_use]
    pub fn with_max_owners(mut self, owners: u32) -> Self {
        self.max_owners = owners.min(MAX_OWNERS_TRIED);
        self
    }

    /// Returns how the first attempt is made.
    pub fn first_effort(&self) -> Effort {
        if self.limit == 1 { Effort::Last } else { Effort::Ordinary }
    }

    /// Records the end of an attempt and returns how the next one is made, or `None` when the
    /// request ends with this result.
    ///
    /// Only an attempt after one that
    /// was sent to a server is charged to the budget: a refused attempt adds no work to any server.
    pub fn next_effort(
        &mut self,
        failure: AttemptFailure,
        untried: Untried,
        budget: &mut RetryBudget,
        now: Time,
    ) -> Option<Effort> {
        self.owners_tried += 1;
        if let AttemptFailure::Sent(outcome) = failure {
            self.sent += 1;
            self.may_have_run |= outcome != Outcome::NotRun;
        }
        self.has_busy_server |= failure == AttemptFailure::Busy;
        self.has_suspect_server |=
            failure == AttemptFailure::Suspect || (untried.any && !untried.trusted);
        if failure == AttemptFailure::Final || self.deadline.is_expired(now) {
            return None;
        }
        if let AttemptFailure::Sent(outcome) = failure {
            return self.after_sent(outcome, untried.any, budget, now);
        }
        if failure == AttemptFailure::RepeatLimit {
            self.repeat_refusals += 1;
            if self.repeat_refusals >= MAX_REPEAT_REFUSALS {
                return None;
            }
        }
        if self.second_pass.is_none() && untried.trusted && self.owners_tried < self.max_owners {
            return Some(self.ordinary_effort());
        }
        self.second_pass_effort()
    }

    /// Returns how the next attempt is made after the request was sent to a server.
    fn after_sent(
        &mut self,
        outcome: Outcome,
        has_untried_server: bool,
        budget: &mut RetryBudget,
        now: Time,
    ) -> Option<Effort> {
        // A request that no healthy server accepted is not repeated after a suspect server failed
        // it.
        if !has_untried_server || self.second_pass == Some(Effort::Suspect) {
            return None;
        }
        let attempt = retry::Attempt {
            class: self.class,
            outcome,
            made: self.sent,
            limit: self.limit,
            response_started: false,
            deadline: self.deadline,
        };
        if retry::decide(&attempt, budget, now) != Decision::Retry {
            return None;
        }
        Some(self.second_pass.unwrap_or_else(|| self.ordinary_effort()))
    }

    fn ordinary_effort(&self) -> Effort {
        if self.sent + 1 >= self.limit { Effort::Last } else { Effort::Ordinary }
    }

    /// Returns how a server that refused the request is tried again: first a busy one, where the
    /// request waits, then one that fails most requests. A non-idempotent request goes to a suspect
    /// server only when no busy one was found, because its failure does not show whether it ran.
    fn second_pass_effort(&mut self) -> Option<Effort> {
        let next = match self.second_pass {
            None if self.has_busy_server => Effort::Insist,
            None if self.has_suspect_server => Effort::Suspect,
            Some(Effort::Insist) if self.has_suspect_server && self.class.is_repeatable() => {
                Effort::Suspect
            }
            _ => return None,
        };
        self.second_pass = Some(next);
        Some(next)
    }

    /// Returns whether the request was sent to a server, or may have been.
    pub fn is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether a server may have run the request in one of the attempts.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

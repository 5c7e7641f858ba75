//! The attempts of one request: which follows, and what the request's end may claim.

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;
use crate::retry::{self, Decision, Outcome};

/// The most owners that are asked for one request when they turn it away. Asking one takes about 2 ms,
/// and a request that waits at a full server waits for hundreds.
const ASKED: u32 = 12;

/// How an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effort {
    /// Another attempt may follow.
    Ordinary,
    /// No other attempt follows.
    Last,
    /// The request may wait for a slot, and a suspect must take it.
    Insist,
}

/// How an attempt ended that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The owner refused the request before its server was asked; when the request has to, it may
    /// still wait for that server.
    Busy,
    /// The owner refused the request before its server was asked, because the server has moved, left
    /// or cannot be reached.
    Gone,
    /// The server was asked, or may have been.
    Asked(Outcome),
    /// No other server may be tried.
    Final,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    class: Class,
    /// The most servers that may run the request.
    limit: u32,
    deadline: Deadline,
    /// The owners asked.
    asked: u32,
    /// The servers that were asked or may have been.
    sent: u32,
    may_have_run: bool,
    /// Whether a server would still take the request when it has to.
    is_any_busy: bool,
    insisted: bool,
}

impl Attempts {
    /// Returns the attempts of a request that at most `limit` servers may run.
    pub fn new(class: Class, limit: u32, deadline: Deadline) -> Self {
        let limit = limit.max(1);
        Self {
            class,
            limit,
            deadline,
            asked: 0,
            sent: 0,
            may_have_run: false,
            is_any_busy: false,
            insisted: false,
        }
    }

    /// Returns how the first attempt is made.
    pub fn first(&self) -> Effort {
        if self.limit == 1 { Effort::Last } else { Effort::Ordinary }
    }

    /// Takes in the end of an attempt and returns how the next one is made, or nothing when the
    /// request ends with this result; charges the budget.
    ///
    /// `others` tells whether a server is left that was not tried. What no server was asked adds no
    /// work and costs no budget.
    pub fn next(
        &mut self,
        ending: Ending,
        others: bool,
        budget: &mut RetryBudget,
        now: Time,
    ) -> Option<Effort> {
        self.asked += 1;
        if let Ending::Asked(outcome) = ending {
            self.sent += 1;
            self.may_have_run |= outcome != Outcome::NotRun;
        }
        self.is_any_busy |= ending == Ending::Busy;
        if ending == Ending::Final || self.deadline.is_expired(now) {
            return None;
        }
        if self.insisted && !matches!(ending, Ending::Asked(_)) {
            return None;
        }
        let more = others && self.asked < ASKED;
        let effort = match self.sent + 1 >= self.limit {
            _ if self.insisted => Effort::Insist,
            true => Effort::Last,
            false => Effort::Ordinary,
        };
        match ending {
            Ending::Busy | Ending::Gone if more => Some(effort),
            // The servers that turned the request away are asked once more.
            Ending::Busy | Ending::Gone if self.is_any_busy => {
                self.insisted = true;
                Some(Effort::Insist)
            }
            Ending::Busy | Ending::Gone | Ending::Final => None,
            Ending::Asked(outcome) => {
                let attempt = retry::Attempt {
                    class: self.class,
                    outcome,
                    made: self.sent,
                    limit: self.limit,
                    response_started: false,
                    deadline: self.deadline,
                };
                let retry = others && retry::decide(&attempt, budget, now) == Decision::Retry;
                retry.then_some(effort)
            }
        }
    }

    /// Returns whether a server may have run the request in one of the attempts.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

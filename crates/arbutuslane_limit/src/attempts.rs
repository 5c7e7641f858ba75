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
    /// The request may wait for a slot.
    Insist,
    /// A server that fails most requests must take the request, because no other one does.
    Suspect,
}

/// How an attempt ended that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The owner refused the request before its server was asked; when the request has to, it may
    /// still wait for that server.
    Busy,
    /// The owner refused the request before its server was asked, because the server fails most
    /// requests.
    Suspect,
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
    /// Whether a server would let the request wait.
    is_any_busy: bool,
    /// Whether a server that fails most requests would take the request.
    is_any_suspect: bool,
    /// The last attempt, once it was one of those that ask a server again.
    again: Option<Effort>,
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
            is_any_suspect: false,
            again: None,
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
        self.is_any_suspect |= ending == Ending::Suspect;
        if ending == Ending::Final || self.deadline.is_expired(now) {
            return None;
        }
        if let Ending::Asked(outcome) = ending {
            return self.after_asked(outcome, others, budget, now);
        }
        if self.again.is_none() && others && self.asked < ASKED {
            return Some(self.ordinary());
        }
        self.ask_again()
    }

    /// Returns how the next attempt is made after a server was asked.
    fn after_asked(
        &mut self,
        outcome: Outcome,
        others: bool,
        budget: &mut RetryBudget,
        now: Time,
    ) -> Option<Effort> {
        // A request that no sound server took is not repeated after a suspect has failed it.
        if !others || self.again == Some(Effort::Suspect) {
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
        Some(self.again.unwrap_or_else(|| self.ordinary()))
    }

    fn ordinary(&self) -> Effort {
        if self.sent + 1 >= self.limit { Effort::Last } else { Effort::Ordinary }
    }

    /// Asks the servers that turned the request away once more: first one where it waits, then one
    /// that fails most requests. Work that must not run twice goes to a suspect only when there is no
    /// other server, because its failure says nothing about whether it ran.
    fn ask_again(&mut self) -> Option<Effort> {
        let next = match self.again {
            None if self.is_any_busy => Effort::Insist,
            None if self.is_any_suspect => Effort::Suspect,
            Some(Effort::Insist) if self.is_any_suspect && self.class != Class::NonIdempotent => {
                Effort::Suspect
            }
            _ => return None,
        };
        self.again = Some(next);
        Some(next)
    }

    /// Returns whether a server may have run the request in one of the attempts.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

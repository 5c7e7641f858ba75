//! Requests that arrive at a gate, and their order.

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::deadline::Deadline;
use crate::service_time::Kind;

/// A request that arrives at a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The kind of the request; service times are measured separately for each kind.
    pub kind: Kind,
    /// The rank of the request; requests of rank 0 start first.
    pub rank: u8,
    /// Orders the requests of one rank: the lowest value starts first. Requests that are useful
    /// only together, such as the calls made for one request, have the same value.
    pub precedence: u64,
    /// The time until which the response has its full value. Among requests of equal rank and
    /// precedence, the earliest starts first.
    pub due: Time,
    /// The time after which the response has no value.
    pub deadline: Deadline,
    /// The hash of the name of the workspace that sent the request, or 0 if none did.
    pub workspace: u64,
    /// The part of the slots that the workspace is entitled to, relative to other workspaces, such as
    /// its rate of requests; at least 1.
    pub weight: u32,
    /// Whether a backend server sent the request while it ran another one.
    pub is_call: bool,
}

impl Arrival {
    /// Returns a request ranked by its class: bookings before lookups before downloads. Its
    /// response has its full value until the deadline, so requests of one class start in deadline
    /// order.
    pub fn of_class(class: Class, now: Time, deadline: Deadline) -> Self {
        let rank = class.default_rank();
        Self {
            kind: Kind::from(rank),
            rank,
            precedence: 0,
            due: now + deadline.remaining(now),
            deadline,
            workspace: 0,
            weight: 1,
            is_call: false,
        }
    }

    pub(super) fn sort_key(&self) -> (u8, u64, Time) {
        (self.rank, self.precedence, self.due)
    }

    /// Returns whether this request replaces `other` in a full queue.
    pub(super) fn displaces(&self, other: &Self) -> bool {
        (self.rank, self.precedence) < (other.rank, other.precedence)
    }
}

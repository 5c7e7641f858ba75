//! The orders in which queued requests start.

use arbutuslane_core::time::Time;

use super::{Arrival, Ticket};

/// The order in which the queued requests of a gate start, and the rule by which some are refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Order {
    /// By rank, then precedence, then due time. A request that cannot be in time is refused.
    #[default]
    Priority,
    /// By rank, then calls before new requests, then workspaces within their share before those
    /// beyond it, then precedence, then due time. When not all can be in time, those are refused
    /// that cost callers least.
    LeastCost,
}

/// A position in the order that several requests have in common; the lowest one starts first.
pub(super) type Level = u16;

/// The number of levels of one rank.
const LEVELS_PER_RANK: Level = 8;

/// What is added to the level of a request that will be late.
const LATE: Level = 4;

/// What is added to the level of a request that is not a call.
const NEW: Level = 2;

/// What is added to the level of a request whose workspace asks for more than its share.
pub(super) const BEYOND_SHARE: Level = 1;

/// A queued request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) arrival: Arrival,
    /// The slots that its workspace is to have, if it asks for more than its share.
    pub(super) share: Option<f64>,
    /// Whether it gives way to requests of its rank that can be in time.
    pub(super) is_late: bool,
}

impl Waiting {
    pub(super) fn new(ticket: Ticket, arrival: Arrival) -> Self {
        Self { ticket, arrival, share: None, is_late: false }
    }

    /// Returns whether this request starts before one that arrives later, in the order of priority.
    pub(super) fn precedes(&self, arrival: &Arrival) -> bool {
        self.arrival.sort_key() <= arrival.sort_key()
    }

    /// Returns the level of this request in the least-cost order.
    pub(super) fn level(&self) -> Level {
        self.timely_level() + LATE * Level::from(self.is_late)
    }

    /// Returns the level that this request has if it can be in time.
    pub(super) fn timely_level(&self) -> Level {
        rank_level(self.arrival.rank)
            + NEW * Level::from(!self.arrival.is_call)
            + BEYOND_SHARE * Level::from(self.is_beyond_share())
    }

    /// Returns whether its workspace asks for more than its share.
    pub(super) fn is_beyond_share(&self) -> bool {
        self.share.is_some()
    }

    /// Returns what orders the requests in the least-cost order.
    pub(super) fn sort_key(&self) -> (Level, u64, Time) {
        (self.level(), self.arrival.precedence, self.arrival.due)
    }
}

/// Returns the first level of `rank`.
pub(super) fn rank_level(rank: u8) -> Level {
    Level::from(rank) * LEVELS_PER_RANK
}

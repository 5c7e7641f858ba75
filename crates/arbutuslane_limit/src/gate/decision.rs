//! The decisions of a gate.

use std::time::Duration;

use super::Ticket;

/// The gate's decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot and is dispatched now.
    Run(Ticket),
    /// The request waits. A later [`QueueChange`] starts or refuses it.
    Queued {
        /// The ticket of the arriving request.
        ticket: Ticket,
        /// A request of lower priority that was removed from the queue and is refused as not run.
        displaced: Option<Ticket>,
    },
    /// The request is refused as not run.
    Refused(Refusal),
}

/// Why a request was refused and when it may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The delay to send to the caller as `Retry-After`.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline has passed.
    Expired,
    /// Its response is predicted to come after its due time.
    TooLate,
    /// The queue is full of requests of at least its priority.
    Full,
    /// Its workspace has had more than its share of the slots, and others have requests waiting.
    BeyondShare,
    /// More important requests take the slots until after its deadline.
    Displaced,
    /// The server states that it accepts no more requests at this rate.
    Limited,
    /// The server accepts no new requests.
    Closed,
}

/// The queued requests that start or are refused after slots have become free.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Queued requests that now have a slot.
    pub start: Vec<Ticket>,
    /// Queued requests that are refused as not run, because too little time remains for them.
    pub refuse: Vec<Ticket>,
    /// Queued requests that are refused as not run, because they give way to others.
    pub shed: Vec<Shed>,
}

/// A queued request that gives way to others in the least-cost order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// Why it is this one that gives way.
    pub reason: Reason,
}

/// The state in which a request was cancelled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was in the queue and has been removed; it did not run.
    Queued,
    /// The request is running: the owner closes the connection, then calls [`Gate::finish`](super::Gate::finish).
    Running,
    /// The gate does not know the request: it has already finished or been refused.
    Unknown,
}

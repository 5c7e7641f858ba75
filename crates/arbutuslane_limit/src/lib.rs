//! Admission, slots, queues, rate limits, deadlines and retries.
//!
//! All code in this crate depends only on the state and time that are passed to it. The owner of a
//! backend server has one [`Gate`](gate::Gate) for it, in one of two [orders](gate::Order), with a
//! [`Pace`](pace::Pace) while the server states how many requests it accepts. An entry has a
//! [`Bucket`](bucket::Bucket) for each caller, route and service, and a
//! [`RetryBudget`](budget::RetryBudget) for each service. Where the fleet has a limit on repeats, each
//! owner keeps a [`Part`](repeats::Part) of it instead.
//! It distinguishes callers' resends from new requests with
//! [`RecentFailures`](resend::RecentFailures), and calls [`retry::decide`] for a failed attempt. A
//! node has one [`Memory`](memory::Memory) for the request bodies that it holds, and a
//! [`BodyWatch`](body_watch::BodyWatch) for each response that it passes on.
//! [`SlowReaders`](slow_readers::SlowReaders) chooses the response that is cut when that memory is
//! used up, and an owner bounds the request bodies of each server by
//! [`ServerBodies`](server_bodies::ServerBodies). Each listener has a
//! [`Table`](connections::Table) of its connections, which decides which of them gives way to another
//! one.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_catalogue::prelude::Class;
//! use arbutuslane_limit::prelude::*;
//!
//! let now = Duration::ZERO;
//! let mut gate = Gate::new(1, 4);
//! let deadline = Deadline::after(now, Duration::from_secs(5));
//! let arrival = Arrival::of_class(Class::Idempotent, now, deadline);
//! let Admission::Run(ticket) = gate.arrive(now, arrival) else { panic!() };
//! assert!(matches!(gate.arrive(now, arrival), Admission::Queued { .. }));
//! let next = gate.finish(ticket, Duration::from_millis(20));
//! assert_eq!(next.start.len(), 1);
//! ```

pub mod acceptance;
pub mod allowance;
pub mod attempts;
pub mod avoidance;
pub mod body_watch;
pub mod bucket;
pub mod budget;
pub mod connect_time;
pub mod connections;
pub mod deadline;
pub mod gate;
pub mod memory;
pub mod pace;
pub mod places;
pub mod rank_load;
pub mod receiving;
pub mod repeats;
pub mod resend;
pub mod retry;
pub mod reuse;
pub mod server_bodies;
pub mod service_time;
pub mod slow_readers;
pub mod tried;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::attempts::{AttemptFailure, Attempts, Effort, Untried};
    pub use crate::bucket::Bucket;
    pub use crate::budget::{Origin, RetryBudget};
    pub use crate::deadline::Deadline;
    pub use crate::gate::{
        Admission, Arrival, Cancelled, Gate, Order, QueueChange, Reason, Refusal, Shed, Ticket,
    };
    pub use crate::resend::RecentFailures;
    pub use crate::retry;
    pub use crate::retry::{Attempt, Decision, Outcome};
}

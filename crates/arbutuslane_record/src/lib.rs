//! Quorum registers for idempotency keys, ejection permits and quarantined requests.
//!
//! A register is write-once: only the first attempt that a majority of a group's replicas accepts
//! may dispatch its request. [`RegisterReplica`](replica::RegisterReplica) is one replica of a
//! group, which is recovering or voting. [`Coordinator`](coordinator::Coordinator) claims a register
//! and decides whether the request is dispatched, answered with a stored response or refused. A
//! server may be ejected only under a [`Permit`](permit::Permit), a lease that a majority of the
//! replicas grants from their [`GrantTable`](permit::GrantTable)s. [`Strikes`](strike::Strikes)
//! tells which requests have crashed servers, and the
//! [`Arbiter`](trial::Arbiter) which of them may run.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_record::prelude::*;
//!
//! let now = Duration::ZERO;
//! let group = Group::founded(7, &[("node-a", 1)]);
//! let mut replica = RegisterReplica::join(now, "node-a", 1, group.clone());
//!
//! let key = key::of("bookings", "order-17");
//! let (mut coordinator, claim) = Coordinator::claim(group, key, 42, 1, Kind::Booking);
//! let response = replica.handle(now, &Request::Claim(claim));
//! assert_eq!(coordinator.replied("node-a", &response), Some(Decision::Dispatch));
//! ```

pub mod coordinator;
pub mod group;
pub mod key;
pub mod message;
pub mod permit;
pub mod replica;
pub mod store;
pub mod strike;
pub mod trial;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::coordinator::{Coordinator, Decision};
    pub use crate::group::{Group, Member};
    pub use crate::key::{self, Key};
    pub use crate::message::{Claim, Kind, Request, Response, StoredResponse};
    pub use crate::permit::{GrantTable, Permit};
    pub use crate::replica::{Recovering, RegisterReplica, Replica, Voting};
    pub use crate::strike::{Identity, Strike, Strikes, Verdict};
}

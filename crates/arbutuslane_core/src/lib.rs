//! Ids, time, seeded randomness and hashing that all other crates share.
//!
//! This crate does no I/O. The decision code of the other crates gets the [`Time`](time::Time) as
//! an argument, so it behaves the same with a real and with a virtual clock.
//!
//! ```
//! use arbutuslane_core::prelude::*;
//!
//! let nodes = vec!["node-a".to_string(), "node-b".to_string(), "node-c".to_string()];
//! let first = hash::rendezvous(&nodes, "slots", 1);
//! assert_eq!(first, hash::rendezvous(&nodes, "slots", 1));
//! ```

pub mod experiment;
pub mod hash;
pub mod id;
pub mod rng;
pub mod time;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::hash;
    pub use crate::id::{
        Attempt, DomainName, Exchange, Incarnation, NodeId, Revision, ServerId, ServiceName, Shard,
    };
    pub use crate::rng::{self, Rng};
    pub use crate::time::{Clock, Time};
}

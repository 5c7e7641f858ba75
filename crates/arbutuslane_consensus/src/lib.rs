//! Replicated log of the control instances, as a pure state machine.
//!
//! A [`Node`](node::Node) processes one [`Input`](input::Input) at a time (elapsed time, messages,
//! completed disk writes, requests) and returns [`Effect`](input::Effect)s: writes, messages,
//! entries to apply. The protocol is Raft with pre-vote, check-quorum, leader leases for reads,
//! snapshots and membership changes of one member at a time. The role is a typestate of
//! [`Replica`](replica::Replica); a replica that is still catching up never campaigns.
//!
//! ```
//! use arbutuslane_consensus::prelude::*;
//! use std::time::Duration;
//!
//! let id = Id { name: "a".to_string(), disk_id: 1 };
//! let member = Member { id: id.clone(), voter: true, replaces: None, addresses: String::new() };
//! let saved = DurableState::initial(id, vec![member], Vec::new());
//! let mut node = Node::start(saved, Timing::default(), 7, Duration::ZERO);
//! let (next, effects) = node.step(Duration::from_secs(2), Input::Tick);
//! node = next;
//! assert_eq!(node.role(), "candidate");
//! assert!(effects.iter().any(|effect| matches!(effect, Effect::Write { .. })));
//! ```

mod append;
mod common;
mod election;
mod incoming;
pub mod input;
mod leader;
pub mod log;
pub mod member;
pub mod message;
pub mod node;
mod progress;
pub mod replica;
pub mod timing;

/// Re-exports the types that most users of this crate need.
pub mod prelude {
    pub use crate::input::{Effect, Input, Write};
    pub use crate::log::{Body, DurableState, Entry, Snapshot};
    pub use crate::member::{Id, Member, Reconfigure};
    pub use crate::message::{Envelope, Message};
    pub use crate::node::Node;
    pub use crate::timing::Timing;
}

//! The node as a member of the fleet: gossip, configuration, replicas of quorum registers.
//!
//! The control thread runs [`control::run`]. Requests of other processes are answered on the
//! thread that received them, under short locks, so that a claim does not wait for the control
//! thread. [`keyed`] is the stage of the request path that claims idempotency keys, and [`permits`]
//! obtains the fleet's permits for ejections.

mod bursts;
pub(crate) mod contact;
pub(crate) mod control;
pub(crate) mod delta;
pub(crate) mod departures;
pub(crate) mod items;
pub(crate) mod keyed;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod registers;
pub(crate) mod report;
pub(crate) mod state;
pub(crate) mod strikes;
pub(crate) mod trials;
mod watch;

pub(crate) use state::Cluster;

//! A control instance for a catalogue of items with versions of their own.
//!
//! The instances find each other by gossip and need no leader: whichever takes a change collects
//! the copies that the change needs. [`core`] holds the state, [`disk`] writes it, [`replicate`]
//! sends changes to the other instances and to the nodes, and [`server`] answers operators and
//! peers in the form that an [`interface::Operators`] gives.

mod core;
pub mod daemon;
mod disk;
pub mod interface;
mod replicate;
mod server;
pub mod settings;

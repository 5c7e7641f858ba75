//! A control instance for a catalogue of items with versions of their own.
//!
//! The instances find each other by gossip and need no leader: whichever takes a change collects
//! the copies that the change needs. [`daemon`] starts an instance from its [`settings`], and
//! [`interface::Operators`] gives the form in which operators change and read items.

mod core;
pub mod daemon;
mod disk;
pub mod interface;
mod replicate;
mod server;
pub mod settings;

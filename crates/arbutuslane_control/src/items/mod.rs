//! A control instance for a catalogue of individually versioned items.
//!
//! The instances find each other by gossip. Any of them may receive a change; it sends the change to the
//! one that leads, or leads itself if that one does not respond. [`daemon`] starts an instance from its [`settings`],
//! and [`interface::OperatorFormat`] defines the format in which operators change and read items.

mod agreement;
mod compare;
mod core;
pub mod daemon;
mod disk;
mod disk_thread;
mod durable;
pub mod interface;
mod kept;
mod kept_log;
mod leader;
mod listener;
mod outbox;
mod push;
mod server;
pub mod settings;
mod settle;
mod voters;
mod writer;

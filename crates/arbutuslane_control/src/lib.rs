//! The control daemon: catalogue replicas and the operator API.
//!
//! [`Settings`](settings::Settings) come from a JSON file. [`run`](daemon::run) opens the data
//! folder, serves operators, nodes and the other control instances, and returns after a stop
//! signal. [`Daemon`](daemon::Daemon) does the same for tests that run several instances in one
//! process. [`items::daemon::run`] serves a catalogue of individually versioned items instead, for
//! fleets whose control instances find each other by gossip.

mod apply;
mod assign;
mod body;
mod border;
pub mod daemon;
pub mod engine;
mod gossip;
pub mod items;
mod operators;
mod peers;
mod replica;
pub mod settings;
mod store;
pub mod token;
mod transport;
mod watch;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::daemon::{self, Daemon};
    pub use crate::settings::{self, Settings};
}

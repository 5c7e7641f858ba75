//! The form in which backend servers and the platform call a node.

use std::fmt::Debug;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_wire::announce::Announcement;
use arbutuslane_wire::dialect::Dialect;

/// A call on the `admin` listener.
#[derive(Debug)]
pub enum Call {
    /// A server announces itself, renews its lease or begins to drain.
    Announce(Result<Announcement, String>),
    /// A server leaves.
    Leave {
        /// The server.
        server: ServerId,
        /// Its incarnation, where it states it.
        incarnation: Option<Incarnation>,
    },
    /// Somebody asks whether the node takes requests.
    Ready,
    /// The call is left to the fleet's own interface.
    Native,
}

/// Translates the calls of backend servers and of the platform.
pub trait Interface: Debug + Send + Sync {
    /// Returns the names of header fields on the hops to callers and servers.
    fn dialect(&self) -> &Dialect;

    /// Reads a call; `target` holds path and query.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Call;
}

/// The fleet's own interface.
#[derive(Debug)]
pub struct Native;

impl Interface for Native {
    fn dialect(&self) -> &Dialect {
        &Dialect::NATIVE
    }

    fn read(&self, _: &str, _: &str, _: &[u8]) -> Call {
        Call::Native
    }
}

//! The interface through which backend servers and the platform call a node.

use std::fmt::Debug;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_wire::announce::Announcement;
use arbutuslane_wire::dialect::Dialect;

/// A call on the `admin` listener.
#[derive(Debug)]
pub enum Call {
    /// A server announces itself, renews its lease or starts to drain; an error describes a
    /// malformed call.
    Announce(Result<Announcement, String>),
    /// A server leaves.
    Leave {
        /// The name of the server.
        server: ServerId,
        /// The incarnation of the server, if the call states it.
        incarnation: Option<Incarnation>,
    },
    /// A readiness check: whether the node accepts requests.
    Ready,
    /// The fleet's own interface handles the call.
    Native,
}

/// Translates calls of backend servers and of the platform to those of the fleet.
pub trait Interface: Debug + Send + Sync {
    /// Returns the names of the header fields that the node uses towards callers and servers.
    fn dialect(&self) -> &Dialect;

    /// Parses a call; `target` is the path with the query.
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

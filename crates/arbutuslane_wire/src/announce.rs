//! Announcements by which backend servers register with the node beside them (JSON).

use serde::{Deserialize, Serialize};

/// Announces a backend server or renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the server belongs to.
    pub service: String,
    /// The server's name, unique in the fleet.
    pub server: String,
    /// A number that increases with each start of the server.
    pub incarnation: u64,
    /// The IP address and port on which the server accepts requests.
    pub address: String,
    /// The number of requests that the server can run at a time.
    pub slots: u32,
    /// The highest catalogue revision that the server received in a [`Lease`]; 0 before the first
    /// one.
    #[serde(default)]
    pub revision: u64,
    /// A number that increases with each announcement of an incarnation, so that the node can
    /// detect an announcement that arrives late; 0 when the server does not count them.
    #[serde(default)]
    pub sequence: u64,
    /// Whether the server accepts no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Milliseconds until the server is warmed up after its start, when it states them.
    #[serde(default)]
    pub warming_ms: Option<u64>,
}

/// The response to an accepted announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Milliseconds after which the node stops sending requests unless the lease is renewed.
    pub lease_ms: u64,
    /// Milliseconds after which the server should renew the lease.
    pub renew_ms: u64,
    /// The catalogue revision that the node has in force.
    pub revision: u64,
}

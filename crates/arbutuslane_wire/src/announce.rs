//! Announcements of backend servers to the node beside them (JSON).

use serde::{Deserialize, Serialize};

/// Announces a backend server or renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the server belongs to.
    pub service: String,
    /// The server's name, unique in the fleet.
    pub server: String,
    /// Raised with each start of the server.
    pub incarnation: u64,
    /// The IP address and port where the server takes requests.
    pub address: String,
    /// The number of requests that the server runs at a time.
    pub slots: u32,
    /// The highest catalogue revision that any node told this server; 0 at first.
    #[serde(default)]
    pub revision: u64,
    /// Raised with each announcement of an incarnation, so that a late one is told from the newest;
    /// 0 where the server does not count them.
    #[serde(default)]
    pub sequence: u64,
    /// Whether the server takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// Milliseconds for which the server is still slow after its start, where it says so.
    #[serde(default)]
    pub warming_ms: Option<u64>,
}

/// The answer to an accepted announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Milliseconds after which the node stops sending unless the lease is renewed.
    pub lease_ms: u64,
    /// Milliseconds after which to renew.
    pub renew_ms: u64,
    /// The catalogue revision that the node has in force.
    pub revision: u64,
}

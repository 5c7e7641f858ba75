//! The status of a node or control instance, the response to GET `/v1/status` (JSON).
//!
//! Every field has a default, so that command line and daemons of different releases understand
//! each other.

use serde::{Deserialize, Serialize};

/// What one instance is and sees.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The id of the instance.
    pub instance: String,
    /// `node` or `control`.
    pub role: String,
    /// The version of the program.
    pub version: String,
    /// The failure domain.
    pub domain: String,
    /// The start time in milliseconds.
    pub incarnation: u64,
    /// The catalogue revision in force here.
    pub revision: u64,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// On a node, whether no control instance is reached; on a control instance, no majority.
    pub isolated: bool,
    /// The state of the replicated log; only on a control instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<Log>,
    /// The instances that this one knows.
    pub members: Vec<Member>,
    /// The services as this instance sees them.
    pub services: Vec<Service>,
}

/// The state of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// `leader`, `follower`, `candidate` or `catching-up`.
    pub state: String,
    /// The term.
    pub term: u64,
    /// The id of the leader, where known.
    pub leader: Option<String>,
    /// The index of the last committed entry.
    pub committed: u64,
}

/// One known instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// The id of the instance.
    pub instance: String,
    /// `node` or `control`.
    pub role: String,
    /// `alive`, `suspected` or `dead`.
    pub state: String,
    /// The failure domain.
    pub domain: String,
    /// The address at which operators reach the instance: a node's `admin` listener or a control
    /// instance's `operators` listener.
    pub address: String,
    /// The last revision that the instance reported in force to the one that answers, or 0.
    pub revision: u64,
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The name of the service.
    pub service: String,
    /// The floor that the catalogue states.
    pub floor: u32,
    /// Warm servers that neither drain nor have left; ejected ones are included.
    pub live: u32,
    /// Ejected servers among the live ones.
    pub ejected: u32,
    /// Servers in their ramp-up after a cold start.
    pub cold: u32,
    /// Draining servers.
    pub draining: u32,
    /// The servers, where the instance knows them.
    pub servers: Vec<Server>,
}

/// One backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// The id of the server.
    pub server: String,
    /// The node that owns it.
    pub owner: String,
    /// `cold`, `serving`, `draining` or `ejected`.
    pub state: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests in flight; only from the owner.
    pub in_flight: u32,
}

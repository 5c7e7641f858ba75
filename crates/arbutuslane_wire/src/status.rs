//! The status of a node or control instance: the response to GET `/v1/status` (JSON).
//!
//! Every field has a default, so that the command line and the daemons can be of different
//! releases.

use serde::{Deserialize, Serialize};

/// The state of one instance, and of the fleet as this instance observes it.
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
    /// The start time in milliseconds since 1970-01-01 UTC.
    pub incarnation: u64,
    /// The catalogue revision that the instance has in force.
    pub revision: u64,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// On a node, whether it reaches no control instance; on a control instance, whether it reaches
    /// no majority.
    pub isolated: bool,
    /// The state of the replicated log; only on a control instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<Log>,
    /// The instances known to this one.
    pub members: Vec<Member>,
    /// The services as this instance observes them.
    pub services: Vec<Service>,
}

/// The state of the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// `leader`, `follower`, `candidate` or `catching-up`.
    pub state: String,
    /// The current term.
    pub term: u64,
    /// The id of the leader, when known.
    pub leader: Option<String>,
    /// The index of the last committed entry.
    pub committed: u64,
}

/// One instance known to the instance that responds.
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
    /// The address of the instance for operators: a node's `admin` listener or a control
    /// instance's `operators` listener.
    pub address: String,
    /// The last revision that the instance reported as in force to the one that responds, or 0.
    pub revision: u64,
}

/// The state of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The name of the service.
    pub service: String,
    /// The number of healthy servers below which ejections must not bring the service, from the
    /// catalogue.
    pub floor: u32,
    /// Warm servers that neither drain nor have left, including ejected ones.
    pub live: u32,
    /// Ejected servers among the live ones.
    pub ejected: u32,
    /// Servers in their ramp-up after a cold start.
    pub cold: u32,
    /// Draining servers.
    pub draining: u32,
    /// The servers, when the instance knows them.
    pub servers: Vec<Server>,
}

/// The state of one backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// The id of the server.
    pub server: String,
    /// The node that owns the server.
    pub owner: String,
    /// `cold`, `serving`, `draining` or `ejected`.
    pub state: String,
    /// Requests that the server can run at a time.
    pub slots: u32,
    /// Requests in flight; reported only by the owner.
    pub in_flight: u32,
}

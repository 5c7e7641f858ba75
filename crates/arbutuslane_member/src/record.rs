//! Records, in which nodes describe themselves and their backend servers to the fleet.

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, ServerId, ServiceName};

/// The state of a backend server as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Started recently and receives a reduced share of requests.
    Cold,
    /// Receives requests.
    Serving,
    /// Receives no new requests and is about to leave.
    Draining,
    /// Receives only trial requests.
    Ejected,
}

/// One backend server of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The server's name.
    pub id: ServerId,
    /// Counts the starts of the server.
    pub incarnation: Incarnation,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server receives requests.
    pub state: State,
}

/// Whether a node is considered available; within one round the later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Responds to probes.
    Alive,
    /// Failed a probe and has not yet refuted the suspicion.
    Suspect,
    /// Failed the confirmation probe without refuting the suspicion in time.
    Dead,
    /// Announced that it is leaving.
    Left,
}

/// The fleet's view of a node at one version of its record.
///
/// The node itself raises `round` to refute a suspicion, so a refutation needs no new record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct View {
    /// The number of suspicions that the node has refuted.
    pub round: u64,
    /// Whether the node is considered available.
    pub standing: Standing,
}

/// The record of a node; only the node itself changes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node's name.
    pub node: NodeId,
    /// The start time of the node in milliseconds; each start begins with empty memory.
    pub incarnation: Incarnation,
    /// Incremented by the node with each change to the record.
    pub version: u64,
    /// The IP address and port of the `peers` listener.
    pub peers: String,
    /// The IP address and port of the `callers` listener, empty for a control instance.
    pub callers: String,
    /// The failure domain of the node.
    pub domain: DomainName,
    /// The release that the node runs.
    pub release: String,
    /// The backend servers in ascending order of their id.
    pub servers: Vec<Server>,
}

impl Record {
    /// Returns the first version of a record without servers.
    pub fn new(node: &str, incarnation: Incarnation, peers: &str, domain: &str) -> Self {
        Self {
            node: node.to_string(),
            incarnation,
            version: 1,
            peers: peers.to_string(),
            callers: String::new(),
            domain: domain.to_string(),
            release: String::new(),
            servers: Vec::new(),
        }
    }

    /// Returns the sort key that orders the records of one node from oldest to newest.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.version)
    }
}

//! What a node tells the fleet about itself and its backend servers.

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, ServerId, ServiceName};

/// The state of a backend server as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Started recently and takes a reduced share of work.
    Cold,
    /// Takes work.
    Serving,
    /// Takes no new work and is about to leave.
    Draining,
    /// Takes trial requests only.
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
    /// The number of requests that the server runs at a time.
    pub slots: u32,
    /// Whether the server takes work.
    pub state: State,
}

/// Whether the fleet counts on a node; in the same round the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Answers.
    Alive,
    /// Did not answer, and has not yet refuted the suspicion.
    Suspect,
    /// Did not answer and did not refute in time.
    Dead,
    /// Announced its own departure.
    Left,
}

/// The fleet's view of a node at one version of its record.
///
/// The node itself raises `round` to refute a suspicion, so a refutation needs no new record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct View {
    /// The number of suspicions that the node has refuted.
    pub round: u64,
    /// Whether the fleet counts on the node.
    pub standing: Standing,
}

/// The record that a node owns; nobody else changes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node's name.
    pub node: NodeId,
    /// The start of the node in milliseconds; a higher one has lost all memory.
    pub incarnation: Incarnation,
    /// Raised by the node with each change of the record.
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

    /// Returns the order of this record among all records of its node.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.version)
    }
}

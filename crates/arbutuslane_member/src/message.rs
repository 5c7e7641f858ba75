//! Requests and responses between the membership state machines of two processes.

use std::sync::Arc;

use arbutuslane_core::id::{Incarnation, NodeId};

use crate::configuration::{Payload, Position};
use crate::record::{Record, View};

/// A record with the sender's view of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWithView {
    /// The record.
    pub record: Arc<Record>,
    /// The sender's view of the node.
    pub view: View,
}

/// A view of a node without its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeView {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the record that the view applies to.
    pub incarnation: Incarnation,
    /// The version of that record.
    pub version: u64,
    /// The sender's view of the node.
    pub view: View,
}

/// A short summary of a process's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The sender.
    pub node: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The newest position that the sender has.
    pub position: Position,
    /// The hash of the sender's membership table.
    pub hash: u64,
}

/// A request from one process to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Starts an exchange; also serves as a liveness probe of the receiver.
    Digest(Digest),
    /// Sends the sender's view of the nodes in buckets whose hashes differ.
    Compare {
        /// The buckets.
        buckets: Vec<u16>,
        /// The view of every node in these buckets.
        views: Vec<NodeView>,
    },
    /// Sends records and views that are new to the sender.
    Push {
        /// New records.
        records: Vec<RecordWithView>,
        /// Changed views of known records.
        views: Vec<NodeView>,
    },
    /// Requests that the receiver probe a node.
    Probe {
        /// The node to probe.
        node: NodeId,
        /// The address of its `peers` listener.
        address: String,
        /// The incarnation, version and round that the sender knows. A receiver that knows a newer
        /// state of an alive node has proof that the node was alive after that.
        seen: (Incarnation, u64, u64),
    },
    /// Requests the configuration changes after a position.
    Fetch {
        /// The newest position that the sender has.
        known: Position,
    },
    /// Sends configuration that advances the receiver to a newer position.
    Offer(Payload),
}

/// The response to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The response to a digest: the responder's own digest, with its bucket hashes when the tables
    /// differ.
    Digest {
        /// The digest of the responder.
        digest: Digest,
        /// The hash of every bucket, empty when the tables are equal.
        buckets: Vec<u64>,
    },
    /// The response to a comparison: the differences between both tables.
    Difference {
        /// Records and views that are newer at the responder.
        records: Vec<RecordWithView>,
        /// Nodes whose records or views are newer at the requester.
        wanted: Vec<NodeId>,
    },
    /// The response to a probe request.
    Probed {
        /// Whether the probed node responded.
        reached: bool,
    },
    /// The response to a fetch: newer configuration, or `None` when the responder has none.
    Configuration(Option<Payload>),
    /// The response to a push or an offer, without content.
    Done,
}

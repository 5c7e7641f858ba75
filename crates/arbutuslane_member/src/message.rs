//! Requests and answers between the membership code of two processes.

use std::sync::Arc;

use arbutuslane_core::id::{Incarnation, NodeId};

use crate::configuration::{Payload, Position};
use crate::record::{Record, View};

/// A record with the sender's view of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The record.
    pub record: Arc<Record>,
    /// How the sender sees the node.
    pub view: View,
}

/// A view of a node without its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the record that the view is about.
    pub incarnation: Incarnation,
    /// The version of that record.
    pub version: u64,
    /// How the sender sees the node.
    pub view: View,
}

/// The state of a process in a few bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The sender.
    pub node: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The position that the sender has in force.
    pub position: Position,
    /// The hash of the sender's table.
    pub hash: u64,
}

/// A request of one process to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Starts an exchange, and asks whether the receiver answers at all.
    Digest(Digest),
    /// The sender's view of the nodes in buckets whose hashes differ.
    Compare {
        /// The buckets.
        buckets: Vec<u16>,
        /// The view of every node in these buckets.
        verdicts: Vec<Verdict>,
    },
    /// Records and views that are new to the sender.
    Push {
        /// New records.
        records: Vec<Held>,
        /// Changed views of known records.
        verdicts: Vec<Verdict>,
    },
    /// Asks the receiver to find out whether a node answers.
    Probe {
        /// The node in doubt.
        node: NodeId,
        /// The address of its `peers` listener.
        address: String,
        /// The incarnation, version and round that the sender knows; a receiver that knows more has
        /// proof that the node lived on.
        seen: (Incarnation, u64, u64),
    },
    /// Asks for what follows a position.
    Fetch {
        /// The position that the sender has in force.
        known: Position,
    },
    /// Brings the receiver to a newer position.
    Offer(Payload),
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// To a digest: the answering process's own, with its bucket hashes when the tables differ.
    Digest {
        /// The digest of the answering process.
        digest: Digest,
        /// The hash of every bucket, empty when the tables are equal.
        buckets: Vec<u64>,
    },
    /// To a comparison: what the asking process lacks.
    Difference {
        /// Records and views that are newer here.
        records: Vec<Held>,
        /// Nodes whose records are newer at the asking process.
        wanted: Vec<NodeId>,
    },
    /// To a probe: whether the node in doubt answered.
    Probed {
        /// True when it answered.
        reached: bool,
    },
    /// To a fetch: what follows, or nothing.
    Configuration(Option<Payload>),
    /// Received.
    Done,
}

//! Membership and configuration between processes, with conversions to and from the state machine.
//!
//! Field names are short and views are tuples, because these messages are most of a node's control
//! traffic at rest.

mod convert;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A position in the replicated state: revision and register group changes.
pub type Position = (u64, u64);

/// A view of a node: name, incarnation, version, round, standing.
pub type Verdict = (String, u64, u64, u64, Standing);

/// Whether the fleet counts on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Answers.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer.
    #[serde(rename = "s")]
    Suspect,
    /// Did not refute in time.
    #[serde(rename = "d")]
    Dead,
    /// Announced its departure.
    #[serde(rename = "l")]
    Left,
}

/// The state of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes a reduced share of work.
    #[serde(rename = "c")]
    Cold,
    /// Takes work.
    #[serde(rename = "s")]
    Serving,
    /// About to leave.
    #[serde(rename = "d")]
    Draining,
    /// Takes trial requests only.
    #[serde(rename = "e")]
    Ejected,
}

/// A node's record with the sender's view of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The node's name.
    pub node: String,
    /// The node's incarnation.
    pub inc: u64,
    /// The version of the record.
    pub ver: u64,
    /// The address of the `peers` listener.
    pub peers: String,
    /// The address of the `callers` listener.
    pub callers: String,
    /// The failure domain.
    pub domain: String,
    /// The release that the node runs.
    #[serde(default)]
    pub release: String,
    /// The servers: name, incarnation, service, slots, state.
    pub servers: Vec<(String, u64, String, u32, State)>,
    /// The round of the view.
    pub round: u64,
    /// The sender's view.
    pub standing: Standing,
}

/// The state of a process in a few bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's name.
    pub node: String,
    /// The sender's incarnation.
    pub inc: u64,
    /// The sender's position.
    pub pos: Position,
    /// The hash of the sender's table.
    pub hash: u64,
}

/// One step of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The position that the step applies to.
    pub base: Position,
    /// The position after the step.
    pub pos: Position,
    /// The encoded step.
    #[serde(with = "bytes")]
    pub bytes: Arc<[u8]>,
}

/// What brings a process to a newer position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Steps in ascending order.
    Deltas(Vec<Delta>),
    /// The whole encoded state.
    Snapshot {
        /// The position of the state.
        pos: Position,
        /// The encoded state.
        #[serde(with = "bytes")]
        bytes: Arc<[u8]>,
    },
}

/// See [`arbutuslane_member::message::Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts an exchange.
    Digest(Digest),
    /// The sender's view of the nodes in some buckets.
    Compare {
        /// The buckets.
        buckets: Vec<u16>,
        /// The views.
        verdicts: Vec<Verdict>,
    },
    /// Changed records and views.
    Push {
        /// The records.
        records: Vec<Held>,
        /// The views.
        verdicts: Vec<Verdict>,
    },
    /// Asks whether a node answers.
    Probe {
        /// The node.
        node: String,
        /// The address of its `peers` listener.
        address: String,
        /// The incarnation, version and round that the sender knows.
        seen: (u64, u64, u64),
    },
    /// Asks for what follows a position.
    Fetch {
        /// The position.
        known: Position,
    },
    /// Brings the receiver to a newer position.
    Offer(Payload),
}

/// See [`arbutuslane_member::message::Answer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To a digest.
    Digest {
        /// The digest of the answering process.
        digest: Digest,
        /// Its bucket hashes, empty when the tables are equal.
        buckets: Vec<u64>,
    },
    /// To a comparison.
    Difference {
        /// Records that are newer at the answering process.
        records: Vec<Held>,
        /// Nodes that are newer at the asking process.
        wanted: Vec<String>,
    },
    /// To a probe.
    Probed {
        /// Whether the node answered.
        reached: bool,
    },
    /// To a fetch.
    Configuration(Option<Payload>),
    /// Received.
    Done,
}

/// Byte strings, which MessagePack encodes without a length for each byte.
pub(super) mod bytes {
    use std::sync::Arc;

    use serde::de::{Deserializer, Error, Visitor};
    use serde::ser::Serializer;

    pub(crate) fn serialize<S: Serializer>(
        bytes: &Arc<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<[u8]>, D::Error> {
        struct Bytes;

        impl Visitor<'_> for Bytes {
            type Value = Arc<[u8]>;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("a byte string")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
                Ok(bytes.into())
            }
        }

        deserializer.deserialize_bytes(Bytes)
    }
}

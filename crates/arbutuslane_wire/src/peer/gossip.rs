//! Messages about membership and configuration, with conversions to and from the types of the state
//! machine.
//!
//! Field names are short and views are tuples, because these messages make up most of a node's
//! control traffic when the fleet is idle.

mod convert;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A position in the replicated state: the catalogue revision and the number of changes to register
/// groups.
pub type Position = (u64, u64);

/// A view of a node: its name, the incarnation and version of its record, round and standing.
pub type Verdict = (String, u64, u64, u64, Standing);

/// Whether a node is considered available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The node responds.
    #[serde(rename = "a")]
    Alive,
    /// The node did not respond and may still refute the suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// The node did not refute the suspicion in time.
    #[serde(rename = "d")]
    Dead,
    /// The node announced that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// The state of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Receives a reduced share of requests after its start.
    #[serde(rename = "c")]
    Cold,
    /// Accepts all requests.
    #[serde(rename = "s")]
    Serving,
    /// Accepts no new requests and is about to leave.
    #[serde(rename = "d")]
    Draining,
    /// Accepts trial requests only.
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
    /// The version of the record, which the node increases with each change.
    pub ver: u64,
    /// The address of the `peers` listener.
    pub peers: String,
    /// The address of the `callers` listener, empty for a control instance.
    pub callers: String,
    /// The failure domain.
    pub domain: String,
    /// The release that the node runs.
    #[serde(default)]
    pub release: String,
    /// The backend servers of the node: name, incarnation, service, slots, state.
    pub servers: Vec<(String, u64, String, u32, State)>,
    /// The round of the view: the number of suspicions that the node has refuted.
    pub round: u64,
    /// The standing of the node in the sender's view.
    pub standing: Standing,
}

/// A short summary of the state of a process, which shows whether it differs from another's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's name.
    pub node: String,
    /// The sender's incarnation.
    pub inc: u64,
    /// The sender's position in the replicated state.
    pub pos: Position,
    /// The hash of the sender's membership table.
    pub hash: u64,
}

/// One step of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The position that the step applies to.
    pub base: Position,
    /// The position after the step.
    pub pos: Position,
    /// The step, encoded.
    #[serde(with = "bytes")]
    pub bytes: Arc<[u8]>,
}

/// Data that advances a process to a newer position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Steps in ascending order, the first of which applies to the receiver's position.
    Deltas(Vec<Delta>),
    /// The complete state.
    Snapshot {
        /// The position of the state.
        pos: Position,
        /// The state, encoded.
        #[serde(with = "bytes")]
        bytes: Arc<[u8]>,
    },
}

/// The serialized form of [`arbutuslane_member::message::Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts an exchange with a digest of the sender's state.
    Digest(Digest),
    /// Sends the sender's views of all nodes in buckets whose hashes differ.
    Compare {
        /// The indices of the buckets.
        buckets: Vec<u16>,
        /// The views of the nodes in these buckets.
        verdicts: Vec<Verdict>,
    },
    /// Sends changed records and views.
    Push {
        /// The new records with the sender's views.
        records: Vec<Held>,
        /// The changed views of nodes whose records are not sent.
        verdicts: Vec<Verdict>,
    },
    /// Requests that the receiver find out whether a node responds.
    Probe {
        /// The node to probe.
        node: String,
        /// The address of its `peers` listener.
        address: String,
        /// The incarnation, version and round that the sender knows; a receiver with newer values
        /// knows that the node was alive since.
        seen: (u64, u64, u64),
    },
    /// Requests the steps or the snapshot after a position.
    Fetch {
        /// The position that the sender has in force.
        known: Position,
    },
    /// Sends data that advances the receiver to a newer position.
    Offer(Payload),
}

/// The serialized form of [`arbutuslane_member::message::Response`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The response to [`Message::Digest`].
    Digest {
        /// The digest of the responder.
        digest: Digest,
        /// The responder's bucket hashes, empty when the tables are equal.
        buckets: Vec<u64>,
    },
    /// The response to [`Message::Compare`].
    Difference {
        /// Records and views that are newer at the responder.
        records: Vec<Held>,
        /// Nodes whose records are newer at the requester.
        wanted: Vec<String>,
    },
    /// The response to [`Message::Probe`].
    Probed {
        /// Whether the probed node responded.
        reached: bool,
    },
    /// The response to [`Message::Fetch`], with `None` when the responder has no newer position.
    Configuration(Option<Payload>),
    /// Confirms receipt; there is no data to return.
    Done,
}

/// Serializes byte sequences as MessagePack byte strings, not as arrays with an encoding for each
/// byte.
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
        struct BytesVisitor;

        impl Visitor<'_> for BytesVisitor {
            type Value = Arc<[u8]>;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("a byte string")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
                Ok(bytes.into())
            }
        }

        deserializer.deserialize_bytes(BytesVisitor)
    }
}

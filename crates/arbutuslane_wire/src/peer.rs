//! Messages between nodes and control instances, sent by POST to `/v1/peer`.

pub mod gossip;
pub mod register;

use serde::{Deserialize, Serialize};

/// A request of one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the replicated state when the receiver has a newer one.
    FetchSnapshot {
        /// The revision that the sender has in force.
        known_revision: u64,
    },
    /// Membership and configuration.
    Gossip(gossip::Message),
    /// To the replica of a quorum register.
    Register(register::Message),
    /// Tells the owner of other servers of a service about requests that crashed a server.
    Strike {
        /// The service.
        service: String,
        /// The server that crashed.
        server: String,
        /// The incarnation of that server.
        incarnation: u64,
        /// The fingerprints of the requests that it was running.
        fingerprints: Vec<u64>,
    },
    /// Tells the owner of other servers of a service that a request has run without a crash.
    ClearStrikes {
        /// The service.
        service: String,
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// Tells a control instance which position a node has in force.
    InForce {
        /// The node.
        node: String,
        /// The revision.
        revision: u64,
        /// The shards whose groups the node votes in, with their epochs.
        votes: Vec<(u32, u64)>,
    },
    /// Asks for the catalogue items in which the receiver's table differs from the sender's.
    SyncItems {
        /// The hashes of the parts of the sender's table.
        buckets: Vec<u64>,
        /// Whether items are wanted that are not known to be accepted.
        unaccepted: bool,
    },
    /// Asks a control instance to hold catalogue items on its disk.
    StoreItems {
        /// The items, encoded.
        items: Vec<u8>,
    },
    /// Tells of catalogue items that are accepted.
    AcceptedItems {
        /// The items, encoded.
        items: Vec<u8>,
    },
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A newer state follows, encoded as the catalogue's snapshot.
    Snapshot(Vec<u8>),
    /// The receiver has nothing newer.
    Unchanged,
    /// The receiver does not handle this message.
    Unsupported,
    /// To [`Message::Gossip`].
    Gossip(gossip::Answer),
    /// To [`Message::Register`].
    Register(register::Answer),
    /// Received.
    Done,
    /// To [`Message::SyncItems`].
    Items {
        /// The answering instance or node.
        instance: String,
        /// Whether it holds everything that was accepted before it started.
        complete: bool,
        /// The items that differ, encoded.
        items: Vec<u8>,
        /// Those of them that are known to be accepted, encoded.
        accepted: Vec<u8>,
    },
    /// To [`Message::StoreItems`]: the items, or newer versions, are on the receiver's disk.
    Stored {
        /// The answering instance.
        instance: String,
        /// Accepted items that contradict those that were sent, encoded.
        contradicting: Vec<u8>,
    },
}

//! Messages between nodes and control instances, sent by POST to `/v1/peer`.

use serde::{Deserialize, Serialize};

/// A request of one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the replicated state when the receiver has a newer one.
    FetchSnapshot {
        /// The revision that the sender has in force.
        known_revision: u64,
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
}

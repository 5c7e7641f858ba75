//! Messages between replicas.

use crate::log::{Entry, Snapshot};
use crate::member::Id;

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// The sender.
    pub from: Id,
    /// The receiver. A replica with the same name and another [`Id::disk_id`], whose data folder
    /// was created anew, drops the message, unless it is a [`Message::JoinRequest`] to disk id 0.
    pub to: Id,
    /// The content of the message.
    pub message: Message,
}

/// The content of an [`Envelope`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks whether the receiver would grant its vote, without raising any term.
    PreVote {
        /// The term that the sender would campaign in.
        term: u64,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// The response to [`Message::PreVote`].
    PreVoted {
        /// The term of the [`Message::PreVote`].
        term: u64,
        /// The current term of the sender of this response.
        own_term: u64,
        /// Whether the sender of this response would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term of the campaign.
        term: u64,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// The response to [`Message::Vote`], sent after the vote is durable.
    Voted {
        /// The current term of the sender of this response.
        term: u64,
        /// Whether the sender of this response voted for the receiver.
        granted: bool,
    },
    /// A heartbeat that carries the entries after `prev_index`.
    Append {
        /// The leader's term.
        term: u64,
        /// The number of the leader's last heartbeat round. [`Message::Appended`] returns it, which
        /// renews the leader's lease.
        round: u64,
        /// The index of the entry right before `entries`, also when `entries` is empty.
        prev_index: u64,
        /// The term of the entry at that index.
        prev_term: u64,
        /// The entries, in ascending order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// The response to [`Message::Append`] and [`Message::Snapshot`].
    Appended {
        /// The current term of the sender of this response.
        term: u64,
        /// The highest heartbeat round that the sender of this response has received from this
        /// leader.
        round: u64,
        /// The index up to which the durable log of the sender of this response is known to agree
        /// with the leader's.
        matched: u64,
        /// The index after which the leader should continue, set when the log of the sender of this
        /// response has no entry at `prev_index` or one of another term.
        conflict: Option<u64>,
    },
    /// The leader's snapshot, for a replica that needs entries which the leader has compacted.
    Snapshot {
        /// The leader's term.
        term: u64,
        /// The number of the leader's last heartbeat round, as in [`Message::Append`].
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A request to receive the log, from a replica whose data folder is new or that does not vote.
    JoinRequest,
    /// A request to the leader for the index up to which the sender must apply the log before it
    /// serves a read.
    ReadIndex {
        /// An identifier of the read, chosen by the sender.
        read: u64,
    },
    /// The response to [`Message::ReadIndex`].
    ReadIndexResponse {
        /// The identifier of the read from the request.
        read: u64,
        /// The index; `None` when the sender of this response does not lead.
        index: Option<u64>,
    },
}

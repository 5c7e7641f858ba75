//! Messages between replicas.

use crate::log::{Entry, Snapshot};
use crate::member::Id;

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// The sender.
    pub from: Id,
    /// The receiver; any other instance of the same name drops the message.
    pub to: Id,
    /// The content.
    pub message: Message,
}

/// The content of an [`Envelope`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks whether the receiver would vote, without raising any term.
    PreVote {
        /// The term that the sender would campaign in.
        term: u64,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers [`Message::PreVote`].
    PreVoted {
        /// The term that was asked about.
        term: u64,
        /// The receiver's own term.
        own_term: u64,
        /// Whether the sender would vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term of the campaign.
        term: u64,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers [`Message::Vote`] after the vote is durable.
    Voted {
        /// The sender's term.
        term: u64,
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// A heartbeat with the entries after `prev_index`.
    Append {
        /// The leader's term.
        term: u64,
        /// Numbers the heartbeats, for the lease.
        round: u64,
        /// The index before the first entry.
        prev_index: u64,
        /// The term of that index.
        prev_term: u64,
        /// The entries, in ascending order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// Answers [`Message::Append`] and [`Message::Snapshot`].
    Appended {
        /// The sender's term.
        term: u64,
        /// The last heartbeat that the sender has received from this leader.
        round: u64,
        /// The index up to which the sender's durable log is known to agree with the leader's.
        matched: u64,
        /// Where the leader should continue when the logs do not join.
        conflict: Option<u64>,
    },
    /// The state, for a replica that needs entries which the leader no longer keeps.
    Snapshot {
        /// The leader's term.
        term: u64,
        /// Numbers the heartbeats, for the lease.
        round: u64,
        /// The state.
        snapshot: Snapshot,
    },
    /// An empty or non-voting replica asks to receive the log.
    Joining,
    /// A replica asks the leader up to where it must apply the log before a read.
    ReadIndex {
        /// Chosen by the sender.
        read: u64,
    },
    /// Answers [`Message::ReadIndex`].
    ReadAt {
        /// The number from the question.
        read: u64,
        /// The index, or nothing when the receiver of the question does not lead.
        index: Option<u64>,
    },
}

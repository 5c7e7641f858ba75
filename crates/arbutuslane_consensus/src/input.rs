//! Inputs of a replica and the effects that they produce.

use crate::log::{Entry, Snapshot};
use crate::member::{Id, Reconfigure};
use crate::message::Envelope;

/// An event that a replica processes.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; checks all deadlines.
    Tick,
    /// A message arrived.
    Message(Envelope),
    /// All writes up to this sequence number are durable.
    Written(u64),
    /// Proposes a command; [`Effect::Proposed`] or [`Effect::Refused`] is returned at once.
    Propose {
        /// An identifier of the request, chosen by the submitter.
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Requests a read; [`Effect::ReadReady`] or [`Effect::Refused`] is returned now or later.
    Read {
        /// An identifier of the request, chosen by the submitter.
        token: u64,
    },
    /// Requests a change of the membership, with the same effects as [`Input::Propose`].
    Reconfigure {
        /// An identifier of the request, chosen by the submitter.
        token: u64,
        /// The change.
        change: Reconfigure,
    },
    /// Provides the state machine after the entry `index`, so that the log up to there can be
    /// compacted.
    Compact {
        /// The index of the last applied entry.
        index: u64,
        /// The encoded state machine.
        payload: Vec<u8>,
    },
}

/// Data to make durable; writes complete in the order of their sequence numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The term and the vote.
    Vote {
        /// The highest term seen.
        term: u64,
        /// The replica that received the vote in that term.
        vote: Option<Id>,
    },
    /// Entries to append, after removing any stored entries from the first one's index on.
    Entries(Vec<Entry>),
    /// A snapshot.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the stored entries conflict with the snapshot and must all be removed.
        discard_entries: bool,
    },
}

/// An action that the user of a [`Node`](crate::node::Node) must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable, then pass [`Input::Written`] to the replica.
    Write {
        /// The number of the write; the first write since the start has number 1.
        sequence: u64,
        /// The data to write.
        write: Write,
    },
    /// Send this message; it may be lost.
    Send(Envelope),
    /// Apply this committed entry; entries are passed once each and in ascending order.
    Apply(Entry),
    /// Replace the state machine by the one in this snapshot.
    Install(Snapshot),
    /// The proposal is in the log. It is decided when the entry of this index is applied, provided
    /// that the entry has this term.
    Proposed {
        /// The token of the request.
        token: u64,
        /// The index of the entry.
        index: u64,
        /// The term of the entry.
        term: u64,
    },
    /// The applied state may be read as the latest one.
    ReadReady {
        /// The token of the request.
        token: u64,
    },
    /// The request was refused and had no effect.
    Refused {
        /// The token of the request.
        token: u64,
        /// The reason.
        reason: Refusal,
    },
}

/// The reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead or stopped leading.
    NotLeader,
    /// Another change of the membership is not committed yet.
    ChangeInProgress,
    /// An instance of that name is a member already.
    AlreadyMember,
    /// No instance of that name is a member.
    NotMember,
    /// The change would leave no voter.
    LastVoter,
    /// No majority of the voters that would be left is reachable, so the change could never be
    /// committed.
    Unreachable,
}

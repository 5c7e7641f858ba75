//! What goes into a replica and what comes out.

use crate::log::{Entry, Snapshot};
use crate::member::{Id, Reconfigure};
use crate::message::Envelope;

/// One event for a replica.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Envelope),
    /// All writes up to this sequence number are durable.
    Written(u64),
    /// A command is proposed; [`Effect::Proposed`] or [`Effect::Refused`] follows at once.
    Propose {
        /// Chosen by the caller.
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A read is asked for; [`Effect::Readable`] or [`Effect::Refused`] follows in time.
    Read {
        /// Chosen by the caller.
        token: u64,
    },
    /// A change of the membership is asked for; answered like [`Input::Propose`].
    Reconfigure {
        /// Chosen by the caller.
        token: u64,
        /// The change.
        change: Reconfigure,
    },
    /// The state machine after applying the entry `index`, so that older entries can go.
    Compact {
        /// The index of the last applied entry.
        index: u64,
        /// The encoded state machine.
        payload: Vec<u8>,
    },
}

/// One thing to make durable; writes are completed in the order of their sequence numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The term and the vote.
    Vote {
        /// The highest term seen.
        term: u64,
        /// Whom the replica voted for in it.
        vote: Option<Id>,
    },
    /// Entries; the first replaces any earlier one of its index and all that follow that one.
    Entries(Vec<Entry>),
    /// A snapshot.
    Snapshot {
        /// The state.
        snapshot: Snapshot,
        /// All entries conflict with the snapshot and are void.
        reset: bool,
    },
}

/// One thing that the owner of a replica must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable, then pass [`Input::Written`].
    Write {
        /// Numbers the writes, from 1.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Send this; it may be lost.
    Send(Envelope),
    /// Apply this committed entry; each index comes once and in order.
    Apply(Entry),
    /// Replace the state machine.
    Install(Snapshot),
    /// The proposal is in the log and is decided when the entry of this index is applied, provided
    /// that the entry has this term.
    Proposed {
        /// The caller's token.
        token: u64,
        /// The index of the entry.
        index: u64,
        /// The term of the entry.
        term: u64,
    },
    /// The applied state may be read as the latest one.
    Readable {
        /// The caller's token.
        token: u64,
    },
    /// The request was not accepted and had no effect.
    Refused {
        /// The caller's token.
        token: u64,
        /// Why.
        reason: Refusal,
    },
}

/// Why a request was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead, or no longer.
    NotLeader,
    /// Another change of the membership is not committed yet.
    Busy,
    /// The instance is a member already.
    Known,
    /// No such instance is a member.
    Unknown,
    /// No voter would be left.
    LastVoter,
    /// The voters that would be left are not reachable, so the change could never be committed.
    Unreachable,
}

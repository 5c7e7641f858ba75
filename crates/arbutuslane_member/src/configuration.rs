//! Positions in the replicated state and the deltas between them.

use std::collections::VecDeque;
use std::sync::Arc;

use arbutuslane_core::id::Revision;

/// The maximum number of deltas retained for peers that are behind.
pub const MAX_DELTAS: usize = 512;

/// The maximum total size of the retained deltas in bytes; a peer that is further behind gets a
/// snapshot.
pub const MAX_DELTA_BYTES: usize = 1 << 20;

/// A position in the replicated state; both numbers only increase, so positions are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The catalogue revision.
    pub revision: Revision,
    /// The number of changes to register groups: the sum of all group epochs.
    pub groups: u64,
}

/// One step of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The position that the step must be applied at.
    pub base: Position,
    /// The position after the step.
    pub position: Position,
    /// The encoded step, opaque to this crate.
    pub bytes: Arc<[u8]>,
}

/// The data that advances a peer to a newer position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// Steps in ascending order, the first of which applies to the receiver's position.
    Deltas(Vec<Delta>),
    /// The whole encoded state.
    Snapshot {
        /// The position of the state.
        position: Position,
        /// The encoded state, opaque to this crate.
        bytes: Arc<[u8]>,
    },
}

impl Payload {
    /// Returns the position of a receiver after it has applied this payload.
    pub fn position(&self) -> Position {
        match self {
            Self::Deltas(deltas) => deltas.last().map_or_else(Position::default, |d| d.position),
            Self::Snapshot { position, .. } => *position,
        }
    }
}

/// The position of a process, with the snapshot and the deltas that advance peers to it.
#[derive(Debug, Clone, Default)]
pub struct History {
    position: Position,
    snapshot: Option<Arc<[u8]>>,
    deltas: VecDeque<Delta>,
    delta_bytes: usize,
}

impl History {
    /// Returns the current position.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Advances to `position`; returns false and changes nothing unless `position` is newer.
    ///
    /// Retains `deltas` if they lead without a gap from the current position to the new one, and
    /// otherwise drops all retained deltas, so that peers get a snapshot.
    pub fn install(&mut self, position: Position, deltas: Vec<Delta>, snapshot: Arc<[u8]>) -> bool {
        if position <= self.position {
            return false;
        }
        let is_contiguous = deltas.first().is_some_and(|first| first.base == self.position)
            && deltas.windows(2).all(|pair| pair[0].position == pair[1].base)
            && deltas.last().is_some_and(|last| last.position == position);
        if is_contiguous {
            self.delta_bytes += deltas.iter().map(|delta| delta.bytes.len()).sum::<usize>();
            self.deltas.extend(deltas);
        } else {
            self.deltas.clear();
            self.delta_bytes = 0;
        }
        while self.deltas.len() > MAX_DELTAS || self.delta_bytes > MAX_DELTA_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.delta_bytes -= oldest.bytes.len();
        }
        self.position = position;
        self.snapshot = Some(snapshot);
        true
    }

    /// Returns the deltas or the snapshot that advance a peer from `known` to the current position,
    /// or `None` when the peer is not behind.
    pub fn payload_since(&self, known: Position) -> Option<Payload> {
        if known >= self.position {
            return None;
        }
        if let Some(first) = self.deltas.iter().position(|delta| delta.base == known) {
            return Some(Payload::Deltas(self.deltas.iter().skip(first).cloned().collect()));
        }
        let bytes = self.snapshot.clone()?;
        Some(Payload::Snapshot { position: self.position, bytes })
    }
}

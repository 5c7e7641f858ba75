//! What an instance reports of itself.

use arbutuslane_core::id::NodeId;

use crate::ballot::{Ballot, Position};
use crate::voter::{DiskId, Electorate, Voter};

/// What an instance reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The instance and its disk.
    pub voter: Voter,
    /// Whether the instance counts for states without voters.
    pub is_founder: bool,
    /// The highest ballot that the instance promised to follow.
    pub promised: Ballot,
    /// The position of the state on its disk.
    pub position: Position,
    /// The digest of the state on its disk.
    pub digest: u64,
    /// The instances that count for that state.
    pub electorate: Electorate,
    /// The position of the newest state that it knows to be accepted.
    pub accepted: Option<Position>,
    /// Whether a planned stop of the instance has begun.
    pub is_leaving: bool,
}

impl Status {
    /// Returns the name of the instance.
    pub fn instance(&self) -> &NodeId {
        &self.voter.instance
    }

    /// Returns the disk of the instance.
    pub fn disk(&self) -> DiskId {
        self.voter.disk
    }
}

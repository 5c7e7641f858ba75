//! The nodes that keep the quorum registers of a shard.

use arbutuslane_core::id::{Incarnation, NodeId, Shard};

/// One replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The node that keeps the replica.
    pub node: NodeId,
    /// The incarnation of the node when it joined; a higher one has lost its memory.
    pub incarnation: Incarnation,
}

/// The replica group of one shard at one epoch.
///
/// Two successive epochs differ in one member at most, so that majorities of both intersect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The shard whose registers the group keeps.
    pub shard: Shard,
    /// Raised by one with each replaced member.
    pub epoch: u64,
    /// The members in ascending order; an odd number.
    pub members: Vec<Member>,
}

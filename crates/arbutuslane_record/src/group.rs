//! The replicas of a shard.

use arbutuslane_core::id::{Incarnation, NodeId, Shard};

/// One replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node that keeps the replica.
    pub node: NodeId,
    /// The incarnation of the node when it joined.
    pub incarnation: Incarnation,
}

/// The replica group of one shard at one epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The shard.
    pub shard: Shard,
    /// Raised by one with each replaced member.
    pub epoch: u64,
    /// True when nothing is expected in the members' memory: at the first epoch, and after an
    /// operator's reset. A member with the stored incarnation then votes at once.
    pub founding: bool,
    /// The members; an odd number.
    pub members: Vec<Member>,
}

impl Group {
    /// Returns the first epoch of a group.
    pub fn founded(shard: Shard, members: &[(&str, Incarnation)]) -> Self {
        let mut list = Vec::new();
        for (node, incarnation) in members {
            list.push(Member { node: (*node).to_string(), incarnation: *incarnation });
        }
        Self { shard, epoch: 1, founding: true, members: list }
    }

    /// Returns the next epoch, in which `joins` takes the place of `leaves`.
    pub fn replaced(&self, leaves: &str, joins: &Member) -> Self {
        let mut next = Self { epoch: self.epoch + 1, founding: false, ..self.clone() };
        for member in &mut next.members {
            if member.node == leaves {
                member.clone_from(joins);
            }
        }
        next
    }

    /// Returns the number of replicas that have to accept a claim.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the number of other members that a replica without memory pulls from.
    ///
    /// A claim that counted the lost replica has `majority - 1` copies among the others. This many
    /// of them always include one of the copies.
    pub fn recovery(&self) -> usize {
        self.members.len() + 1 - self.majority()
    }

    /// Returns the place of `node` among the members.
    pub fn place(&self, node: &str) -> Option<usize> {
        self.members.iter().position(|member| member.node == node)
    }
}

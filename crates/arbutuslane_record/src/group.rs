//! The replicas of a shard.
//!
//! A group changes by one member per epoch: a member is replaced, or one is added to a group that
//! grows. Why a key that was claimed in epoch e cannot be claimed by another attempt in epoch e+1,
//! for a group that grows from m to m+1 members:
//!
//! - *Majorities intersect.* The old majority has `m / 2 + 1` of the m old members. The new one has
//!   `(m + 1) / 2 + 1` members, of which at least `(m + 1) / 2` are old ones. Together these are
//!   more than m, so both hold one old member in common. It accepts one attempt only, and it refuses
//!   claims of epoch e once it has adopted e+1. This holds even before the new member has pulled.
//! - *Recovery finds a copy.* A member without memory pulls from [`Group::recovery`] others, which is
//!   `m + 2 - ((m + 1) / 2 + 1)` after the step. The copies of an old claim among the other members
//!   are at least `m / 2` of the m - 1 old ones while the new member does not vote, and `m / 2 + 1` of
//!   m once it does, since it has then pulled every claim that counts. In both cases the pulled
//!   members and the copies are together more than the others, so one copy is pulled.
//!
//! The next change waits until all members vote in the current epoch. A group of even size occurs
//! only between two steps of a growth; it tolerates as many losses as the smaller group.

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
    /// Raised by one with each replaced or added member.
    pub epoch: u64,
    /// True when nothing is expected in the members' memory: at the first epoch, and after an
    /// operator's reset. A member with the stored incarnation then votes at once.
    pub founding: bool,
    /// The members; an odd number, except between two steps of a growth.
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

    /// Returns the next epoch, in which `joins` is added.
    pub fn grown(&self, joins: &Member) -> Self {
        let mut next = Self { epoch: self.epoch + 1, founding: false, ..self.clone() };
        next.members.push(joins.clone());
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

#[cfg(test)]
mod tests {
    use super::*;

    fn founded(size: usize) -> Group {
        let names: Vec<String> = (0..size).map(|number| number.to_string()).collect();
        let members: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        Group::founded(1, &members)
    }

    /// Guards against a step of growth after which two attempts for one key find disjoint
    /// majorities, or after which a recovery misses all copies of a claim. Sets are bit masks over
    /// the members, and the member that was added has the highest bit.
    #[test]
    fn grown_majorities() {
        for size in 1..5_usize {
            let old = founded(size);
            let new = old.grown(&Member { node: "joins".to_string(), incarnation: 1 });
            assert_eq!((new.epoch, new.members.len(), new.founding), (2, size + 1, false));
            let joined = 1_u32 << size;
            let sets = |bits: usize, count: usize| {
                (0..1_u32 << bits).filter(move |set| set.count_ones() as usize == count)
            };
            for copies in sets(size, old.majority()) {
                for majority in sets(size + 1, new.majority()) {
                    assert_ne!(copies & majority, 0, "size {size}: {copies:b} and {majority:b}");
                }
                for lost in 0..size {
                    let lost = 1 << lost;
                    for pulled in sets(size + 1, new.recovery()).filter(|set| set & lost == 0) {
                        // Only a voting member is pulled from; the added one votes with a copy.
                        let holders = copies & !lost | joined;
                        assert_ne!(holders & pulled, 0, "size {size}: {copies:b}, {pulled:b}");
                    }
                }
            }
        }
    }
}

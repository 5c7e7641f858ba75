//! The replicas of a shard.
//!
//! A group changes by one member per epoch: a member is replaced, or a member is added. A key that
//! was claimed in epoch e cannot be claimed by another attempt in epoch e+1. For a group that grows
//! from m to m+1 members, this follows from two properties:
//!
//! - *Majorities intersect.* The old majority has `m / 2 + 1` of the m old members. The new
//!   majority has `(m + 1) / 2 + 1` members, of which at least `(m + 1) / 2` are old ones.
//!   Together these are more than m, so both majorities contain a common old member. That member
//!   accepts one attempt only, and it refuses claims of epoch e once it has adopted e+1. This is
//!   true even before the new member has recovered.
//! - *Recovery finds a copy.* A member without memory pulls from [`Group::recovery_quorum`] others,
//!   which is `m + 2 - ((m + 1) / 2 + 1)` after the new member is added. While the new member does
//!   not vote, at least `m / 2` of the m - 1 other old members have a copy of an old claim. Once it
//!   votes, at least `m / 2 + 1` of the m other members have one, because the new member has then
//!   pulled every claim that counts. In both cases the number of pulled members and the number of
//!   copies add up to more than the number of other members, so a copy is pulled.
//!
//! The next change waits until all members vote in the current epoch. A group has an even size only
//! between the two changes of a growth; it tolerates as many losses as the smaller group.

use arbutuslane_core::id::{Incarnation, NodeId, Shard};

/// One replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node that runs the replica.
    pub node: NodeId,
    /// The incarnation of the node when it joined the group.
    pub incarnation: Incarnation,
}

/// The replica group of one shard at one epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The shard that the group replicates.
    pub shard: Shard,
    /// The version of the membership, incremented with each replaced or added member.
    pub epoch: u64,
    /// Whether the members start without registers: at the first epoch, and after an operator's
    /// reset. A member whose incarnation equals the one in `members` then votes without recovery.
    pub founding: bool,
    /// The members; an odd number, except between the two changes of a growth.
    pub members: Vec<Member>,
}

impl Group {
    /// Returns a group at its first epoch.
    pub fn founded(shard: Shard, members: &[(&str, Incarnation)]) -> Self {
        let mut list = Vec::new();
        for (node, incarnation) in members {
            list.push(Member { node: (*node).to_string(), incarnation: *incarnation });
        }
        Self { shard, epoch: 1, founding: true, members: list }
    }

    /// Returns the group at its next epoch, in which `joining` replaces the member `leaving`.
    pub fn replaced(&self, leaving: &str, joining: &Member) -> Self {
        let mut next = Self { epoch: self.epoch + 1, founding: false, ..self.clone() };
        for member in &mut next.members {
            if member.node == leaving {
                member.clone_from(joining);
            }
        }
        next
    }

    /// Returns the group at its next epoch, in which `joining` is added.
    pub fn grown(&self, joining: &Member) -> Self {
        let mut next = Self { epoch: self.epoch + 1, founding: false, ..self.clone() };
        next.members.push(joining.clone());
        next
    }

    /// Returns the number of replicas that must accept a claim.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the number of other members that a replica without memory pulls from.
    ///
    /// A claim that was accepted by a majority with the lost replica has `majority - 1` copies
    /// among the other members. Any set of other members of this size includes one of the copies.
    pub fn recovery_quorum(&self) -> usize {
        self.members.len() + 1 - self.majority()
    }

    /// Returns the index of `node` in `members`, or `None` when it is not a member.
    pub fn member_index(&self, node: &str) -> Option<usize> {
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

    /// Guards against an added member after which two attempts for one key get disjoint majorities,
    /// or after which a recovery misses all copies of a claim. Sets are bit masks over the members,
    /// and the added member has the highest bit.
    #[test]
    fn grown_majorities() {
        for size in 1..5_usize {
            let old = founded(size);
            let new = old.grown(&Member { node: "joins".to_string(), incarnation: 1 });
            assert_eq!((new.epoch, new.members.len(), new.founding), (2, size + 1, false));
            let added = 1_u32 << size;
            let sets = |bits: usize, count: usize| {
                (0..1_u32 << bits).filter(move |set| set.count_ones() as usize == count)
            };
            for copies in sets(size, old.majority()) {
                for majority in sets(size + 1, new.majority()) {
                    assert_ne!(copies & majority, 0, "size {size}: {copies:b} and {majority:b}");
                }
                for lost in 0..size {
                    let lost = 1 << lost;
                    for pulled in
                        sets(size + 1, new.recovery_quorum()).filter(|set| set & lost == 0)
                    {
                        // Only voting members are pulled from, and the added member votes only
                        // once it has a copy.
                        let with_copy = copies & !lost | added;
                        assert_ne!(with_copy & pulled, 0, "size {size}: {copies:b}, {pulled:b}");
                    }
                }
            }
        }
    }
}

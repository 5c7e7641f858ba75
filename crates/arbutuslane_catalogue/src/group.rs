//! The nodes that keep the quorum registers of a shard.

use arbutuslane_core::hash;
use arbutuslane_core::id::{DomainName, Incarnation, NodeId, Shard};

/// The largest size of a group: it survives the loss of two members.
pub const MEMBERS_MAX: usize = 5;

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
/// Two successive epochs differ in one member at most: one that is replaced or one that is added.
/// `arbutuslane_record::group` gives the reason why this keeps every claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The shard whose registers the group keeps.
    pub shard: Shard,
    /// Raised by one with each replaced or added member, and with a reset.
    pub epoch: u64,
    /// Whether the members vote without the registers of earlier epochs: the first epoch and after
    /// an operator's reset.
    pub founding: bool,
    /// The members in ascending order; an odd number, except between two steps of a growth.
    pub members: Vec<Member>,
}

/// A node that can keep a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// The current incarnation of the node.
    pub incarnation: Incarnation,
    /// The failure domain of the node.
    pub domain: DomainName,
}

impl Group {
    /// Returns the first group of `shard`: an odd number of `candidates`, at most
    /// [`MEMBERS_MAX`], spread over the failure domains; nothing without candidates.
    ///
    /// ```
    /// use arbutuslane_catalogue::group::{Candidate, Group};
    ///
    /// let candidate = |node: &str, domain: &str| Candidate {
    ///     node: node.to_string(),
    ///     incarnation: 1,
    ///     domain: domain.to_string(),
    /// };
    /// let candidates = [candidate("a", "x"), candidate("b", "x"), candidate("c", "y")];
    /// let group = Group::found(7, &candidates).unwrap();
    /// assert_eq!((group.epoch, group.members.len()), (1, 3));
    /// ```
    pub fn found(shard: Shard, candidates: &[Candidate]) -> Option<Self> {
        Some(Self {
            shard,
            epoch: 1,
            founding: true,
            members: fill(shard, candidates, Vec::new())?,
        })
    }

    /// Returns the next epoch, whose members vote without the registers of the earlier ones;
    /// nothing without candidates. Members that are candidates stay, since their memory still
    /// protects the keys that they hold.
    pub fn reset(&self, candidates: &[Candidate]) -> Option<Self> {
        let is_member = |node: &str| self.members.iter().any(|member| member.node == node);
        let kept = candidates.iter().filter(|candidate| is_member(&candidate.node)).collect();
        let members = fill(self.shard, candidates, kept)?;
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: true, members })
    }

    /// Returns the next epoch, in which one member that is no candidate any more is replaced;
    /// nothing when all are, or when no other candidate is left.
    pub fn repaired(&self, candidates: &[Candidate]) -> Option<Self> {
        let find = |node: &str| candidates.iter().find(|candidate| candidate.node == node);
        let lost = self.members.iter().position(|member| find(&member.node).is_none())?;
        let kept: Vec<&Candidate> =
            self.members.iter().filter_map(|member| find(&member.node)).collect();
        let next = choose(self.shard, candidates, &kept)?;
        let mut members = self.members.clone();
        members[lost] = member(next);
        members.sort_unstable();
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: false, members })
    }

    /// Returns the next epoch, in which one member is added; nothing when the group is full, when a
    /// member is no candidate any more, or when the candidates cannot make the size odd again.
    pub fn grown(&self, candidates: &[Candidate]) -> Option<Self> {
        let find = |node: &str| candidates.iter().find(|candidate| candidate.node == node);
        let kept: Vec<&Candidate> =
            self.members.iter().filter_map(|member| find(&member.node)).collect();
        let size = self.members.len();
        let steps = if size.is_multiple_of(2) { 1 } else { 2 };
        if size >= MEMBERS_MAX || kept.len() < size || candidates.len() < size + steps {
            return None;
        }
        let mut members = self.members.clone();
        members.push(member(choose(self.shard, candidates, &kept)?));
        members.sort_unstable();
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: false, members })
    }
}

/// Returns an odd number of members, at most [`MEMBERS_MAX`]: `chosen` and then others.
fn fill<'a>(
    shard: Shard,
    candidates: &'a [Candidate],
    mut chosen: Vec<&'a Candidate>,
) -> Option<Vec<Member>> {
    let size = candidates.len().min(MEMBERS_MAX);
    let size = if size.is_multiple_of(2) { size.checked_sub(1)? } else { size };
    chosen.truncate(size);
    while chosen.len() < size {
        let next = choose(shard, candidates, &chosen)?;
        chosen.push(next);
    }
    let mut members: Vec<Member> = chosen.into_iter().map(member).collect();
    members.sort_unstable();
    Some(members)
}

fn member(candidate: &Candidate) -> Member {
    Member { node: candidate.node.clone(), incarnation: candidate.incarnation }
}

/// Returns the candidate from the domain with the fewest chosen ones that ranks highest for the
/// shard.
fn choose<'a>(
    shard: Shard,
    candidates: &'a [Candidate],
    chosen: &[&Candidate],
) -> Option<&'a Candidate> {
    let key = format!("shard-{shard}");
    let mut best: Option<(usize, u64, &Candidate)> = None;
    for candidate in candidates {
        if chosen.iter().any(|other| other.node == candidate.node) {
            continue;
        }
        let used = chosen.iter().filter(|other| other.domain == candidate.domain).count();
        let weight = hash::weight(&candidate.node, &key);
        let better =
            best.is_none_or(|(least, most, _)| used < least || (used == least && weight > most));
        if better {
            best = Some((used, weight, candidate));
        }
    }
    best.map(|(_, _, candidate)| candidate)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidates(count: u64, domains: u64) -> Vec<Candidate> {
        let candidate = |number: u64| Candidate {
            node: format!("node-{number}"),
            incarnation: number,
            domain: format!("domain-{}", number % domains),
        };
        (0..count).map(candidate).collect()
    }

    fn in_domain(group: &Group, domain: u64) -> usize {
        let of = |member: &&Member| member.incarnation % 3 == domain;
        group.members.iter().filter(of).count()
    }

    /// Guards against a group that one failure domain can take the majority of.
    #[test]
    fn found_domains() {
        for shard in 0..64 {
            let group = Group::found(shard, &candidates(12, 3)).unwrap();
            assert_eq!(group.members.len(), 5);
            assert!((0..3).all(|domain| in_domain(&group, domain) <= 2));
        }
    }

    /// Guards against a group of even size, whose majorities tolerate no more losses than those of
    /// a smaller one.
    #[test]
    fn found_odd() {
        let sizes: Vec<usize> = (1..8)
            .map(|count| Group::found(1, &candidates(count, 3)).unwrap().members.len())
            .collect();
        assert_eq!(sizes, [1, 1, 3, 3, 5, 5, 5]);
        assert_eq!(Group::found(1, &[]), None);
    }

    /// Guards against two members replaced at once, or members replaced that are still there.
    #[test]
    fn repaired_one() {
        let mut nodes = candidates(12, 3);
        let group = Group::found(9, &nodes).unwrap();
        assert_eq!(group.repaired(&nodes), None);
        let lost: Vec<NodeId> = group.members.iter().take(2).map(|m| m.node.clone()).collect();
        nodes.retain(|candidate| !lost.contains(&candidate.node));
        let next = group.repaired(&nodes).unwrap();
        assert_eq!(next.epoch, 2);
        let kept = next.members.iter().filter(|member| group.members.contains(member)).count();
        assert_eq!(kept, 4);
        let last = next.repaired(&nodes).unwrap();
        assert!(last.members.iter().all(|member| !lost.contains(&member.node)));
        assert!((0..3).all(|domain| in_domain(&last, domain) <= 2));
    }

    /// Guards against a group that stays at three members although the fleet has five nodes, that
    /// grows by two members in one epoch, or that stops at an even size.
    #[test]
    fn grown_to_five() {
        let group = Group::found(9, &candidates(3, 3)).unwrap();
        assert_eq!(group.grown(&candidates(4, 3)), None);
        assert_eq!(group.grown(&candidates(8, 3)[1..]), None);
        let next = group.grown(&candidates(5, 3)).unwrap();
        assert_eq!((next.epoch, next.members.len()), (2, 4));
        assert!(group.members.iter().all(|member| next.members.contains(member)));
        let last = next.grown(&candidates(5, 3)).unwrap();
        assert_eq!((last.epoch, last.members.len()), (3, 5));
        assert_eq!(last.grown(&candidates(9, 3)), None);
    }

    /// Guards against a reset that drops the members that still hold registers, or whose members
    /// wait for registers that nobody has.
    #[test]
    fn reset_keeps_survivors() {
        let nodes = candidates(12, 3);
        let group = Group::found(9, &nodes).unwrap();
        let lost: Vec<NodeId> = group.members.iter().take(3).map(|m| m.node.clone()).collect();
        let mut left = nodes.clone();
        left.retain(|candidate| !lost.contains(&candidate.node));
        let next = group.reset(&left).unwrap();
        assert_eq!((next.epoch, next.founding, next.members.len()), (2, true, 5));
        assert!(group.members[3..].iter().all(|member| next.members.contains(member)));
        assert!(!next.repaired(&nodes[..0]).is_some_and(|group| group.founding));
        assert_eq!(group.reset(&[]), None);
    }
}

//! The groups of nodes that store the quorum registers of a shard.

use arbutuslane_core::hash;
use arbutuslane_core::id::{DomainName, Incarnation, NodeId, Shard};

/// The maximum number of members in a group; five members tolerate the loss of two.
pub const MAX_MEMBERS: usize = 5;

/// One replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The node that stores the replica.
    pub node: NodeId,
    /// The incarnation of the node when it joined the group; a node with a higher incarnation has
    /// lost its memory.
    pub incarnation: Incarnation,
}

/// The replica group of one shard at one epoch.
///
/// Two successive epochs differ in one member at most: one that is replaced or one that is added.
/// `arbutuslane_record::group` explains why this preserves every claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The shard whose registers the group stores.
    pub shard: Shard,
    /// The epoch of the group; each replaced or added member and each reset raises it by one.
    pub epoch: u64,
    /// Whether the members vote without the registers of earlier epochs; true in the first epoch
    /// and after an operator's reset.
    pub founding: bool,
    /// The members in ascending order; their number is odd, except between the two steps in which
    /// a group grows.
    pub members: Vec<Member>,
}

/// A node that can store a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The id of the node.
    pub node: NodeId,
    /// The current incarnation of the node.
    pub incarnation: Incarnation,
    /// The failure domain of the node.
    pub domain: DomainName,
}

impl Group {
    /// Returns the first group of `shard`: an odd number of `candidates`, at most [`MAX_MEMBERS`],
    /// spread over the failure domains. Returns `None` when there are no candidates.
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
            members: choose_members(shard, candidates, Vec::new())?,
        })
    }

    /// Returns the group of the next epoch, whose members vote without the registers of earlier
    /// epochs. Members that are still candidates stay, since the registers in their memory still
    /// protect their keys. Returns `None` when there are no candidates.
    pub fn reset(&self, candidates: &[Candidate]) -> Option<Self> {
        let is_member = |node: &str| self.members.iter().any(|member| member.node == node);
        let surviving = candidates.iter().filter(|candidate| is_member(&candidate.node)).collect();
        let members = choose_members(self.shard, candidates, surviving)?;
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: true, members })
    }

    /// Returns the group of the next epoch, in which one member that is no longer a candidate is
    /// replaced. Returns `None` when all members are candidates, or when no other candidate is left.
    pub fn repaired(&self, candidates: &[Candidate]) -> Option<Self> {
        let find = |node: &str| candidates.iter().find(|candidate| candidate.node == node);
        let lost_index = self.members.iter().position(|member| find(&member.node).is_none())?;
        let surviving: Vec<&Candidate> =
            self.members.iter().filter_map(|member| find(&member.node)).collect();
        let replacement = choose_candidate(self.shard, candidates, &surviving)?;
        let mut members = self.members.clone();
        members[lost_index] = to_member(replacement);
        members.sort_unstable();
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: false, members })
    }

    /// Returns the group of the next epoch, in which one member is added. Returns `None` when the
    /// group is full, when a member is no longer a candidate, or when there are too few candidates to
    /// reach an odd size.
    pub fn grown(&self, candidates: &[Candidate]) -> Option<Self> {
        let find = |node: &str| candidates.iter().find(|candidate| candidate.node == node);
        let surviving: Vec<&Candidate> =
            self.members.iter().filter_map(|member| find(&member.node)).collect();
        let size = self.members.len();
        let steps = if size.is_multiple_of(2) { 1 } else { 2 };
        if size >= MAX_MEMBERS || surviving.len() < size || candidates.len() < size + steps {
            return None;
        }
        let mut members = self.members.clone();
        members.push(to_member(choose_candidate(self.shard, candidates, &surviving)?));
        members.sort_unstable();
        Some(Self { shard: self.shard, epoch: self.epoch + 1, founding: false, members })
    }
}

/// Returns an odd number of members, at most [`MAX_MEMBERS`]: those of `chosen` first, then other
/// candidates. Returns `None` when there are no candidates.
fn choose_members<'a>(
    shard: Shard,
    candidates: &'a [Candidate],
    mut chosen: Vec<&'a Candidate>,
) -> Option<Vec<Member>> {
    let size = candidates.len().min(MAX_MEMBERS);
    let size = if size.is_multiple_of(2) { size.checked_sub(1)? } else { size };
    chosen.truncate(size);
    while chosen.len() < size {
        let next = choose_candidate(shard, candidates, &chosen)?;
        chosen.push(next);
    }
    let mut members: Vec<Member> = chosen.into_iter().map(to_member).collect();
    members.sort_unstable();
    Some(members)
}

fn to_member(candidate: &Candidate) -> Member {
    Member { node: candidate.node.clone(), incarnation: candidate.incarnation }
}

/// Returns a candidate from the failure domain with the fewest chosen candidates, and of these the
/// one with the highest hash weight for the shard.
fn choose_candidate<'a>(
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
        let chosen_in_domain =
            chosen.iter().filter(|other| other.domain == candidate.domain).count();
        let weight = hash::weight(&candidate.node, &key);
        let is_better = best.is_none_or(|(fewest, highest, _)| {
            chosen_in_domain < fewest || (chosen_in_domain == fewest && weight > highest)
        });
        if is_better {
            best = Some((chosen_in_domain, weight, candidate));
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
        let is_in_domain = |member: &&Member| member.incarnation % 3 == domain;
        group.members.iter().filter(is_in_domain).count()
    }

    /// Guards against a group that has a majority of its members in one failure domain.
    #[test]
    fn found_domains() {
        for shard in 0..64 {
            let group = Group::found(shard, &candidates(12, 3)).unwrap();
            assert_eq!(group.members.len(), 5);
            assert!((0..3).all(|domain| in_domain(&group, domain) <= 2));
        }
    }

    /// Guards against a group of even size, which tolerates no more losses than a group with one
    /// member less.
    #[test]
    fn found_odd() {
        let sizes: Vec<usize> = (1..8)
            .map(|count| Group::found(1, &candidates(count, 3)).unwrap().members.len())
            .collect();
        assert_eq!(sizes, [1, 1, 3, 3, 5, 5, 5]);
        assert_eq!(Group::found(1, &[]), None);
    }

    /// Guards against replacing two members in one epoch, or a member that is still a candidate.
    #[test]
    fn repaired_one() {
        let mut nodes = candidates(12, 3);
        let group = Group::found(9, &nodes).unwrap();
        assert_eq!(group.repaired(&nodes), None);
        let lost: Vec<NodeId> = group.members.iter().take(2).map(|m| m.node.clone()).collect();
        nodes.retain(|candidate| !lost.contains(&candidate.node));
        let next = group.repaired(&nodes).unwrap();
        assert_eq!(next.epoch, 2);
        let unchanged = next.members.iter().filter(|member| group.members.contains(member)).count();
        assert_eq!(unchanged, 4);
        let last = next.repaired(&nodes).unwrap();
        assert!(last.members.iter().all(|member| !lost.contains(&member.node)));
        assert!((0..3).all(|domain| in_domain(&last, domain) <= 2));
    }

    /// Guards against a group that stays at three members although the fleet has five nodes, that
    /// grows by two members in one epoch, or that stays at an even size.
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

    /// Guards against a reset that removes members which still have registers, or that leaves the
    /// members waiting for registers that no node has.
    #[test]
    fn reset_keeps_survivors() {
        let nodes = candidates(12, 3);
        let group = Group::found(9, &nodes).unwrap();
        let lost: Vec<NodeId> = group.members.iter().take(3).map(|m| m.node.clone()).collect();
        let mut remaining = nodes.clone();
        remaining.retain(|candidate| !lost.contains(&candidate.node));
        let next = group.reset(&remaining).unwrap();
        assert_eq!((next.epoch, next.founding, next.members.len()), (2, true, 5));
        assert!(group.members[3..].iter().all(|member| next.members.contains(member)));
        assert!(!next.repaired(&nodes[..0]).is_some_and(|group| group.founding));
        assert_eq!(group.reset(&[]), None);
    }
}

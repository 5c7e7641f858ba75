//! Assigns nodes to the groups of the quorum registers.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutuslane_catalogue::group::{Candidate, Group, Member};
use arbutuslane_core::time::Time;

/// The shards whose groups each node votes in, with the epochs, by node name, as last reported.
pub(crate) type Votes = BTreeMap<String, Vec<(u32, u64)>>;

/// The time for which the set of nodes must be unchanged before the first groups are formed or a
/// group grows. Members are thus chosen from all nodes of a starting fleet, and not from flapping
/// nodes.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The largest number of changed groups in one log entry.
const MAX_GROUPS_PER_ENTRY: usize = 256;

/// Decides on changes of register groups; only the decisions of the leader are proposed.
#[derive(Debug, Default)]
pub(crate) struct Assigner {
    /// The nodes alive at the last decision.
    nodes: Vec<String>,
    /// The time at which `nodes` last changed.
    changed_at: Time,
}

impl Assigner {
    /// Returns the groups that should replace those in force. The first groups are formed once
    /// `minimum_nodes` nodes are alive.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        (shards, minimum_nodes): (u32, usize),
        groups: &[Group],
        alive: &[Candidate],
        votes: &Votes,
    ) -> Vec<Group> {
        let nodes: Vec<String> = alive.iter().map(|candidate| candidate.node.clone()).collect();
        if nodes != self.nodes {
            self.nodes = nodes;
            self.changed_at = now;
        }
        if groups.is_empty() {
            if alive.len() < minimum_nodes.max(1) || now < self.changed_at + SETTLE_TIME {
                return Vec::new();
            }
            return (0..shards).filter_map(|shard| Group::found(shard, alive)).collect();
        }
        let is_membership_stable = now >= self.changed_at + SETTLE_TIME;
        let mut changed = Vec::new();
        for group in groups {
            if changed.len() == MAX_GROUPS_PER_ENTRY {
                break;
            }
            // A new member votes only after it has pulled the registers. Another replacement before
            // that could remove the last copy of a register.
            let all_vote = all_members_vote(group, alive, votes);
            if group.epoch > 1 && !all_vote {
                continue;
            }
            if let Some(next) = group.repaired(alive) {
                changed.push(next);
            } else if all_vote && is_membership_stable {
                // Growing to an even size raises the majority, so all members must vote first.
                changed.extend(group.grown(alive));
            }
        }
        changed
    }
}

/// Returns whether the live members of the group cannot form a majority without a reset.
///
/// A live member that has not reported yet counts as voting, because a new leader has no reports
/// for up to 30 s and must not treat a healthy group as lost.
pub(crate) fn is_lost(group: &Group, alive: &[Candidate], votes: &Votes) -> bool {
    let in_force = (group.shard, group.epoch);
    let may_vote = |member: &&Member| {
        alive.iter().any(|candidate| candidate.node == member.node)
            && votes.get(&member.node).is_none_or(|votes| votes.contains(&in_force))
    };
    group.members.iter().filter(may_vote).count() < group.members.len() / 2 + 1
}

/// Returns whether all live members vote in the group's current epoch.
fn all_members_vote(group: &Group, alive: &[Candidate], votes: &Votes) -> bool {
    let in_force = (group.shard, group.epoch);
    let votes = |node: &str| votes.get(node).is_some_and(|votes| votes.contains(&in_force));
    let is_alive = |node: &str| alive.iter().any(|candidate| candidate.node == node);
    group.members.iter().all(|member| !is_alive(&member.node) || votes(&member.node))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn alive(numbers: &[u64]) -> Vec<Candidate> {
        let candidate = |number: &u64| Candidate {
            node: format!("node-{number}"),
            incarnation: 1,
            domain: format!("domain-{}", number % 3),
        };
        numbers.iter().map(candidate).collect()
    }

    fn votes(nodes: &[Candidate], group: &Group) -> Votes {
        let votes = vec![(group.shard, group.epoch)];
        nodes.iter().map(|candidate| (candidate.node.clone(), votes.clone())).collect()
    }

    /// Guards against first groups that are formed before all nodes of a starting fleet have
    /// joined.
    #[test]
    fn decide_first() {
        let mut assigner = Assigner::default();
        let mut decide = |seconds, nodes: &[u64]| {
            let now = Duration::from_secs(seconds);
            assigner.decide(now, (4, 3), &[], &alive(nodes), &Votes::new())
        };
        assert!(decide(0, &[1, 2]).is_empty());
        assert!(decide(9, &[1, 2]).is_empty());
        assert!(decide(10, &[1, 2, 3]).is_empty());
        assert!(decide(12, &[1, 2, 3, 4, 5]).is_empty());
        let groups = decide(15, &[1, 2, 3, 4, 5]);
        assert_eq!(groups.len(), 4);
        assert!(groups.iter().all(|group| group.members.len() == 5));
    }

    /// Guards against a second replacement before the first new member has pulled the registers.
    #[test]
    fn decide_one_at_a_time() {
        let mut assigner = Assigner::default();
        let all = alive(&[1, 2, 3, 4, 5, 6, 7]);
        let group = Group::found(0, &all).unwrap();
        let lost = |node: &str, from: &[Candidate]| -> Vec<Candidate> {
            from.iter().filter(|candidate| candidate.node != node).cloned().collect()
        };
        let mut decide = |group: &Group, alive: &[Candidate], votes| {
            let groups = std::slice::from_ref(group);
            assigner.decide(Duration::from_secs(9), (1, 3), groups, alive, &votes)
        };
        let first = lost(&group.members[0].node, &all);
        let next = decide(&group, &first, Votes::new()).remove(0);
        assert_eq!(next.epoch, 2);
        let second = lost(&next.members[1].node, &first);
        assert!(decide(&next, &second, votes(&second, &group)).is_empty());
        assert_eq!(decide(&next, &second, votes(&second, &next)).len(), 1);
    }

    /// Guards against groups that never grow with the fleet, groups that grow while nodes join and
    /// leave, and a second new member before the first one votes.
    #[test]
    fn decide_growth() {
        let mut assigner = Assigner::default();
        let (three, five) = (alive(&[1, 2, 3]), alive(&[1, 2, 3, 4, 5]));
        let group = Group::found(0, &three).unwrap();
        let mut decide = |seconds, group: &Group, alive: &[Candidate], votes: &Votes| {
            let groups = std::slice::from_ref(group);
            assigner.decide(Duration::from_secs(seconds), (1, 3), groups, alive, votes)
        };
        let all_vote = votes(&three, &group);
        assert!(decide(10, &group, &three, &all_vote).is_empty());
        assert!(decide(20, &group, &five, &all_vote).is_empty());
        assert!(decide(23, &group, &five, &Votes::new()).is_empty());
        let next = decide(23, &group, &five, &all_vote).remove(0);
        assert_eq!((next.epoch, next.members.len()), (2, 4));
        assert!(decide(24, &next, &five, &all_vote).is_empty());
        let last = decide(25, &next, &five, &votes(&five, &next)).remove(0);
        assert_eq!((last.epoch, last.members.len()), (3, 5));
    }

    /// Guards against a reset of a group that has a majority, or that may have one because the
    /// leader has no reports yet.
    #[test]
    fn is_lost_reports() {
        let five = alive(&[1, 2, 3, 4, 5]);
        let group = Group::found(0, &five).unwrap();
        assert!(!is_lost(&group, &five, &Votes::new()));
        let mut reports = votes(&five, &group);
        assert!(!is_lost(&group, &five[2..], &reports));
        assert!(is_lost(&group, &five[3..], &reports));
        // Three restarted members report that they do not vote.
        for node in &five[..3] {
            reports.insert(node.node.clone(), Vec::new());
        }
        assert!(is_lost(&group, &five, &reports));
    }
}

//! Invariants that every schedule must satisfy.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;

use super::SimulatedReplica;

/// The history of a schedule and the violations found in it.
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// The leader of each term and the time when it was first seen to lead.
    leader_by_term: BTreeMap<u64, (Id, Time)>,
    /// The entry applied at each index.
    applied_entries: BTreeMap<u64, Entry>,
    /// The token and term of each proposal, by replica and index, until the replica applies that
    /// index.
    pending_proposals: BTreeMap<(usize, u64), (u64, u64)>,
    /// The highest index of an acknowledged proposal.
    pub(crate) last_acknowledged: u64,
    /// The number of acknowledged proposals.
    pub(crate) acknowledgements: u64,
    /// The number of completed reads.
    pub(crate) reads: u64,
    /// The highest acknowledged index at the start of each read, by token.
    pending_reads: BTreeMap<u64, u64>,
    /// The latest committed membership.
    members: Vec<Member>,
    members_index: u64,
}

impl Checks {
    pub(crate) fn new(members: Vec<Member>) -> Self {
        Self {
            violations: Vec::new(),
            leader_by_term: BTreeMap::new(),
            applied_entries: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            last_acknowledged: 0,
            acknowledgements: 0,
            reads: 0,
            pending_reads: BTreeMap::new(),
            members,
            members_index: 0,
        }
    }

    pub(crate) fn record_read_start(&mut self, token: u64) {
        self.pending_reads.insert(token, self.last_acknowledged);
    }

    pub(crate) fn handle_effect(
        &mut self,
        position: usize,
        replicas: &mut [SimulatedReplica],
        effect: Effect,
    ) {
        match effect {
            Effect::Apply(entry) => self.apply(position, &mut replicas[position], entry),
            Effect::Install(snapshot) => {
                replicas[position].install(&snapshot);
                for (index, term) in replicas[position].applied_commands.clone() {
                    self.check_applied_term(index, term);
                }
                self.pending_proposals.retain(|(proposer, _), _| *proposer != position);
            }
            Effect::Proposed { token, index, term } => {
                self.pending_proposals.insert((position, index), (token, term));
            }
            Effect::ReadReady { token } => {
                let applied = replicas[position].node().map_or(0, Node::applied_index);
                let Some(required) = self.pending_reads.remove(&token) else { return };
                self.reads += 1;
                if applied < required {
                    self.add_violation(format!(
                        "a read at index {applied} misses the acknowledged entry {required}"
                    ));
                }
            }
            Effect::Refused { token, .. } => {
                self.pending_reads.remove(&token);
            }
            Effect::Send(_) | Effect::Write { .. } => {}
        }
    }

    fn apply(&mut self, position: usize, replica: &mut SimulatedReplica, entry: Entry) {
        if let Some(known) = self.applied_entries.get(&entry.index)
            && *known != entry
        {
            return self
                .add_violation(format!("two different entries applied at index {}", entry.index));
        }
        replica.applied_commands.push((entry.index, entry.term));
        if let Some((_, term)) = self.pending_proposals.remove(&(position, entry.index))
            && term == entry.term
        {
            self.last_acknowledged = self.last_acknowledged.max(entry.index);
            self.acknowledgements += 1;
        }
        if let Body::Members(members) = &entry.body
            && entry.index > self.members_index
        {
            self.members.clone_from(members);
            self.members_index = entry.index;
        }
        self.applied_entries.insert(entry.index, entry);
    }

    /// Checks the term of an entry in a snapshot against the entry applied at its index.
    fn check_applied_term(&mut self, index: u64, term: u64) {
        if self.applied_entries.get(&index).is_some_and(|known| known.term != term) {
            self.add_violation(format!("a snapshot contains another entry at index {index}"));
        }
    }

    /// Checks a replica after a step: at most one leader per term, and no leader without contact to
    /// another voter.
    pub(crate) fn check_leader(
        &mut self,
        position: usize,
        replicas: &[SimulatedReplica],
        now: Time,
    ) {
        let replica = &replicas[position];
        let Some(node) = replica.node() else { return };
        if node.role() != "leader" {
            return;
        }
        let first_seen = || (node.id().clone(), now);
        let (known_leader, led_since) =
            self.leader_by_term.entry(node.term()).or_insert_with(first_seen);
        let led_since = *led_since;
        if known_leader != node.id() {
            let text =
                format!("two leaders in term {}: {known_leader:?}, {:?}", node.term(), node.id());
            self.add_violation(text);
        }
        let others = node.members().iter().filter(|member| member.voter && member.id != *node.id());
        // The election timeout by the slowest clock, plus one tick.
        let max_silence = Duration::from_millis(700);
        if others.count() > 0 && now > replica.acknowledged_at.max(led_since) + max_silence {
            self.add_violation(format!("{:?} leads without contact to another voter", node.id()));
        }
    }

    /// Returns whether every membership in use still has a majority with intact disks when this
    /// replica loses its disk.
    pub(crate) fn can_lose_disk(&self, position: usize, replicas: &[SimulatedReplica]) -> bool {
        let voters = |members: &[Member]| {
            let voters = members.iter().filter(|member| member.voter);
            voters.map(|member| member.id.clone()).collect::<Vec<Id>>()
        };
        let committed = voters(&self.members);
        for replica in replicas {
            let Some(node) = replica.node() else { return false };
            let is_in_use = committed.contains(node.id());
            if is_in_use && voters(node.members()) != committed {
                return false;
            }
        }
        let is_intact = |id: &Id| replicas.iter().any(|replica| replica.id() == id);
        let has_replacement = self.members.iter().any(|member| member.replaces.is_some());
        committed.len() >= 3
            && !has_replacement
            && committed.iter().all(is_intact)
            && committed.contains(replicas[position].id())
    }

    /// Checks the group after all faults have ended.
    ///
    /// There must be a leader, the leader and all voters must have applied every acknowledged
    /// entry, and every member must have become a voter.
    pub(crate) fn check_recovery(&mut self, replicas: &[SimulatedReplica]) {
        if !self.violations.is_empty() {
            return;
        }
        let Some(leader) =
            replicas.iter().find(|replica| replica.node().is_some_and(Node::is_established))
        else {
            return self.add_violation(format!(
                "no leader after all faults ended: {}",
                describe_replicas(replicas)
            ));
        };
        let applied = leader.node().map_or(0, Node::applied_index);
        if applied < self.last_acknowledged {
            self.add_violation(format!(
                "acknowledged entry {} is lost; the leader applied {applied}",
                self.last_acknowledged
            ));
        }
        let members = leader.node().map(|node| node.members().to_vec()).unwrap_or_default();
        for replica in replicas {
            let voter = members.iter().any(|member| member.voter && member.id == *replica.id());
            if voter && replica.node().map_or(0, Node::applied_index) < self.last_acknowledged {
                self.add_violation(format!("{:?} does not catch up", replica.id()));
            }
        }
        for member in members.iter().filter(|member| !member.voter) {
            self.add_violation(format!(
                "{:?} never becomes a voter: {}",
                member.id,
                describe_replicas(replicas)
            ));
        }
    }

    pub(crate) fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }
}

/// Describes the running replicas with role, term, commit index and membership.
fn describe_replicas(replicas: &[SimulatedReplica]) -> String {
    let mut text = String::new();
    for replica in replicas {
        let Some(node) = replica.node() else { continue };
        text += &format!("{}#{} {}", node.id().name, node.id().disk_id, node.role());
        text += &format!(" term {} commit {} members", node.term(), node.commit_index());
        for member in node.members() {
            let mark = if member.voter { "" } else { "?" };
            text += &format!(" {}#{}{mark}", member.id.name, member.id.disk_id);
        }
        text += "; ";
    }
    text
}

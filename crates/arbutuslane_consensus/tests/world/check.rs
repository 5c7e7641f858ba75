//! What must hold in every schedule.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;

use super::Slot;

/// The history of a schedule, and what it violated.
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// Who led each term, and since when.
    leaders: BTreeMap<u64, (Id, Time)>,
    /// The applied entry of each index.
    applied: BTreeMap<u64, Entry>,
    /// Proposals by replica and index, until they are applied there.
    proposed: BTreeMap<(usize, u64), (u64, u64)>,
    /// The highest acknowledged index.
    pub(crate) acknowledged: u64,
    /// The number of acknowledged proposals.
    pub(crate) acknowledgements: u64,
    pub(crate) reads: u64,
    /// The highest acknowledged index when each read began.
    pending_reads: BTreeMap<u64, u64>,
    /// The last committed membership.
    members: Vec<Member>,
    members_index: u64,
}

impl Checks {
    pub(crate) fn new(members: Vec<Member>) -> Self {
        Self {
            violations: Vec::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            proposed: BTreeMap::new(),
            acknowledged: 0,
            acknowledgements: 0,
            reads: 0,
            pending_reads: BTreeMap::new(),
            members,
            members_index: 0,
        }
    }

    pub(crate) fn begin_read(&mut self, token: u64) {
        self.pending_reads.insert(token, self.acknowledged);
    }

    pub(crate) fn effect(&mut self, position: usize, slots: &mut [Slot], effect: Effect) {
        match effect {
            Effect::Apply(entry) => self.apply(position, &mut slots[position], entry),
            Effect::Install(snapshot) => {
                slots[position].install(&snapshot);
                for (index, term) in slots[position].machine.clone() {
                    self.agree(index, term);
                }
                self.proposed.retain(|(owner, _), _| *owner != position);
            }
            Effect::Proposed { token, index, term } => {
                self.proposed.insert((position, index), (token, term));
            }
            Effect::Readable { token } => {
                let applied = slots[position].node().map_or(0, Node::applied);
                let Some(required) = self.pending_reads.remove(&token) else { return };
                self.reads += 1;
                if applied < required {
                    self.violate(format!("a read at {applied} misses the acknowledged {required}"));
                }
            }
            Effect::Refused { token, .. } => {
                self.pending_reads.remove(&token);
            }
            Effect::Send(_) | Effect::Write { .. } => {}
        }
    }

    fn apply(&mut self, position: usize, slot: &mut Slot, entry: Entry) {
        if let Some(known) = self.applied.get(&entry.index)
            && *known != entry
        {
            return self.violate(format!("two entries applied at {}", entry.index));
        }
        slot.machine.push((entry.index, entry.term));
        if let Some((_, term)) = self.proposed.remove(&(position, entry.index))
            && term == entry.term
        {
            self.acknowledged = self.acknowledged.max(entry.index);
            self.acknowledgements += 1;
        }
        if let Body::Members(members) = &entry.body
            && entry.index > self.members_index
        {
            self.members.clone_from(members);
            self.members_index = entry.index;
        }
        self.applied.insert(entry.index, entry);
    }

    fn agree(&mut self, index: u64, term: u64) {
        if self.applied.get(&index).is_some_and(|known| known.term != term) {
            self.violate(format!("a snapshot holds another entry at {index}"));
        }
    }

    /// Checks the replica that has just made a step.
    pub(crate) fn observe(&mut self, position: usize, slots: &[Slot], now: Time) {
        let slot = &slots[position];
        let Some(node) = slot.node() else { return };
        if node.role() != "leader" {
            return;
        }
        let first = || (node.id().clone(), now);
        let (known, since) = self.leaders.entry(node.term()).or_insert_with(first);
        let since = *since;
        if known != node.id() {
            let text = format!("two leaders in term {}: {known:?}, {:?}", node.term(), node.id());
            self.violate(text);
        }
        let others = node.members().iter().filter(|member| member.voter && member.id != *node.id());
        // The election timeout by the slowest clock and one tick.
        let limit = Duration::from_millis(700);
        if others.count() > 0 && now > slot.received.max(since) + limit {
            self.violate(format!("{:?} leads without hearing from anyone", node.id()));
        }
    }

    /// Returns whether losing this disk leaves a majority of every membership in use.
    pub(crate) fn may_lose_disk(&self, position: usize, slots: &[Slot]) -> bool {
        let voters = |members: &[Member]| {
            let voters = members.iter().filter(|member| member.voter);
            voters.map(|member| member.id.clone()).collect::<Vec<Id>>()
        };
        let committed = voters(&self.members);
        for slot in slots {
            let Some(node) = slot.node() else { return false };
            let in_use = committed.contains(node.id());
            if in_use && voters(node.members()) != committed {
                return false;
            }
        }
        let intact = |id: &Id| slots.iter().any(|slot| slot.id() == id);
        let removes = self.members.iter().any(|member| member.replaces.is_some());
        committed.len() >= 3
            && !removes
            && committed.iter().all(intact)
            && committed.contains(slots[position].id())
    }

    /// Checks, after all faults have ended, that the group works and holds what it acknowledged.
    pub(crate) fn finish(&mut self, slots: &[Slot]) {
        if !self.violations.is_empty() {
            return;
        }
        let Some(leader) = slots.iter().find(|slot| slot.node().is_some_and(Node::is_established))
        else {
            return self.violate(format!("no leader after all faults ended: {}", describe(slots)));
        };
        let applied = leader.node().map_or(0, Node::applied);
        if applied < self.acknowledged {
            self.violate(format!("acknowledged {} lost, applied {applied}", self.acknowledged));
        }
        let members = leader.node().map(|node| node.members().to_vec()).unwrap_or_default();
        for slot in slots {
            let voter = members.iter().any(|member| member.voter && member.id == *slot.id());
            if voter && slot.node().map_or(0, Node::applied) < self.acknowledged {
                self.violate(format!("{:?} does not catch up", slot.id()));
            }
        }
        for member in members.iter().filter(|member| !member.voter) {
            self.violate(format!("{:?} never gets its vote: {}", member.id, describe(slots)));
        }
    }

    pub(crate) fn violate(&mut self, text: String) {
        self.violations.push(text);
    }
}

/// The replicas with role, term, commit index and membership.
fn describe(slots: &[Slot]) -> String {
    let mut text = String::new();
    for slot in slots {
        let Some(node) = slot.node() else { continue };
        text += &format!("{}#{} {}", node.id().name, node.id().instance, node.role());
        text += &format!(" term {} commit {} members", node.term(), node.commit_index());
        for member in node.members() {
            let mark = if member.voter { "" } else { "?" };
            text += &format!(" {}#{}{mark}", member.id.name, member.id.instance);
        }
        text += "; ";
    }
    text
}

//! The state machine that control replicas apply committed commands to.

use std::collections::VecDeque;

use arbutuslane_core::id::Revision;

use crate::change::{self, Change, Edit, Outcome, Proposal, Reset};
use crate::entry::Entry;
use crate::group::Group;

/// The number of answered change ids that are kept for resends: more than a day at 3,500 changes.
pub const ANSWERED_CHANGES_KEPT: usize = 8_192;

/// One accepted change as the history shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The revision that the change made.
    pub revision: Revision,
    /// The id of the change.
    pub change_id: String,
    /// The operator who made it.
    pub author: String,
    /// What the change did, in ascending order of the service.
    pub edits: Vec<Edit>,
}

/// The replicated state: catalogue, register groups and the answers to past changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The current revision.
    pub revision: Revision,
    /// Raised by one with each change of a register group.
    pub group_version: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
    /// The register groups in ascending order of their shard.
    pub groups: Vec<Group>,
    /// Accepted changes, oldest first.
    pub history: VecDeque<Record>,
    /// Answers to change ids, oldest first.
    pub answered: VecDeque<(String, Outcome)>,
}

impl State {
    /// Applies `change` and returns its answer; a change id seen before gets its first answer.
    pub fn apply_change(&mut self, change: Change) -> Outcome {
        let proposal = self.reduce(change);
        self.apply(proposal)
    }

    /// Reduces `change` to its edits; a change from another revision has none and will conflict.
    pub fn reduce(&self, mut change: Change) -> Proposal {
        change.entries.sort_by(|left, right| left.service.cmp(&right.service));
        let edits = match change.base == self.revision {
            true => change::edits(&self.entries, &change.entries),
            false => Vec::new(),
        };
        Proposal { id: change.id, author: change.author, base: change.base, edits }
    }

    /// Applies `proposal` and returns its answer; a change id seen before gets its first answer.
    pub fn apply(&mut self, proposal: Proposal) -> Outcome {
        if let Some(outcome) = self.answer(&proposal.id) {
            return outcome.clone();
        }
        let outcome = self.decide(&proposal);
        self.keep_answer(&proposal.id, &outcome);
        if let Outcome::Accepted { revision } = outcome {
            self.revision = revision;
            for edit in &proposal.edits {
                set(&mut self.entries, &edit.service, edit.after.as_ref());
            }
            self.history.push_back(Record {
                revision,
                change_id: proposal.id,
                author: proposal.author,
                edits: proposal.edits,
            });
        }
        while self.history.len() > ANSWERED_CHANGES_KEPT {
            self.history.pop_front();
        }
        outcome
    }

    /// Resets a register group and returns the answer; a change id seen before gets its first answer.
    pub fn apply_reset(&mut self, reset: Reset) -> Outcome {
        if let Some(outcome) = self.answer(&reset.id) {
            return outcome.clone();
        }
        let shard = reset.group.shard;
        // Another change of the group may have been decided since the reset was proposed.
        let known = self.groups.iter().find(|group| group.shard == shard);
        let epoch = known.map_or(0, |group| group.epoch) + 1;
        self.apply_group(Group { epoch, ..reset.group });
        let outcome = Outcome::GroupReset { shard, epoch };
        self.keep_answer(&reset.id, &outcome);
        outcome
    }

    /// Keeps the answer of the change `id`, which added a control instance, for resends.
    pub fn note_members_change(&mut self, id: &str) {
        if self.answer(id).is_none() {
            self.keep_answer(id, &Outcome::MembersChanged);
        }
    }

    /// Returns the answer that the change `id` got.
    pub fn answer(&self, id: &str) -> Option<&Outcome> {
        self.answered.iter().rev().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// Returns the entries as they were at `revision`, while the history reaches back so far.
    pub fn entries_at(&self, revision: Revision) -> Option<Vec<Entry>> {
        let oldest = self.history.front().map_or(self.revision, |record| record.revision - 1);
        if !(oldest..=self.revision).contains(&revision) {
            return None;
        }
        let mut entries = self.entries.clone();
        for record in self.history.iter().rev().take_while(|record| record.revision > revision) {
            for edit in &record.edits {
                set(&mut entries, &edit.service, edit.before.as_ref());
            }
        }
        Some(entries)
    }

    /// Returns the records after `revision`, or nothing when the history starts later.
    pub fn records_after(&self, revision: Revision) -> Option<impl Iterator<Item = &Record>> {
        let oldest = self.history.front().map_or(self.revision, |record| record.revision - 1);
        if !(oldest..=self.revision).contains(&revision) {
            return None;
        }
        Some(self.history.iter().skip_while(move |record| record.revision <= revision))
    }

    /// Returns the entry of `service`.
    pub fn entry(&self, service: &str) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.service.as_str().cmp(service));
        index.ok().map(|index| &self.entries[index])
    }

    /// Replaces the group of one shard when `group` is newer than the one in force.
    pub fn apply_group(&mut self, group: Group) {
        match self.groups.binary_search_by_key(&group.shard, |known| known.shard) {
            Ok(index) if self.groups[index].epoch < group.epoch => self.groups[index] = group,
            Ok(_) => return,
            Err(index) => self.groups.insert(index, group),
        }
        self.group_version += 1;
    }

    fn keep_answer(&mut self, id: &str, outcome: &Outcome) {
        self.answered.push_back((id.to_string(), outcome.clone()));
        while self.answered.len() > ANSWERED_CHANGES_KEPT {
            self.answered.pop_front();
        }
    }

    fn decide(&self, change: &Proposal) -> Outcome {
        if change.base == self.revision {
            return Outcome::Accepted { revision: self.revision + 1 };
        }
        let (winner, author) = match self.history.back() {
            Some(last) => (last.change_id.clone(), last.author.clone()),
            None => (String::new(), String::new()),
        };
        Outcome::Conflict { revision: self.revision, winner, author }
    }
}

fn set(entries: &mut Vec<Entry>, service: &str, entry: Option<&Entry>) {
    let found = entries.binary_search_by(|known| known.service.as_str().cmp(service));
    match (found, entry) {
        (Ok(index), Some(entry)) => entries[index] = entry.clone(),
        (Ok(index), None) => {
            entries.remove(index);
        }
        (Err(index), Some(entry)) => entries.insert(index, entry.clone()),
        (Err(_), None) => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(id: &str, base: Revision) -> Change {
        Change { id: id.to_string(), author: format!("author of {id}"), base, entries: Vec::new() }
    }

    /// Guards against two operators who both win from the same revision.
    #[test]
    fn apply_change_race() {
        let mut state = State::default();
        assert_eq!(state.apply_change(change("a", 0)), Outcome::Accepted { revision: 1 });
        assert_eq!(
            state.apply_change(change("b", 0)),
            Outcome::Conflict {
                revision: 1,
                winner: "a".to_string(),
                author: "author of a".to_string()
            }
        );
    }

    /// Guards against a resend that is applied twice or refused because the revision moved on.
    #[test]
    fn apply_change_resend() {
        let mut state = State::default();
        state.apply_change(change("a", 0));
        state.apply_change(change("b", 1));
        assert_eq!(state.apply_change(change("a", 0)), Outcome::Accepted { revision: 1 });
        assert_eq!(state.revision, 2);
    }

    /// Guards against a resent reset that gives up the registers claimed since the first one.
    #[test]
    fn apply_reset_resend() {
        let mut state = State::default();
        let group = Group { shard: 3, epoch: 1, founding: true, members: Vec::new() };
        state.apply_group(group.clone());
        let reset = |id: &str| Reset {
            id: id.to_string(),
            author: "mari".to_string(),
            group: Group { epoch: 2, ..group.clone() },
        };
        let first = Outcome::GroupReset { shard: 3, epoch: 2 };
        assert_eq!(state.apply_reset(reset("a")), first);
        let after = state.clone();
        assert_eq!(state.apply_reset(reset("a")), first);
        assert_eq!(state, after);
        assert_eq!(state.apply_reset(reset("b")), Outcome::GroupReset { shard: 3, epoch: 3 });
    }
}

//! The state machine to which control replicas apply committed commands.

use std::collections::VecDeque;

use arbutuslane_core::id::Revision;

use crate::change::{self, Change, Edit, Outcome, Proposal, Reset};
use crate::entry::Entry;
use crate::group::Group;

/// The maximum number of outcomes that are retained for resends, and of records in the history:
/// more than a day of changes at 3,500 a day.
pub const MAX_RETAINED_CHANGES: usize = 8_192;

/// An accepted change in the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The revision that the change created.
    pub revision: Revision,
    /// The id of the change.
    pub change_id: String,
    /// The operator who made it.
    pub author: String,
    /// The edits of the change in ascending order of their service.
    pub edits: Vec<Edit>,
}

/// The replicated state: the catalogue, the register groups and the outcomes of past changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The current revision.
    pub revision: Revision,
    /// The version of the register groups; each change of a group raises it by one.
    pub group_version: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
    /// The register groups in ascending order of their shard.
    pub groups: Vec<Group>,
    /// The accepted changes, oldest first.
    pub history: VecDeque<Record>,
    /// The outcomes of catalogue changes, group resets and member changes by change id, oldest
    /// first.
    pub outcomes: VecDeque<(String, Outcome)>,
}

impl State {
    /// Reduces `change` to its edits and applies them; see [`State::apply`].
    pub fn apply_change(&mut self, change: Change) -> Outcome {
        let proposal = self.to_proposal(change);
        self.apply(proposal)
    }

    /// Reduces `change` to its edits. A change that is based on another revision gets none: it is a
    /// resend, which gets its first outcome, or it ends in a conflict.
    pub fn to_proposal(&self, mut change: Change) -> Proposal {
        change.entries.sort_by(|left, right| left.service.cmp(&right.service));
        let edits = match change.base == self.revision {
            true => change::edits(&self.entries, &change.entries),
            false => Vec::new(),
        };
        Proposal { id: change.id, author: change.author, base: change.base, edits }
    }

    /// Applies `proposal` and returns its outcome; a repeated change id gets its first outcome.
    pub fn apply(&mut self, proposal: Proposal) -> Outcome {
        if let Some(outcome) = self.outcome(&proposal.id) {
            return outcome.clone();
        }
        let outcome = self.decide(&proposal);
        self.record_outcome(&proposal.id, &outcome);
        if let Outcome::Accepted { revision } = outcome {
            self.revision = revision;
            for edit in &proposal.edits {
                set_entry(&mut self.entries, &edit.service, edit.after.as_ref());
            }
            self.history.push_back(Record {
                revision,
                change_id: proposal.id,
                author: proposal.author,
                edits: proposal.edits,
            });
        }
        while self.history.len() > MAX_RETAINED_CHANGES {
            self.history.pop_front();
        }
        outcome
    }

    /// Replaces a register group that lost too many members with `reset.group`, in the next epoch.
    ///
    /// The registers of earlier epochs are lost. Returns the outcome; a repeated change id gets its
    /// first outcome.
    pub fn apply_reset(&mut self, reset: Reset) -> Outcome {
        if let Some(outcome) = self.outcome(&reset.id) {
            return outcome.clone();
        }
        let shard = reset.group.shard;
        // Another change of the group may have been committed since the reset was proposed, so the
        // epoch of `reset.group` is replaced.
        let known = self.groups.iter().find(|group| group.shard == shard);
        let epoch = known.map_or(0, |group| group.epoch) + 1;
        self.apply_group(Group { epoch, ..reset.group });
        let outcome = Outcome::GroupReset { shard, epoch };
        self.record_outcome(&reset.id, &outcome);
        outcome
    }

    /// Records that the change `id` of the control instances was made, so that a resend gets the
    /// outcome.
    pub fn record_members_change(&mut self, id: &str) {
        if self.outcome(id).is_none() {
            self.record_outcome(id, &Outcome::MembersChanged);
        }
    }

    /// Returns the recorded outcome of the change `id`.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// Returns the entries at `revision`, or `None` when the history does not cover it.
    pub fn entries_at(&self, revision: Revision) -> Option<Vec<Entry>> {
        let oldest = self.history.front().map_or(self.revision, |record| record.revision - 1);
        if !(oldest..=self.revision).contains(&revision) {
            return None;
        }
        let mut entries = self.entries.clone();
        for record in self.history.iter().rev().take_while(|record| record.revision > revision) {
            for edit in &record.edits {
                set_entry(&mut entries, &edit.service, edit.before.as_ref());
            }
        }
        Some(entries)
    }

    /// Returns the records after `revision`, or `None` when the history does not cover it.
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

    /// Adds the group of a shard, or replaces it when `group` has a higher epoch.
    pub fn apply_group(&mut self, group: Group) {
        match self.groups.binary_search_by_key(&group.shard, |known| known.shard) {
            Ok(index) if self.groups[index].epoch < group.epoch => self.groups[index] = group,
            Ok(_) => return,
            Err(index) => self.groups.insert(index, group),
        }
        self.group_version += 1;
    }

    fn record_outcome(&mut self, id: &str, outcome: &Outcome) {
        self.outcomes.push_back((id.to_string(), outcome.clone()));
        while self.outcomes.len() > MAX_RETAINED_CHANGES {
            self.outcomes.pop_front();
        }
    }

    fn decide(&self, proposal: &Proposal) -> Outcome {
        if proposal.base == self.revision {
            return Outcome::Accepted { revision: self.revision + 1 };
        }
        let (winner, author) = match self.history.back() {
            Some(last) => (last.change_id.clone(), last.author.clone()),
            None => (String::new(), String::new()),
        };
        Outcome::Conflict { revision: self.revision, winner, author }
    }
}

fn set_entry(entries: &mut Vec<Entry>, service: &str, entry: Option<&Entry>) {
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

    /// Guards against accepting two changes that are based on the same revision.
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

    /// Guards against a resend that is applied twice, or refused because the revision has advanced.
    #[test]
    fn apply_change_resend() {
        let mut state = State::default();
        state.apply_change(change("a", 0));
        state.apply_change(change("b", 1));
        assert_eq!(state.apply_change(change("a", 0)), Outcome::Accepted { revision: 1 });
        assert_eq!(state.revision, 2);
    }

    /// Guards against a resent reset that is applied again and discards the registers that were
    /// claimed since the first one.
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

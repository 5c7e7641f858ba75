//! The state machine that control replicas apply committed commands to.

use std::collections::VecDeque;

use arbutuslane_core::id::Revision;

use crate::change::{Change, Outcome};
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
}

/// The replicated state: catalogue, register groups and the answers to past changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The current revision.
    pub revision: Revision,
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
        if let Some((_, outcome)) = self.answered.iter().find(|(id, _)| *id == change.id) {
            return outcome.clone();
        }
        let outcome = self.decide(&change);
        if let Outcome::Accepted { revision } = outcome {
            self.revision = revision;
            self.history.push_back(Record {
                revision,
                change_id: change.id.clone(),
                author: change.author.clone(),
            });
            self.entries = change.entries;
            self.entries.sort_by(|left, right| left.service.cmp(&right.service));
        }
        self.answered.push_back((change.id, outcome.clone()));
        while self.answered.len() > ANSWERED_CHANGES_KEPT {
            self.answered.pop_front();
        }
        while self.history.len() > ANSWERED_CHANGES_KEPT {
            self.history.pop_front();
        }
        outcome
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
            Ok(_) => {}
            Err(index) => self.groups.insert(index, group),
        }
    }

    fn decide(&self, change: &Change) -> Outcome {
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
}

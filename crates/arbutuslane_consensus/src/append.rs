//! Replication of the leader's log to a replica.

use crate::common::CommonState;
use crate::input::{Effect, Write};
use crate::log::{Entry, Snapshot};
use crate::member::Id;
use crate::message::Message;

/// The fields of [`Message::Append`] without the term.
pub(crate) struct Append {
    pub(crate) round: u64,
    pub(crate) prev_index: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: u64,
}

impl CommonState {
    /// Records that `leader` leads the current term and was just heard from.
    pub(crate) fn record_leader(&mut self, leader: &Id, round: u64) {
        if self.leader.as_ref() != Some(leader) {
            self.clear_leader();
            self.leader = Some(leader.clone());
        }
        self.round = self.round.max(round);
        self.leader_heard_at = self.now;
        self.reset_election_deadline();
    }

    /// Handles a heartbeat, with or without entries, of the current term's leader.
    pub(crate) fn append_entries(&mut self, leader: &Id, append: Append) {
        self.record_leader(leader, append.round);
        let Append { prev_index, prev_term, entries, commit, .. } = append;
        // Entries that the snapshot covers are committed, so they agree with the leader's log.
        let is_consistent =
            prev_index < self.log.base_index() || self.log.term_at(prev_index) == Some(prev_term);
        if !is_consistent {
            // If this log ends before `prev_index`, the leader continues after its end; on a
            // conflict, after the last entry that is certain to agree.
            let hint = match self.log.last_index() < prev_index {
                true => self.log.last_index(),
                false => self.commit_index,
            };
            return self.acknowledge(Some(hint));
        }
        let last_index = prev_index + entries.len() as u64;
        self.merge_entries(entries);
        self.verified_index = self.verified_index.max(last_index.min(self.log.last_index()));
        self.commit_to(commit.min(self.verified_index));
        self.acknowledge(None);
    }

    /// Handles a snapshot of the current term's leader.
    pub(crate) fn install_snapshot(&mut self, leader: &Id, round: u64, snapshot: Snapshot) {
        self.record_leader(leader, round);
        let index = snapshot.index;
        if index > self.commit_index {
            let discard_entries = self.log.set_snapshot(snapshot.clone());
            self.commit_index = index;
            self.applied_index = index;
            self.write(Write::Snapshot { snapshot: snapshot.clone(), discard_entries });
            self.effects.push(Effect::Install(snapshot));
            self.release_reads();
        }
        self.verified_index = self.verified_index.max(index);
        self.acknowledge(None);
    }

    /// Reports to the leader up to which index the durable log agrees with its own.
    ///
    /// `conflict` is the index after which the leader should continue when the logs disagree.
    pub(crate) fn acknowledge(&mut self, conflict: Option<u64>) {
        let Some(leader) = self.leader.clone() else { return };
        let matched = self.durable_index.min(self.verified_index);
        let message = Message::Appended { term: self.term, round: self.round, matched, conflict };
        self.send(&leader, message);
    }

    /// Appends the entries that are new and replaces those that conflict.
    fn merge_entries(&mut self, entries: Vec<Entry>) {
        let mut new_entries = Vec::new();
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            if new_entries.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if new_entries.is_empty() {
                self.log.truncate(entry.index);
            }
            self.log.push(entry.clone());
            new_entries.push(entry);
        }
        if !new_entries.is_empty() {
            self.write(Write::Entries(new_entries));
        }
    }
}

//! How a replica takes over a leader's log.

use crate::common::Common;
use crate::input::{Effect, Write};
use crate::log::{Entry, Snapshot};
use crate::member::Id;
use crate::message::Message;

/// The fields of [`Message::Append`] after the term.
pub(crate) struct Append {
    pub(crate) round: u64,
    pub(crate) prev_index: u64,
    pub(crate) prev_term: u64,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: u64,
}

impl Common {
    /// Notes that `leader` leads the current term and is alive.
    pub(crate) fn follow(&mut self, leader: &Id, round: u64) {
        if self.leader.as_ref() != Some(leader) {
            self.forget_leader();
            self.leader = Some(leader.clone());
        }
        self.round = self.round.max(round);
        self.heard = self.now;
        self.reset_deadline();
    }

    /// Handles entries of the current term's leader.
    pub(crate) fn append(&mut self, leader: &Id, append: Append) {
        self.follow(leader, append.round);
        let Append { prev_index, prev_term, entries, commit, .. } = append;
        // What the snapshot covers is committed, so it agrees with the leader's log.
        let joins = prev_index < self.log.base() || self.log.term_at(prev_index) == Some(prev_term);
        if !joins {
            // Behind the end of this log the leader continues at the end; on a conflict, at the last
            // entry that is certain to agree.
            let hint = match self.log.last_index() < prev_index {
                true => self.log.last_index(),
                false => self.commit,
            };
            return self.acknowledge(Some(hint));
        }
        let last = prev_index + entries.len() as u64;
        self.take(entries);
        self.verified = self.verified.max(last.min(self.log.last_index()));
        self.commit_to(commit.min(self.verified));
        self.acknowledge(None);
    }

    /// Handles a snapshot of the current term's leader.
    pub(crate) fn install(&mut self, leader: &Id, round: u64, snapshot: Snapshot) {
        self.follow(leader, round);
        let index = snapshot.index;
        if index > self.commit {
            let reset = self.log.rebase(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.write(Write::Snapshot { snapshot: snapshot.clone(), reset });
            self.effects.push(Effect::Install(snapshot));
            self.release_reads();
        }
        self.verified = self.verified.max(index);
        self.acknowledge(None);
    }

    /// Tells the leader up to where the durable log agrees with its own.
    pub(crate) fn acknowledge(&mut self, conflict: Option<u64>) {
        let Some(leader) = self.leader.clone() else { return };
        let matched = self.durable.min(self.verified);
        let message = Message::Appended { term: self.term, round: self.round, matched, conflict };
        self.send(&leader, message);
    }

    /// Adds the entries that are new, and replaces those that conflict.
    fn take(&mut self, entries: Vec<Entry>) {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.log.base() {
                continue;
            }
            if fresh.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if fresh.is_empty() {
                self.log.truncate(entry.index);
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        if !fresh.is_empty() {
            self.write(Write::Entries(fresh));
        }
    }
}

//! How a replica takes a message, whatever its role.

use crate::append::Append;
use crate::common::Common;
use crate::input::Refusal;
use crate::member::Id;
use crate::message::{Envelope, Message};
use crate::node::Node;

impl Node {
    /// Takes a message, unless it is for another instance.
    pub(crate) fn receive(self, envelope: Envelope) -> Self {
        let Envelope { from, to, message } = envelope;
        let own = &self.common().id;
        let to_any = to.instance == 0 && message == Message::Joining;
        if to.name != own.name || (to.instance != own.instance && !to_any) {
            return self;
        }
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.pre_vote(&from, term, (last_index, last_term))
            }
            Message::PreVoted { term, own_term, granted } => {
                match self.raise_term(if granted { 0 } else { own_term }) {
                    Self::PreCandidate(replica) => replica.pre_voted(from, term, granted),
                    node => node,
                }
            }
            Message::Vote { term, last_index, last_term } => {
                self.vote(&from, term, (last_index, last_term))
            }
            Message::Voted { term, granted } => match self.raise_term(term) {
                Self::Candidate(replica) if replica.common.term == term => {
                    replica.voted(from, granted)
                }
                node => node,
            },
            Message::Append { term, round, prev_index, prev_term, entries, commit } => {
                let append = Append { round, prev_index, prev_term, entries, commit };
                self.lead(&from, term, |common| common.append(&from, append))
            }
            Message::Snapshot { term, round, snapshot } => {
                self.lead(&from, term, |common| common.install(&from, round, snapshot))
            }
            Message::Appended { term, round, matched, conflict } => {
                self.appended(&from, term, round, (matched, conflict))
            }
            Message::Joining => self.joining(&from),
            Message::ReadIndex { read } => self.read_index(from, read),
            Message::ReadAt { read, index } => self.read_at(read, index),
        }
    }

    fn appended(
        self,
        from: &Id,
        term: u64,
        round: u64,
        (matched, conflict): (u64, Option<u64>),
    ) -> Self {
        let mut node = self.raise_term(term);
        if let Self::Leader(leader) = &mut node
            && leader.common.term == term
        {
            leader.appended(from, round, matched, conflict);
        }
        node
    }

    fn joining(mut self, from: &Id) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.joining(from),
            other => other.common_mut().forward_joining(from),
        }
        self
    }

    fn read_index(mut self, from: Id, read: u64) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.read(read, Some(from)),
            other => other.common_mut().send(&from, Message::ReadAt { read, index: None }),
        }
        self
    }

    fn pre_vote(mut self, from: &Id, term: u64, last: (u64, u64)) -> Self {
        // A replica that was removed without being told still campaigns after it is added again.
        let is_expected = self
            .members()
            .iter()
            .any(|member| !member.voter && member.id.name == from.name && member.id != *from);
        let bound = match &mut self {
            Self::Leader(leader) => {
                if is_expected {
                    leader.joining(from);
                }
                true
            }
            other => {
                if is_expected {
                    other.common_mut().forward_joining(from);
                }
                other.common().is_bound()
            }
        };
        self.common_mut().answer_pre_vote(from, term, last, bound);
        self
    }

    fn vote(self, from: &Id, term: u64, last: (u64, u64)) -> Self {
        if term < self.common().term {
            let mut node = self;
            let message = Message::Voted { term: node.common().term, granted: false };
            node.common_mut().send_after_writes(from, message);
            return node;
        }
        // A vote in this time could elect a second leader while the first one still serves reads
        // under its lease. Not even the term is raised.
        let repeated = term == self.common().term && self.common().vote.as_ref() == Some(from);
        if self.common().is_bound() && !repeated {
            return self;
        }
        let mut node = self.raise_term(term);
        if matches!(node, Self::Leader(_)) {
            return node;
        }
        node.common_mut().answer_vote(from, last);
        node
    }

    /// Handles a message of the leader `from` of `term`.
    fn lead(self, from: &Id, term: u64, work: impl FnOnce(&mut Common)) -> Self {
        if term < self.common().term {
            let mut node = self;
            let term = node.common().term;
            let message = Message::Appended { term, round: 0, matched: 0, conflict: None };
            node.common_mut().send_after_writes(from, message);
            return node;
        }
        let mut node = self.raise_term(term);
        if matches!(node, Self::PreCandidate(_) | Self::Candidate(_)) {
            node = node.step_down();
        }
        if matches!(node, Self::Leader(_)) {
            return node;
        }
        work(node.common_mut());
        node
    }

    fn read_at(mut self, read: u64, index: Option<u64>) -> Self {
        let common = self.common_mut();
        let Some(position) = common.asked.iter().position(|token| *token == read) else {
            return self;
        };
        common.asked.swap_remove(position);
        match index {
            Some(index) => common.reads.push((read, index)),
            None => common.refuse(read, Refusal::NotLeader),
        }
        common.release_reads();
        self
    }
}

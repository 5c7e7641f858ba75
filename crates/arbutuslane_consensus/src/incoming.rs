//! Handling of received messages in all roles.

use crate::append::Append;
use crate::common::CommonState;
use crate::input::Refusal;
use crate::member::Id;
use crate::message::{Envelope, Message};
use crate::node::Node;

impl Node {
    /// Handles a message, or drops it when it is addressed to another instance or data folder.
    pub(crate) fn handle_message(self, envelope: Envelope) -> Self {
        let Envelope { from, to, message } = envelope;
        let own = &self.common().id;
        let is_join_request = to.disk_id == 0 && message == Message::JoinRequest;
        if to.name != own.name || (to.disk_id != own.disk_id && !is_join_request) {
            return self;
        }
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.handle_pre_vote(&from, term, (last_index, last_term))
            }
            Message::PreVoted { term, own_term, granted } => {
                match self.raise_term(if granted { 0 } else { own_term }) {
                    Self::PreCandidate(replica) => replica.handle_pre_voted(from, term, granted),
                    node => node,
                }
            }
            Message::Vote { term, last_index, last_term } => {
                self.handle_vote(&from, term, (last_index, last_term))
            }
            Message::Voted { term, granted } => match self.raise_term(term) {
                Self::Candidate(replica) if replica.common.term == term => {
                    replica.handle_voted(from, granted)
                }
                node => node,
            },
            Message::Append { term, round, prev_index, prev_term, entries, commit } => {
                let append = Append { round, prev_index, prev_term, entries, commit };
                self.follow(&from, term, |common| common.append_entries(&from, append))
            }
            Message::Snapshot { term, round, snapshot } => {
                self.follow(&from, term, |common| common.install_snapshot(&from, round, snapshot))
            }
            Message::Appended { term, round, matched, conflict } => {
                self.handle_appended(&from, term, round, (matched, conflict))
            }
            Message::JoinRequest => self.handle_join_request(&from),
            Message::ReadIndex { read } => self.handle_read_index(from, read),
            Message::ReadIndexResponse { read, index } => {
                self.handle_read_index_response(read, index)
            }
        }
    }

    fn handle_appended(
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
            leader.handle_appended(from, round, matched, conflict);
        }
        node
    }

    fn handle_join_request(mut self, from: &Id) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.handle_join_request(from),
            other => other.common_mut().forward_join_request(from),
        }
        self
    }

    fn handle_read_index(mut self, from: Id, read: u64) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.read(read, Some(from)),
            node => node.common_mut().send(&from, Message::ReadIndexResponse { read, index: None }),
        }
        self
    }

    fn handle_pre_vote(mut self, from: &Id, term: u64, last_entry: (u64, u64)) -> Self {
        // A replica that did not learn of its removal still campaigns after it is added again, so
        // its pre-vote also counts as a join request.
        let is_rejoining = self
            .members()
            .iter()
            .any(|member| !member.voter && member.id.name == from.name && member.id != *from);
        let has_recent_leader = match &mut self {
            Self::Leader(leader) => {
                if is_rejoining {
                    leader.handle_join_request(from);
                }
                true
            }
            other => {
                if is_rejoining {
                    other.common_mut().forward_join_request(from);
                }
                other.common().has_recent_leader()
            }
        };
        self.common_mut().respond_to_pre_vote(from, term, last_entry, has_recent_leader);
        self
    }

    fn handle_vote(self, from: &Id, term: u64, last_entry: (u64, u64)) -> Self {
        if term < self.common().term {
            let mut node = self;
            let message = Message::Voted { term: node.common().term, granted: false };
            node.common_mut().send_after_writes(from, message);
            return node;
        }
        // A vote this soon after hearing from a leader could elect a second leader while the first
        // one still serves reads under its lease. Not even the term is raised.
        let is_repeated = term == self.common().term && self.common().vote.as_ref() == Some(from);
        if self.common().has_recent_leader() && !is_repeated {
            return self;
        }
        let mut node = self.raise_term(term);
        if matches!(node, Self::Leader(_)) {
            return node;
        }
        node.common_mut().respond_to_vote(from, last_entry);
        node
    }

    /// Follows `from` as the leader of `term` and handles its message with `handler`; rejects the
    /// message when the term has passed.
    fn follow(self, from: &Id, term: u64, handler: impl FnOnce(&mut CommonState)) -> Self {
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
        handler(node.common_mut());
        node
    }

    fn handle_read_index_response(mut self, read: u64, index: Option<u64>) -> Self {
        let common = self.common_mut();
        let Some(position) = common.reads_awaiting_leader.iter().position(|token| *token == read)
        else {
            return self;
        };
        common.reads_awaiting_leader.swap_remove(position);
        match index {
            Some(index) => common.reads_awaiting_apply.push((read, index)),
            None => common.refuse(read, Refusal::NotLeader),
        }
        common.release_reads();
        self
    }
}

//! Campaigns and votes.

use std::collections::BTreeSet;

use crate::common::Common;
use crate::log::{Body, Entry};
use crate::member::{Id, is_majority, is_voter};
use crate::message::Message;
use crate::node::Node;
use crate::replica::{Candidate, CatchingUp, Follower, Leader, PreCandidate, Replica};

impl Common {
    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn ask_voters(&mut self, durable: bool, message: &Message) {
        let members = self.log.members().to_vec();
        for member in &members {
            if !member.voter || member.id == self.id {
                continue;
            }
            match durable {
                true => self.send_after_writes(&member.id, message.clone()),
                false => self.send(&member.id, message.clone()),
            }
        }
    }

    pub(crate) fn answer_pre_vote(&mut self, from: &Id, term: u64, last: (u64, u64), bound: bool) {
        let granted = !bound && term > self.term && self.is_up_to_date(last.0, last.1);
        let own_term = self.term;
        self.send(from, Message::PreVoted { term, own_term, granted });
    }

    /// Answers a request for a vote in the current term.
    pub(crate) fn answer_vote(&mut self, from: &Id, last: (u64, u64)) {
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = free && self.is_up_to_date(last.0, last.1);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                self.save_vote();
            }
            self.reset_deadline();
        }
        self.send_after_writes(from, Message::Voted { term: self.term, granted });
    }

    /// Returns whether the granted votes are a majority of the latest membership.
    fn has_won(&self, granted: &BTreeSet<Id>) -> bool {
        let members = self.log.members();
        let count = granted.iter().filter(|id| is_voter(members, id)).count();
        is_majority(members, count)
    }
}

impl<R> Replica<R> {
    /// Steps back to the role that the log gives a replica which does not campaign.
    pub(crate) fn settle(self) -> Node {
        match self.common.may_campaign() {
            true => Node::Follower(self.turn(Follower)),
            false => {
                let join_after = self.common.now;
                Node::CatchingUp(self.turn(CatchingUp { join_after }))
            }
        }
    }

    /// Starts to ask for votes, after the deadline passed.
    pub(crate) fn campaign(mut self) -> Node {
        self.common.forget_leader();
        self.common.reset_deadline();
        let message = Message::PreVote {
            term: self.common.term + 1,
            last_index: self.common.log.last_index(),
            last_term: self.common.log.last_term(),
        };
        self.common.ask_voters(false, &message);
        if self.common.now > self.common.heard + self.common.timing.election_max * 4 {
            // The instances that this membership names may all have been replaced meanwhile.
            self.common.ask_to_join();
        }
        let granted = [self.common.id.clone()].into();
        self.turn(PreCandidate { granted }).count()
    }
}

impl Replica<PreCandidate> {
    pub(crate) fn pre_voted(mut self, from: Id, term: u64, granted: bool) -> Node {
        if granted && term == self.common.term + 1 {
            self.role.granted.insert(from);
        }
        self.count()
    }

    fn count(mut self) -> Node {
        if !self.common.has_won(&self.role.granted) {
            return Node::PreCandidate(self);
        }
        self.common.term += 1;
        self.common.vote = Some(self.common.id.clone());
        self.common.save_vote();
        self.common.reset_deadline();
        let message = Message::Vote {
            term: self.common.term,
            last_index: self.common.log.last_index(),
            last_term: self.common.log.last_term(),
        };
        self.common.ask_voters(true, &message);
        let own_vote = self.common.last_sequence();
        let role = Candidate { granted: Default::default(), own_vote };
        Node::Candidate(self.turn(role))
    }
}

impl Replica<Candidate> {
    pub(crate) fn voted(mut self, from: Id, granted: bool) -> Node {
        if granted {
            self.role.granted.insert(from);
        }
        self.count()
    }

    /// Counts the votes; the replica's own one counts once it is durable.
    pub(crate) fn count(mut self) -> Node {
        if self.common.is_written(self.role.own_vote) {
            self.role.granted.insert(self.common.id.clone());
        }
        if !self.common.has_won(&self.role.granted) {
            return Node::Candidate(self);
        }
        let index = self.common.log.last_index() + 1;
        let now = self.common.now;
        self.common.leader = Some(self.common.id.clone());
        let mut leader = self.turn(Leader { first_index: index, since: now, ..Leader::default() });
        let entry = Entry { index, term: leader.common.term, body: Body::Blank };
        leader.add(entry);
        leader.send_heartbeats();
        Node::Leader(leader)
    }
}

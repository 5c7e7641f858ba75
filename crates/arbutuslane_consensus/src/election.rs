//! Elections: pre-votes, campaigns and votes.

use std::collections::BTreeSet;

use crate::common::CommonState;
use crate::log::{Body, Entry};
use crate::member::{Id, is_majority, is_voter};
use crate::message::Message;
use crate::node::Node;
use crate::replica::{Candidate, CatchingUp, Follower, Leader, PreCandidate, Replica};

impl CommonState {
    /// Returns whether a candidate's log, by its last entry, is at least as up to date as this one.
    fn is_candidate_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Sends `message` to all other voters; after all writes so far are durable if `after_writes`.
    fn send_to_voters(&mut self, after_writes: bool, message: &Message) {
        let members = self.log.members().to_vec();
        for member in &members {
            if !member.voter || member.id == self.id {
                continue;
            }
            match after_writes {
                true => self.send_after_writes(&member.id, message.clone()),
                false => self.send(&member.id, message.clone()),
            }
        }
    }

    /// Responds to a request for a pre-vote; `last_entry` is the index and term of the sender's
    /// last entry.
    pub(crate) fn respond_to_pre_vote(
        &mut self,
        from: &Id,
        term: u64,
        last_entry: (u64, u64),
        has_recent_leader: bool,
    ) {
        let granted = !has_recent_leader
            && term > self.term
            && self.is_candidate_up_to_date(last_entry.0, last_entry.1);
        let own_term = self.term;
        self.send(from, Message::PreVoted { term, own_term, granted });
    }

    /// Responds to a request for a vote in the current term; `last_entry` is the index and term of
    /// the sender's last entry.
    pub(crate) fn respond_to_vote(&mut self, from: &Id, last_entry: (u64, u64)) {
        let can_vote = self.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = can_vote && self.is_candidate_up_to_date(last_entry.0, last_entry.1);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from.clone());
                self.save_vote();
            }
            self.reset_election_deadline();
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
    /// Returns the replica as a follower, or as catching up if it may not campaign.
    pub(crate) fn into_passive_role(self) -> Node {
        match self.common.can_campaign() {
            true => Node::Follower(self.with_role(Follower)),
            false => {
                let next_join_at = self.common.now;
                Node::CatchingUp(self.with_role(CatchingUp { next_join_at }))
            }
        }
    }

    /// Requests pre-votes from the other voters after the election deadline has passed.
    pub(crate) fn start_pre_vote(mut self) -> Node {
        self.common.clear_leader();
        self.common.reset_election_deadline();
        let message = Message::PreVote {
            term: self.common.term + 1,
            last_index: self.common.log.last_index(),
            last_term: self.common.log.last_term(),
        };
        self.common.send_to_voters(false, &message);
        if self.common.now
            > self.common.leader_heard_at + self.common.timing.election_timeout_max * 4
        {
            // All instances in the membership that this replica knows may have been replaced
            // meanwhile.
            self.common.send_join_requests();
        }
        let granted = [self.common.id.clone()].into();
        self.with_role(PreCandidate { granted }).count_pre_votes()
    }
}

impl Replica<PreCandidate> {
    /// Handles the response to a request for a pre-vote.
    pub(crate) fn handle_pre_voted(mut self, from: Id, term: u64, granted: bool) -> Node {
        if granted && term == self.common.term + 1 {
            self.role.granted.insert(from);
        }
        self.count_pre_votes()
    }

    /// Starts a campaign in the next term once a majority grants its pre-vote.
    fn count_pre_votes(mut self) -> Node {
        if !self.common.has_won(&self.role.granted) {
            return Node::PreCandidate(self);
        }
        self.common.term += 1;
        self.common.vote = Some(self.common.id.clone());
        self.common.save_vote();
        self.common.reset_election_deadline();
        let message = Message::Vote {
            term: self.common.term,
            last_index: self.common.log.last_index(),
            last_term: self.common.log.last_term(),
        };
        self.common.send_to_voters(true, &message);
        let own_vote_sequence = self.common.last_write_sequence();
        let role = Candidate { granted: Default::default(), own_vote_sequence };
        Node::Candidate(self.with_role(role))
    }
}

impl Replica<Candidate> {
    /// Handles the response to a request for a vote in the current term.
    pub(crate) fn handle_voted(mut self, from: Id, granted: bool) -> Node {
        if granted {
            self.role.granted.insert(from);
        }
        self.count_votes()
    }

    /// Becomes the leader once a majority has voted for this replica.
    ///
    /// Its own vote counts once it is durable.
    pub(crate) fn count_votes(mut self) -> Node {
        if self.common.is_write_complete(self.role.own_vote_sequence) {
            self.role.granted.insert(self.common.id.clone());
        }
        if !self.common.has_won(&self.role.granted) {
            return Node::Candidate(self);
        }
        let index = self.common.log.last_index() + 1;
        let now = self.common.now;
        self.common.leader = Some(self.common.id.clone());
        let mut leader =
            self.with_role(Leader { first_index: index, elected_at: now, ..Leader::default() });
        let entry = Entry { index, term: leader.common.term, body: Body::Noop };
        leader.append_entry(entry);
        leader.send_heartbeats();
        Node::Leader(leader)
    }
}

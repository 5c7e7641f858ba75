//! How an instance comes to lead, and what it proposes.
//!
//! The life cycle is [`Candidate`], which collects promises, then [`Leader`], which orders the
//! changes. A leader learns that it was replaced when an instance refuses an update.

use std::sync::Arc;

use arbutuslane_core::id::Incarnation;

use crate::ballot::{Ballot, Position};
use crate::check;
use crate::item::Item;
use crate::replication::{Replication, Status};
use crate::state::Update;
use crate::voter::{self, Electorate, Voter};

/// An instance that collects the promises of a quorum.
#[derive(Debug, Clone)]
pub struct Candidate {
    ballot: Ballot,
    quorum: usize,
    promises: Vec<Status>,
}

/// An instance that orders the changes while no higher ballot exists.
#[derive(Debug, Clone)]
pub struct Leader {
    ballot: Ballot,
    last_change: u64,
}

/// A state that a leader has sent to all instances.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// What the instances store.
    pub update: Update,
    /// The verdict on each change, in the order of the changes. It may be told once the proposal is
    /// accepted.
    pub verdicts: Vec<Result<(), check::Error>>,
    quorum: usize,
    holders: Vec<Voter>,
    /// The leader, if its own copy does not count.
    uncounted: Option<Voter>,
}

/// Another instance has a higher ballot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("instance {} leads with a higher ballot; send the change to it", .0.instance)]
pub struct Deposed(pub Ballot);

impl Candidate {
    /// Begins an election of this instance, which started at `incarnation`.
    pub fn begin(replication: &mut Replication, incarnation: Incarnation) -> Self {
        let ballot = replication.next_ballot(incarnation);
        Self { ballot, quorum: replication.quorum(), promises: Vec::new() }
    }

    /// Returns the ballot that the others are asked to promise.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Records the durable promise of an instance; returns whether a quorum has promised, of the voters
    /// that the newest of the promised states names.
    pub fn record_promise(&mut self, status: Status) -> bool {
        let is_known = self.promises.iter().any(|known| known.voter == status.voter);
        if status.promised == self.ballot && !is_known {
            self.promises.push(status);
        }
        voter::is_quorum(&self.promises, self.quorum)
    }

    /// Returns the instances whose states this one has to adopt: that with the newest state, or all
    /// if no state has a position yet.
    pub fn sources(&self) -> Vec<&Status> {
        let Some(newest) =
            self.promises.iter().max_by(|left, right| left.position.cmp(&right.position))
        else {
            return Vec::new();
        };
        match newest.position == Position::default() {
            true => self.promises.iter().collect(),
            false => vec![newest],
        }
    }

    /// Adopts the state of one of the [`Candidate::sources`]; returns whether this instance has it
    /// now. The caller writes it to disk.
    pub fn adopt(&self, replication: &mut Replication, source: &Status, update: &Update) -> bool {
        update.position == source.position
            && update.digest == source.digest
            && replication.adopt(&self.ballot, update)
    }

    /// Returns the leader, after the states of all [`Candidate::sources`] were adopted and are on
    /// disk.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance has promised to follow a higher ballot meanwhile.
    pub fn elect(self, replication: &mut Replication) -> Result<Leader, Deposed> {
        if *replication.promised() != self.ballot {
            return Err(Deposed(replication.promised().clone()));
        }
        Ok(Leader { ballot: self.ballot, last_change: 0 })
    }
}

impl Leader {
    /// Returns whether this instance has not promised to follow a higher ballot.
    pub fn is_current(&self, replication: &Replication) -> bool {
        *replication.promised() == self.ballot
    }

    /// Applies the valid ones of `changes` to the state of this instance, and returns the result
    /// with a verdict on each change.
    ///
    /// Without changes, the same state is proposed again, which confirms that this instance leads.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance has promised to follow a higher ballot.
    pub fn propose(
        &mut self,
        replication: &mut Replication,
        changes: &[Vec<Arc<Item>>],
    ) -> Result<Proposal, Deposed> {
        if !self.is_current(replication) {
            return Err(Deposed(replication.promised().clone()));
        }
        let mut table = replication.stored().table.clone();
        let mut new_items: Vec<Arc<Item>> = Vec::new();
        let mut verdicts = Vec::new();
        for items in changes {
            let verdict = check::check_items(&table, items).map(|effective| {
                table.set_all(effective.clone());
                new_items.retain(|item| effective.iter().all(|newer| newer.key != item.key));
                new_items.extend(effective);
            });
            verdicts.push(verdict);
        }
        // The first state under a ballot replaces unaccepted ones of older ballots.
        if self.last_change == 0 || !new_items.is_empty() {
            self.last_change += 1;
        }
        let electorate = replication.stored().electorate.clone();
        Ok(self.next_proposal(replication, new_items, electorate, verdicts))
    }

    /// Returns the same items with another electorate, or `None` if it must not follow now: this instance
    /// does not lead, no state with the present one is accepted under its ballot, or quorums of the two
    /// may share no voter.
    pub fn propose_electorate(
        &mut self,
        replication: &mut Replication,
        next: &Electorate,
    ) -> Option<Proposal> {
        let stored = replication.stored();
        let accepted = replication.accepted_state().map(|state| &state.position);
        let is_accepted =
            accepted == Some(&stored.position) && stored.position.ballot == self.ballot;
        let may_follow = stored.electorate.may_become(next, replication.quorum());
        if !self.is_current(replication) || !is_accepted || !may_follow {
            return None;
        }
        self.last_change += 1;
        Some(self.next_proposal(replication, Vec::new(), next.clone(), Vec::new()))
    }

    fn next_proposal(
        &self,
        replication: &mut Replication,
        items: Vec<Arc<Item>>,
        electorate: Electorate,
        verdicts: Vec<Result<(), check::Error>>,
    ) -> Proposal {
        let position = Position { ballot: self.ballot.clone(), change: self.last_change };
        let is_counted = replication.is_founder() || !electorate.is_empty();
        let uncounted = (!is_counted).then(|| replication.own().clone());
        let update = replication.advance(position, items, electorate);
        let quorum = replication.quorum();
        Proposal { update, verdicts, quorum, holders: Vec::new(), uncounted }
    }
}

impl Proposal {
    /// Records that an instance has the state on disk; returns whether it is accepted.
    pub fn record_stored(&mut self, holder: &Voter) -> bool {
        if !self.holders.contains(holder) && self.uncounted.as_ref() != Some(holder) {
            self.holders.push(holder.clone());
        }
        let electorate = &self.update.electorate;
        match electorate.is_empty() {
            // Of the other instances, only founders store such states.
            true => self.holders.len() >= self.quorum,
            false => electorate.is_quorum(|voter| self.holders.contains(voter), self.quorum),
        }
    }
}

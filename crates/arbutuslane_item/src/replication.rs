//! One control instance's part in the agreement on the catalogue.
//!
//! The catalogue is a replicated register in the manner of Paxos. One instance at a time leads: it has
//! promises of a quorum, so that no older leader can store anything there, and starts from the newest
//! state that the quorum has. It checks each change against that state and sends the result to all
//! instances. A state is accepted once a quorum has it on disk, and then every later state contains
//! it: two quorums share an instance. Each state has passed the checks as a whole, so what is in force
//! is valid, and an instance that was down or frozen cannot confirm what contradicts it, because no
//! quorum stores it.
//!
//! Which instances count is a part of each state, see [`voter`]. [`Replication`] holds what an instance
//! has promised and stored, and which state it knows to be accepted. [`election`](crate::election) holds
//! what an instance needs to lead. An instance that lost its disk is [`Standing::Recovering`]: it counts
//! only once an accepted state names it with its new disk.

mod settlement;
mod status;

use std::sync::Arc;

use crate::ballot::{Ballot, Position};
use crate::item::Item;
use crate::state::{State, Update};
use crate::table::Table;
use crate::voter::{self, DiskId, Electorate, Voter};

pub use settlement::Settlement;
pub use status::Status;

/// Whether an instance has kept what it promised and stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The disk has everything since the first start of the fleet: the instance is a founder.
    Complete,
    /// The instance started with an empty or damaged disk.
    Recovering,
}

/// What an instance has read from its disk.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// Whether the disk has kept everything.
    pub standing: Standing,
    /// The highest ballot that the instance promised to follow.
    pub promised: Ballot,
    /// The last state that the instance stored.
    pub state: State,
    /// The newest state of which the disk says that it is accepted.
    pub accepted: Option<State>,
    /// The disk.
    pub disk: DiskId,
}

/// Why an instance does not store an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The instance has promised to follow a higher ballot.
    Promised(Ballot),
    /// The instance has stored a newer state under the same ballot.
    Overtaken,
    /// The update was made for another state than the instance's, which has these hashes of its
    /// buckets.
    Behind(Vec<u64>),
    /// The instance does not count for states without voters.
    Recovering,
}

/// One control instance's state of the catalogue.
#[derive(Debug, Clone)]
pub struct Replication {
    own: Voter,
    /// The number of voters that must store a state before it is accepted.
    quorum: usize,
    /// Whether this instance counts for states without voters.
    is_founder: bool,
    promised: Ballot,
    /// The newest state that this instance has received as a part of the agreement.
    stored: State,
    /// The newest state that is on the disk.
    durable: Durable,
    /// The newest state that is known to be accepted.
    accepted: Option<State>,
    /// Whether `accepted` contains every state that was accepted before this instance started.
    is_settled: bool,
    /// The highest round that this instance has heard of.
    highest_round: u64,
    /// Whether a planned stop has begun.
    is_leaving: bool,
    /// The table of [`Replication::accepted`] while no state is known to be accepted.
    empty: Table,
}

/// What identifies a state on the disk.
#[derive(Debug, Clone)]
struct Durable {
    position: Position,
    digest: u64,
    electorate: Electorate,
}

impl Durable {
    fn of(state: &State) -> Self {
        Self {
            position: state.position.clone(),
            digest: state.table.digest(),
            electorate: state.electorate.clone(),
        }
    }
}

impl Replication {
    /// Returns the state of the instance `own` after a start; a state is accepted when `quorum` of its
    /// voters have it on disk.
    pub fn new(own: &str, quorum: usize, recovered: Recovered) -> Self {
        let stored = recovered.state;
        let promised = recovered.promised.max(stored.position.ballot.clone());
        Self {
            own: Voter { instance: own.to_string(), disk: recovered.disk },
            quorum: quorum.max(1),
            is_founder: recovered.standing == Standing::Complete,
            highest_round: promised.round,
            promised,
            durable: Durable::of(&stored),
            stored,
            accepted: recovered.accepted,
            is_settled: false,
            is_leaving: false,
            empty: Table::default(),
        }
    }

    /// Returns the newest state that this instance has received.
    pub fn stored(&self) -> &State {
        &self.stored
    }

    /// Returns the items of the newest state that is known to be accepted.
    pub fn accepted(&self) -> &Table {
        self.accepted.as_ref().map_or(&self.empty, |state| &state.table)
    }

    /// Returns the newest state that is known to be accepted.
    pub fn accepted_state(&self) -> Option<&State> {
        self.accepted.as_ref()
    }

    /// Returns the state that a node may use while too few instances are left to tell what is accepted:
    /// the newest one that is known to be accepted, or the newest stored one where none is known.
    pub fn fallback(&self) -> &State {
        let accepted = self.accepted.as_ref().filter(|state| !state.table.is_empty());
        accepted.unwrap_or(&self.stored)
    }

    /// Returns the number of instances that must store a state before it is accepted.
    pub fn quorum(&self) -> usize {
        self.quorum
    }

    /// Returns the number of voters of a quorum, if this instance is one of them.
    pub fn own_quorum(&self) -> Option<usize> {
        let electorate = &self.stored.electorate;
        let is_voter = match electorate.is_empty() {
            true => self.is_founder,
            false => electorate.voters.binary_search(&self.own).is_ok(),
        };
        is_voter.then_some(self.quorum)
    }

    /// Returns whether a place among the voters is free for this instance, or held by its lost disk: until
    /// it has that place, fewer disks than usual may be lost.
    pub fn awaits_place(&self) -> bool {
        let voters = &self.stored.electorate.voters;
        let is_free = voters.len() < voter::max_voters(self.quorum)
            || voters.iter().any(|voter| voter.instance == self.own.instance);
        !voters.is_empty() && voters.binary_search(&self.own).is_err() && is_free
    }

    /// Returns whether the newest state that is known to be accepted names voters, but not this instance.
    pub fn is_left_out(&self) -> bool {
        self.accepted.as_ref().is_some_and(|state| {
            let voters = &state.electorate.voters;
            !voters.is_empty() && voters.binary_search(&self.own).is_err()
        })
    }

    /// Returns whether this instance counts for states without voters.
    pub(crate) fn is_founder(&self) -> bool {
        self.is_founder
    }

    /// Returns this instance with its disk.
    pub fn own(&self) -> &Voter {
        &self.own
    }

    /// Records that a planned stop has begun, so that another instance may take the place of this one.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this instance should ask the leader for a place among the voters.
    pub fn wants_place(&self) -> bool {
        let electorate = &self.stored.electorate;
        match electorate.is_empty() {
            true => !self.is_founder,
            false => electorate.lacks(&self.own),
        }
    }

    /// Returns the highest ballot that this instance has promised to follow.
    pub fn promised(&self) -> &Ballot {
        &self.promised
    }

    /// Returns whether the highest ballot that this complete instance knows is its own, so that it
    /// leads as far as it knows.
    pub fn leads(&self) -> bool {
        self.is_complete() && self.promised.instance == self.own.instance
    }

    /// Returns whether this instance is a founder or knows the voters.
    ///
    /// Whether its promises and copies count is decided by those who ask for them.
    pub fn is_complete(&self) -> bool {
        self.is_founder || !self.stored.electorate.is_empty()
    }

    /// Returns whether [`Replication::accepted`] contains every item that was accepted before this
    /// instance started.
    ///
    /// A node that mistakes an incomplete set for the whole catalogue denies requests on all missing
    /// routes.
    pub fn knows_all_accepted(&self) -> bool {
        self.is_settled
    }

    /// Returns whether the newest state of this instance is not known to be accepted.
    pub fn has_pending_state(&self) -> bool {
        self.accepted.as_ref().is_none_or(|state| state.position != self.stored.position)
    }

    /// Returns the number of items that this instance has stored and does not know to be accepted.
    pub fn pending_count(&self) -> usize {
        self.pending_items().len()
    }

    fn pending_items(&self) -> Vec<Arc<Item>> {
        let accepted = self.accepted();
        let differing = self.stored.table.difference(accepted.buckets());
        let is_pending = |item: &&Arc<Item>| accepted.get(&item.key) != Some(*item);
        differing.items().filter(is_pending).cloned().collect()
    }

    /// Returns whether `items`, or newer versions of them, are accepted.
    pub fn are_accepted(&self, items: &[Arc<Item>]) -> bool {
        self.accepted.is_some() && items.iter().all(|item| self.accepted().covers(item))
    }

    /// Returns what this instance reports of itself.
    pub fn status(&self) -> Status {
        let Durable { position, digest, electorate } = self.durable.clone();
        Status {
            voter: self.own.clone(),
            is_founder: self.is_founder,
            promised: self.promised.clone(),
            position,
            digest,
            electorate,
            accepted: self.accepted.as_ref().map(|state| state.position.clone()),
            is_leaving: self.is_leaving,
        }
    }

    /// Returns a ballot that is higher than each one that this instance knows.
    pub(crate) fn next_ballot(&mut self, incarnation: u64) -> Ballot {
        self.highest_round += 1;
        Ballot { round: self.highest_round, instance: self.own.instance.clone(), incarnation }
    }

    /// Takes note of a ballot of another instance.
    pub fn observe(&mut self, ballot: &Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Promises to refuse states of lower ballots, and returns the status with the state that this
    /// instance has stored until then. The caller sends it once the promise is on disk, and with it
    /// all that was written before. Returns `None` if this instance has promised to follow a higher ballot.
    pub fn promise(&mut self, ballot: &Ballot) -> Option<Status> {
        self.observe(ballot);
        if *ballot < self.promised {
            return None;
        }
        self.promised = ballot.clone();
        let Durable { position, digest, electorate } = Durable::of(&self.stored);
        Some(Status { position, digest, electorate, ..self.status() })
    }

    /// Stores a state that a leader proposes. The caller writes the update to disk, and then calls
    /// [`Replication::record_durable`].
    ///
    /// # Errors
    ///
    /// Returns the reason why the state must not or cannot be stored.
    pub fn store(&mut self, update: &Update) -> Result<(), Refusal> {
        let ballot = &update.position.ballot;
        self.observe(ballot);
        if update.electorate.is_empty() && !self.is_founder {
            return Err(Refusal::Recovering);
        }
        if *ballot < self.promised {
            return Err(Refusal::Promised(self.promised.clone()));
        }
        if update.position < self.stored.position {
            return Err(Refusal::Overtaken);
        }
        if update.position > self.stored.position && !self.stored.apply(update) {
            return Err(Refusal::Behind(self.stored.table.buckets().to_vec()));
        }
        self.promised = ballot.clone();
        Ok(())
    }

    /// Records that the state that results from `update` is on disk.
    pub fn record_durable(&mut self, update: &Update) {
        if update.position < self.durable.position {
            return;
        }
        self.durable = Durable {
            position: update.position.clone(),
            digest: update.digest,
            electorate: update.electorate.clone(),
        };
    }

    /// Records that the state at `position` is accepted; returns the items that this instance did not
    /// know to be accepted. Does nothing if this instance has another state.
    pub fn learn(&mut self, position: &Position) -> Vec<Arc<Item>> {
        let is_known = self.accepted.as_ref().is_some_and(|known| known.position >= *position);
        if is_known || self.stored.position != *position {
            return Vec::new();
        }
        let new_items = self.pending_items();
        self.accepted = Some(self.stored.clone());
        new_items
    }

    /// Takes over an accepted state of another instance; returns whether this instance has it now.
    /// The caller writes the update to disk.
    ///
    /// A promise to a higher ballot does not prevent it: that ballot's leader has seen the state too,
    /// because a quorum stores it.
    pub fn install(&mut self, update: &Update) -> bool {
        self.observe(&update.position.ballot);
        if update.position < self.stored.position {
            return false;
        }
        if update.position > self.stored.position && !self.stored.apply(update) {
            return false;
        }
        self.promised = self.promised.clone().max(update.position.ballot.clone());
        true
    }

    /// Starts from the newest state that a quorum has promised, as a candidate; returns whether this
    /// instance has it now. The caller writes the update to disk.
    ///
    /// Disks of releases without positions have states at the initial position, which may differ.
    /// Their items are merged.
    pub(crate) fn adopt(&mut self, ballot: &Ballot, update: &Update) -> bool {
        if self.promised > *ballot {
            return false;
        }
        if update.position < self.stored.position {
            return false;
        }
        let is_newer = update.position > self.stored.position;
        if update.position == Position::default() {
            self.stored.table.merge_all(update.items.clone());
        } else if is_newer && !self.stored.apply(update) {
            return false;
        }
        self.promised = ballot.clone();
        true
    }

    /// Replaces the state by the next one of the leader, which is this instance.
    pub(crate) fn advance(
        &mut self,
        position: Position,
        items: Vec<Arc<Item>>,
        electorate: Electorate,
    ) -> Update {
        self.stored.table.set_all(items.clone());
        self.stored.position = position.clone();
        self.stored.electorate = electorate.clone();
        let digest = self.stored.table.digest();
        Update { position, replaced: Vec::new(), items, digest, electorate }
    }
}

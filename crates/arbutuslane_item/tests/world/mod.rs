//! Control instances with their disks and a network, and the checks after each step.

mod changes;
mod check;
mod faults;
mod membership;
mod nodes;

use std::sync::Arc;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_item::election::Proposal;
use arbutuslane_item::prelude::*;
use arbutuslane_item::replication::{Recovered, Refusal, Settlement, Standing, Status};
use rand::RngExt;

use crate::support::{INSTANCES, QUORUM, index_of, name};

use self::check::History;
use self::nodes::Node;

/// The number of times that each instance looks for the newest accepted state at the end.
const SETTLE_ROUNDS: u32 = 20;

/// A control instance.
struct Instance {
    replication: Replication,
    disk: Recovered,
    incarnation: u64,
    is_frozen: bool,
    /// Whether the instance was removed for good.
    is_gone: bool,
    /// Whether the instance is in the second half during a split.
    is_in_second_half: bool,
    candidate: Option<Candidate>,
    leader: Option<Leader>,
    proposals: Vec<Proposal>,
    waiting: Vec<Vec<Arc<Item>>>,
}

/// A message on its way.
struct Message {
    from: usize,
    to: usize,
    body: Body,
}

#[derive(Clone)]
enum Body {
    Promise(Ballot),
    Promised(Status),
    Store(Update),
    Stored(Position, Voter),
    Refused(Position, Refusal),
    Accepted(Position),
}

/// The instances, the messages on their way, and what was accepted so far.
pub(super) struct World {
    seed: u64,
    rng: Rng,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    nodes: Vec<Node>,
    history: History,
    /// The number of disks that were used.
    disks: u64,
    /// Whether messages between the halves wait.
    is_split: bool,
    /// Whether instances join, leave and are split into halves.
    has_replacements: bool,
    /// The versions that changes do not use any more.
    old_versions: Version,
}

impl Instance {
    fn start(index: usize, incarnation: u64, disk: Recovered) -> Self {
        Self {
            replication: Replication::new(&name(index), QUORUM, disk.clone()),
            disk,
            incarnation,
            is_frozen: false,
            is_gone: false,
            is_in_second_half: false,
            candidate: None,
            leader: None,
            proposals: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Writes the newest state to the disk, and what is known to be accepted.
    fn sync(&mut self) {
        let state = self.replication.stored().clone();
        self.replication.record_durable(&state.update_for(state.table.buckets()));
        let promised = self.replication.promised().clone();
        let accepted = self.replication.accepted_state().cloned();
        self.disk = Recovered { promised, state, accepted, ..self.disk.clone() };
    }

    /// Starts the instance again with its disk.
    fn restart(&mut self, index: usize) {
        let is_in_second_half = self.is_in_second_half;
        *self = Self::start(index, self.incarnation + 1, self.disk.clone());
        self.is_in_second_half = is_in_second_half;
    }

    fn is_running(&self) -> bool {
        !self.is_gone && !self.is_frozen
    }
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let empty = Recovered {
            standing: Standing::Complete,
            promised: Ballot::default(),
            state: State::default(),
            accepted: None,
            disk: 1,
        };
        let instances = (0..INSTANCES).map(|index| Instance::start(index, 0, empty.clone()));
        Self {
            seed,
            rng: rng::seeded(seed),
            instances: instances.collect(),
            messages: Vec::new(),
            nodes: Vec::new(),
            history: History::new(seed),
            disks: 1,
            is_split: false,
            has_replacements: false,
            old_versions: 0,
        }
    }

    /// Returns a world in which instances also join, leave and are split into halves.
    pub(super) fn with_replacements(seed: u64) -> Self {
        Self { has_replacements: true, ..Self::new(seed) }
    }

    /// Returns the electorate of the newest accepted state.
    pub(super) fn electorate(&self) -> &Electorate {
        self.history.electorate()
    }

    /// Returns the number of states that were accepted.
    pub(super) fn accepted_count(&self) -> u64 {
        self.history.accepted_count()
    }

    /// Takes a random step that is no fault.
    pub(super) fn step_without_faults(&mut self) {
        match self.rng.random_range(0..40) {
            0 => self.submit(),
            1 => self.settle(),
            2..4 => self.update_voters(),
            _ => self.deliver(),
        }
        self.check();
    }

    fn check(&mut self) {
        for instance in &self.instances {
            if let Some(state) = instance.replication.accepted_state() {
                self.history.check_accepted(state);
            }
        }
    }

    fn random_instance(&mut self) -> usize {
        loop {
            let index = self.rng.random_range(0..self.instances.len());
            if !self.instances[index].is_gone {
                return index;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        self.messages.push(Message { from, to, body });
    }

    fn send_to_others(&mut self, from: usize, body: &Body) {
        for to in 0..self.instances.len() {
            if to != from && !self.instances[to].is_gone {
                self.send(from, to, body.clone());
            }
        }
    }

    /// Gives a random change to an instance, which leads or tries to: mostly to the one that a random
    /// instance takes for the leader.
    fn submit(&mut self) {
        let Some(index) = self.assumed_leader() else { return };
        let change = changes::random(&mut self.rng, self.old_versions);
        self.instances[index].waiting.push(change);
        self.lead(index);
    }

    /// Returns a random instance, or mostly the one that it takes for the leader, if it runs.
    fn assumed_leader(&mut self) -> Option<usize> {
        let mut index = self.random_instance();
        let promised = &self.instances[index].replication.promised().instance;
        if !promised.is_empty() && self.rng.random_range(0..5) > 0 {
            index = index_of(promised);
        }
        self.instances[index].is_running().then_some(index)
    }

    /// Proposes the waiting changes of an instance, or begins an election.
    fn lead(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let Some(leader) = &mut instance.leader else { return self.begin_election(index) };
        let changes = std::mem::take(&mut instance.waiting);
        let Ok(proposal) = leader.propose(&mut instance.replication, &changes) else {
            instance.leader = None;
            return;
        };
        self.send_proposal(index, proposal);
    }

    fn send_proposal(&mut self, index: usize, proposal: Proposal) {
        let instance = &mut self.instances[index];
        let update = proposal.update.clone();
        instance.proposals.push(proposal);
        // An instance may end before its state is on the disk.
        if self.rng.random_range(0..20) > 0 {
            self.instances[index].sync();
            let own = self.instances[index].replication.own().clone();
            self.record_stored(index, &own, &update.position);
        }
        self.send_to_others(index, &Body::Store(update));
    }

    fn begin_election(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let mut candidate = Candidate::begin(&mut instance.replication, instance.incarnation);
        let ballot = candidate.ballot().clone();
        if let Some(status) = instance.replication.promise(&ballot) {
            instance.sync();
            candidate.record_promise(status);
        }
        instance.candidate = Some(candidate);
        self.send_to_others(index, &Body::Promise(ballot));
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let picked = self.rng.random_range(0..self.messages.len());
        let (from, to) = (self.messages[picked].from, self.messages[picked].to);
        if self.instances[to].is_gone {
            self.messages.swap_remove(picked);
            return;
        }
        if self.instances[to].is_frozen || !self.is_connected(from, to) {
            return;
        }
        let is_repeated = self.rng.random_range(0..30) == 0;
        let message = match is_repeated {
            true => {
                let Message { from, to, body } = &self.messages[picked];
                Message { from: *from, to: *to, body: body.clone() }
            }
            false => self.messages.swap_remove(picked),
        };
        self.receive(message);
    }

    fn receive(&mut self, Message { from, to, body }: Message) {
        let instance = &mut self.instances[to];
        match body {
            Body::Promise(ballot) => {
                if let Some(status) = instance.replication.promise(&ballot) {
                    instance.sync();
                    self.send(to, from, Body::Promised(status));
                }
            }
            Body::Promised(status) => {
                let Some(candidate) = &mut instance.candidate else { return };
                if candidate.record_promise(status) {
                    self.finish_election(to);
                }
            }
            Body::Store(update) => match instance.replication.store(&update) {
                Ok(()) => {
                    instance.sync();
                    let own = instance.replication.own().clone();
                    self.send(to, from, Body::Stored(update.position, own));
                }
                Err(refusal) => self.send(to, from, Body::Refused(update.position, refusal)),
            },
            Body::Stored(position, holder) => self.record_stored(to, &holder, &position),
            Body::Refused(position, refusal) => self.receive_refusal(to, from, &position, refusal),
            Body::Accepted(position) => drop(instance.replication.learn(&position)),
        }
    }

    fn receive_refusal(&mut self, to: usize, from: usize, position: &Position, refusal: Refusal) {
        let instance = &mut self.instances[to];
        match refusal {
            Refusal::Promised(ballot) => {
                instance.replication.observe(&ballot);
                instance.leader = None;
            }
            Refusal::Behind(buckets) => {
                let stored = instance.replication.stored();
                if stored.position == *position {
                    let update = stored.update_for(&buckets);
                    self.send(to, from, Body::Store(update));
                }
            }
            Refusal::Overtaken | Refusal::Recovering => {}
        }
    }

    fn finish_election(&mut self, index: usize) {
        let Some(candidate) = self.instances[index].candidate.take() else { return };
        for source in candidate.sources() {
            let from = index_of(source.instance());
            if from == index {
                continue;
            }
            if !self.instances[from].is_running() || !self.is_connected(index, from) {
                return;
            }
            let buckets = self.instances[index].replication.stored().table.buckets().to_vec();
            let update = self.instances[from].replication.stored().update_for(&buckets);
            let instance = &mut self.instances[index];
            if !candidate.adopt(&mut instance.replication, source, &update) {
                return;
            }
        }
        let instance = &mut self.instances[index];
        instance.leader = candidate.elect(&mut instance.replication).ok();
        instance.sync();
        if instance.leader.is_some() {
            self.lead(index);
        }
    }

    fn record_stored(&mut self, leader: usize, holder: &Voter, position: &Position) {
        let instance = &mut self.instances[leader];
        let mut proposals = instance.proposals.iter_mut();
        let found = proposals.find(|proposal| proposal.update.position == *position);
        let Some(proposal) = found else { return };
        if !proposal.record_stored(holder) {
            return;
        }
        let electorate = proposal.update.electorate.clone();
        instance.proposals.retain(|proposal| proposal.update.position != *position);
        self.history.record_accepted(position, &electorate);
        instance.replication.learn(position);
        self.send_to_others(leader, &Body::Accepted(position.clone()));
    }

    /// Has a random instance find the newest accepted state with a random set of the others.
    fn settle(&mut self) {
        let index = self.random_instance();
        self.settle_at(index);
    }

    /// Has all instances find the newest accepted state, without further changes.
    pub(super) fn settle_all(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            for index in 0..self.instances.len() {
                self.settle_at(index);
                for _ in 0..self.messages.len() {
                    self.deliver();
                }
            }
        }
        self.check();
    }

    fn settle_at(&mut self, index: usize) {
        if !self.instances[index].is_running() {
            return;
        }
        let mut statuses = vec![self.instances[index].replication.status()];
        for other in 0..self.instances.len() {
            let is_reached = other != index
                && self.instances[other].is_running()
                && self.is_connected(index, other);
            if is_reached && self.rng.random_range(0..4) > 0 {
                statuses.push(self.instances[other].replication.status());
            }
        }
        let newest = self.history.newest();
        match self.instances[index].replication.settle(&statuses) {
            Settlement::Settled => {
                let read = self.instances[index].replication.accepted_state();
                let read = read.map(|state| state.position.clone()).unwrap_or_default();
                assert!(read >= newest, "seed {}: a read returned an old state", self.seed);
            }
            Settlement::Learn(position) => {
                self.instances[index].replication.learn(&position);
                let electorate = &self.instances[index].replication.stored().electorate;
                self.history.record_accepted(&position, electorate);
            }
            Settlement::Fetch(source) => self.fetch(index, index_of(&source)),
            Settlement::Propose => self.lead(index),
            Settlement::Wait => {}
        }
    }

    fn fetch(&mut self, index: usize, source: usize) {
        let buckets = self.instances[index].replication.stored().table.buckets().to_vec();
        let Some(accepted) = self.instances[source].replication.accepted_state() else { return };
        let update = accepted.update_for(&buckets);
        let instance = &mut self.instances[index];
        if instance.replication.install(&update) {
            instance.sync();
            instance.replication.learn(&update.position);
        }
    }
}

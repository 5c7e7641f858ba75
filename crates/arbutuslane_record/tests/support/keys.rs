//! Registers under idempotency keys on a faulty network, in front of a server that counts runs.

mod faults;

use std::collections::HashMap;

use arbutuslane_core::time::Time;
use arbutuslane_record::message::{Answer, Claim, Kind, Request, Response};
use arbutuslane_record::prelude::*;
use rand::RngExt;

use crate::support::{Network, Queue, millis};

const NODES: usize = 8;
const LENGTH: u64 = 40_000;

/// A rule of the protocol that a run breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A restarted replica votes with empty memory.
    RecoveringVotes,
    /// A restarted replica votes after one page of one other member.
    ShortRecovery,
    /// Coordinators and replicas ignore which incarnations the others know.
    LivesIgnored,
    /// The coordinator withdraws an attempt whose response was lost.
    UnknownWithdrawn,
    /// A coordinator without a majority dispatches at the time limit.
    MinorityDispatches,
    /// Replicas accept claims of any epoch.
    EpochIgnored,
}

/// What a run showed.
#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    /// Runs counted at the server, by key.
    pub(crate) runs: HashMap<Key, u32>,
    /// Violations other than double runs.
    pub(crate) faults: Vec<String>,
    /// How requests ended.
    pub(crate) dispatched: u32,
    pub(crate) replayed: u32,
    pub(crate) unknown: u32,
    pub(crate) refused: u32,
    pub(crate) recovered: u32,
    pub(crate) epochs: u64,
    pub(crate) grown: u32,
}

impl Outcome {
    pub(crate) fn is_safe(&self) -> bool {
        self.faults.is_empty() && self.runs.values().all(|runs| *runs <= 1)
    }
}

enum Event {
    Shake,
    Crash(usize),
    Restart(usize),
    Learn(usize, usize),
    Replace,
    Pull(usize),
    Send { key: Key },
    Deliver { to: usize, from: usize, incarnation: u64, call: Call, request: Request },
    Reply { to: usize, from: usize, incarnation: u64, call: Call, response: Response },
    Expire { node: usize, attempt: u128 },
    Run { node: usize, attempt: u128 },
    Ran { node: usize, attempt: u128 },
}

/// What a request belongs to, at its sender.
#[derive(Clone, Copy)]
enum Call {
    Claim(u128),
    Pull(u32),
    None,
}

struct Node {
    up: bool,
    incarnation: u64,
    known: usize,
    seat: Option<Seat>,
    coordinators: HashMap<u128, (Coordinator, Key)>,
}

pub(crate) struct World {
    queue: Queue<Event>,
    network: Network,
    nodes: Vec<Node>,
    groups: Vec<Group>,
    mutation: Option<Mutation>,
    duel: bool,
    attempts: u128,
    first: HashMap<Key, u128>,
    outcome: Outcome,
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().expect("a node name")
}

/// Runs one random schedule.
pub(crate) fn run(seed: u64, mutation: Option<Mutation>) -> Outcome {
    let mut world = World::new(seed, mutation);
    while let Some(event) = world.queue.pop() {
        if world.queue.now() > millis(if world.duel { LENGTH / 8 } else { LENGTH }) {
            break;
        }
        world.step(event);
    }
    world.outcome.epochs = world.groups.last().map_or(0, |group| group.epoch);
    world.outcome
}

impl World {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut network = Network::new(seed);
        let duel = network.rng.random_bool(0.4);
        let size = if network.rng.random_bool(0.7) { 5 } else { 3 };
        let names: Vec<String> = (0..size).map(name).collect();
        let members: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        let group = Group::founded(1, &members);
        let mut nodes = Vec::new();
        for node in 0..NODES {
            let seat = (node < size).then(|| Seat::join(Time::ZERO, &name(node), 1, group.clone()));
            let coordinators = HashMap::new();
            nodes.push(Node { up: true, incarnation: 1, known: 0, seat, coordinators });
        }
        let mut world = Self {
            queue: Queue::new(),
            network,
            nodes,
            groups: vec![group],
            mutation,
            duel,
            attempts: 0,
            first: HashMap::new(),
            outcome: Outcome::default(),
        };
        world.plan();
        world
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Shake => self.network.shake(NODES),
            Event::Crash(node) => self.crash(node),
            Event::Restart(node) => self.restart(node),
            Event::Learn(node, epoch) => self.learn(node, epoch),
            Event::Replace => self.replace(),
            Event::Pull(node) => self.pull(node),
            Event::Send { key } => self.send(key),
            Event::Deliver { to, from, incarnation, call, request } => {
                self.deliver(to, from, incarnation, call, &request);
            }
            Event::Reply { to, from, incarnation, call, response } => {
                if self.nodes[to].up && self.nodes[to].incarnation == incarnation {
                    self.reply(to, from, call, &response);
                }
            }
            Event::Expire { node, attempt } => self.expire(node, attempt),
            Event::Run { node, attempt } => self.run(node, attempt),
            Event::Ran { node, attempt } => self.ran(node, attempt),
        }
    }

    fn pull(&mut self, node: usize) {
        let pause = self.network.rng.random_range(20..if self.duel { 30 } else { 200 });
        self.queue.push(millis(pause), Event::Pull(node));
        let Some(seat) = &self.nodes[node].seat else { return };
        for (to, request) in seat.pulls() {
            let Request::Pull { cursor, .. } = request else { continue };
            self.transmit(node, index(&to), Call::Pull(cursor), &request);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, call: Call, request: &Request) {
        let incarnation = self.nodes[from].incarnation;
        self.network.uniform = self.duel && matches!(call, Call::Claim(_));
        let arrivals = self.network.arrivals(from, to);
        self.network.uniform = false;
        for delay in arrivals {
            let request = request.clone();
            self.queue.push(delay, Event::Deliver { to, from, incarnation, call, request });
        }
    }

    fn deliver(&mut self, to: usize, from: usize, incarnation: u64, call: Call, sent: &Request) {
        let now = self.queue.now();
        if !self.nodes[to].up {
            return;
        }
        let Some(seat) = &mut self.nodes[to].seat else { return };
        let mut request = sent.clone();
        if self.mutation == Some(Mutation::EpochIgnored)
            && let Request::Claim(claim) = &mut request
        {
            claim.epoch = seat.group().epoch;
        }
        let mut response = seat.handle(now, &request);
        match &mut response {
            Response::Claim { incarnations, .. } | Response::Page { incarnations, .. }
                if self.mutation == Some(Mutation::LivesIgnored) =>
            {
                let members = seat.group().members.iter();
                *incarnations = members.map(|member| member.incarnation).collect();
            }
            _ => {}
        }
        if self.mutation == Some(Mutation::EpochIgnored)
            && let (Response::Claim { epoch, .. }, Request::Claim(claim)) = (&mut response, sent)
        {
            *epoch = claim.epoch;
        }
        for delay in self.network.arrivals(to, from) {
            let response = response.clone();
            self.queue
                .push(delay, Event::Reply { to: from, from: to, incarnation, call, response });
        }
    }

    fn send(&mut self, key: Key) {
        let node = self.network.rng.random_range(0..NODES);
        if !self.nodes[node].up {
            return;
        }
        self.attempts += 1;
        let attempt = self.attempts;
        let group = self.groups[self.nodes[node].known].clone();
        let (coordinator, claim) =
            Coordinator::claim(group.clone(), key, attempt, 7, Kind::Booking);
        self.nodes[node].coordinators.insert(attempt, (coordinator, key));
        // The claims of some attempts trickle in, so that crashes and other attempts fall between.
        let usual = self.network.slow;
        if !self.duel && self.network.rng.random_bool(0.4) {
            self.network.slow = 0.9;
        }
        for member in &group.members {
            let request = Request::Claim(claim.clone());
            self.transmit(node, index(&member.node), Call::Claim(attempt), &request);
        }
        self.network.slow = usual;
        // A member may be lost between its acceptance and the last one.
        if !self.duel && self.network.rng.random_bool(0.3) {
            let member = self.network.rng.random_range(0..group.members.len());
            let delay = self.network.rng.random_range(1..60);
            self.queue.push(millis(delay), Event::Crash(index(&group.members[member].node)));
        }
        let limit = self.network.rng.random_range(100..5_000);
        self.queue.push(millis(limit), Event::Expire { node, attempt });
    }

    fn reply(&mut self, to: usize, from: usize, call: Call, response: &Response) {
        let now = self.queue.now();
        match call {
            Call::Pull(cursor) => {
                let Some(seat) = &mut self.nodes[to].seat else { return };
                let recovering = !seat.is_voting();
                seat.pulled(now, &name(from), cursor, response);
                if self.mutation == Some(Mutation::ShortRecovery)
                    && matches!(response, Response::Page { voting: true, next: None, .. })
                    && let Seat::Recovering(replica) = seat
                {
                    *seat = Seat::Voting(replica.clone().vote());
                }
                if recovering && seat.is_voting() {
                    self.outcome.recovered += 1;
                    // A second instance may be lost right after the repair.
                    if self.network.rng.random_bool(0.4) {
                        let group = &self.groups[self.nodes[to].known];
                        let other = self.network.rng.random_range(0..group.members.len());
                        let other = index(&group.members[other].node);
                        let delay = self.network.rng.random_range(0..100);
                        self.queue.push(millis(delay), Event::Crash(other));
                    }
                }
            }
            Call::Claim(attempt) => {
                let Some((coordinator, _)) = self.nodes[to].coordinators.get_mut(&attempt) else {
                    return;
                };
                if let Some(decision) = coordinator.replied(&name(from), response) {
                    self.decided(to, attempt, decision);
                }
            }
            Call::None => {}
        }
    }

    fn expire(&mut self, node: usize, attempt: u128) {
        let Some((coordinator, _)) = self.nodes[node].coordinators.get_mut(&attempt) else {
            return;
        };
        let Some(mut decision) = coordinator.expired() else { return };
        if self.mutation == Some(Mutation::MinorityDispatches) && decision == Decision::NotRun {
            decision = Decision::Dispatch;
        }
        self.decided(node, attempt, decision);
    }

    fn decided(&mut self, node: usize, attempt: u128, decision: Decision) {
        let key = self.nodes[node].coordinators[&attempt].1;
        match decision {
            Decision::Dispatch => {
                self.outcome.dispatched += 1;
                let delay = self.network.rng.random_range(1..200);
                self.queue.push(millis(delay), Event::Run { node, attempt });
                return;
            }
            Decision::Replay(answer) => {
                self.outcome.replayed += 1;
                if self.first.get(&key).map(|first| first.to_string().into_bytes())
                    != Some(answer.body.to_vec())
                {
                    self.outcome.faults.push(format!("replayed response is not that of {key:x}"));
                }
            }
            Decision::Unknown => self.outcome.unknown += 1,
            Decision::NotRun => self.outcome.refused += 1,
            Decision::Mismatch => {
                self.outcome.faults.push("mismatch of equal requests".to_string());
            }
        }
        self.give_up(node, attempt);
    }

    fn give_up(&mut self, node: usize, attempt: u128) {
        let Some((coordinator, _)) = self.nodes[node].coordinators.remove(&attempt) else { return };
        for member in coordinator.group().members.clone() {
            self.transmit(node, index(&member.node), Call::None, &coordinator.withdraw());
        }
    }

    /// The dispatched request reaches the server, is lost, or provably does not run.
    fn run(&mut self, node: usize, attempt: u128) {
        let Some((_, key)) = self.nodes[node].coordinators.get(&attempt) else { return };
        let key = *key;
        if self.network.rng.random_bool(0.1) {
            self.give_up(node, attempt);
            return;
        }
        *self.outcome.runs.entry(key).or_default() += 1;
        self.first.entry(key).or_insert(attempt);
        if self.network.rng.random_bool(0.2) {
            // The response is lost: the register stays claimed.
            if self.mutation == Some(Mutation::UnknownWithdrawn) {
                self.give_up(node, attempt);
            }
            return;
        }
        let delay = self.network.rng.random_range(1..1_000);
        self.queue.push(millis(delay), Event::Ran { node, attempt });
    }

    fn ran(&mut self, node: usize, attempt: u128) {
        let Some((coordinator, _)) = self.nodes[node].coordinators.remove(&attempt) else { return };
        let body = attempt.to_string().into_bytes().into();
        let answer = Answer { status: 200, headers: Vec::new(), body };
        for member in coordinator.group().members.clone() {
            let request = coordinator.complete(Some(answer.clone()));
            self.transmit(node, index(&member.node), Call::None, &request);
        }
    }
}

/// Returns the claim for tests that need no network.
pub(crate) fn claim(group: &Group, key: Key, attempt: u128) -> (Coordinator, Claim) {
    Coordinator::claim(group.clone(), key, attempt, 7, Kind::Booking)
}

//! Simulates registers of idempotency keys on an unreliable network, and a server that counts the
//! runs of each key.

mod faults;

use std::collections::HashMap;

use arbutuslane_core::time::Time;
use arbutuslane_record::message::{Claim, Kind, Request, Response, StoredResponse};
use arbutuslane_record::prelude::*;
use rand::RngExt;

use crate::support::{Network, Queue, millis};

const NODES: usize = 8;
/// The simulated duration of a schedule; one with contention (see `World::has_contention`) takes an
/// eighth of it.
const SCHEDULE_MS: u64 = 40_000;

/// A rule of the protocol that a schedule breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A restarted replica votes without recovery.
    RecoveringVotes,
    /// A restarted replica votes after it has pulled one other member.
    ShortRecovery,
    /// Responses carry the incarnations in the group instead of the latest ones that the replica
    /// knows.
    IncarnationsIgnored,
    /// A coordinator withdraws an attempt after the response of its request was lost.
    UnknownWithdrawn,
    /// A coordinator without a majority dispatches when its time limit expires.
    MinorityDispatches,
    /// Replicas accept claims of every epoch.
    EpochIgnored,
}

/// The result of a schedule.
#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    /// The number of runs at the server, by key.
    pub(crate) runs: HashMap<Key, u32>,
    /// Violations other than a key that ran twice.
    pub(crate) violations: Vec<String>,
    /// The number of attempts with the decision [`Decision::Dispatch`].
    pub(crate) dispatched: u32,
    /// The number of attempts with the decision [`Decision::Replay`].
    pub(crate) replayed: u32,
    /// The number of attempts with the decision [`Decision::Unknown`].
    pub(crate) unknown: u32,
    /// The number of attempts with the decision [`Decision::NotRun`].
    pub(crate) refused: u32,
    /// The number of replicas that recovered.
    pub(crate) recovered: u32,
    /// The epoch of the group at the end.
    pub(crate) last_epoch: u64,
    /// The number of members by which the group grew.
    pub(crate) members_added: u32,
}

impl Outcome {
    pub(crate) fn is_safe(&self) -> bool {
        self.violations.is_empty() && self.runs.values().all(|runs| *runs <= 1)
    }
}

enum Event {
    BlockLinks,
    Crash(usize),
    Restart(usize),
    /// A node learns the group at the given index of `World::groups`.
    LearnGroup(usize, usize),
    /// One member of the group is replaced or added.
    ChangeMembers,
    Pull(usize),
    SendRequest {
        key: Key,
    },
    DeliverRequest {
        to: usize,
        from: usize,
        incarnation: u64,
        context: CallContext,
        request: Request,
    },
    DeliverResponse {
        to: usize,
        from: usize,
        incarnation: u64,
        context: CallContext,
        response: Response,
    },
    /// The time limit of a coordinator expires.
    Expire {
        node: usize,
        attempt: u128,
    },
    /// The request of an attempt reaches the server.
    Run {
        node: usize,
        attempt: u128,
    },
    /// The response of the server reaches the coordinator.
    Completed {
        node: usize,
        attempt: u128,
    },
}

/// The purpose of a request, by which its sender handles the response.
#[derive(Clone, Copy)]
enum CallContext {
    /// A claim of the given attempt.
    Claim(u128),
    /// A pull of the page at the given cursor.
    Pull(u32),
    /// A withdrawal or a completion, whose response is ignored.
    Ignore,
}

struct Node {
    up: bool,
    incarnation: u64,
    /// The index in `World::groups` of the newest group that the node knows.
    known_group: usize,
    replica: Option<RegisterReplica>,
    coordinators: HashMap<u128, (Coordinator, Key)>,
}

pub(crate) struct World {
    queue: Queue<Event>,
    network: Network,
    nodes: Vec<Node>,
    /// The groups of all epochs, oldest first.
    groups: Vec<Group>,
    mutation: Option<Mutation>,
    /// Whether the schedule has a few attempts for one key while replicas restart.
    has_contention: bool,
    attempts: u128,
    /// The attempt that ran first, by key.
    first_runs: HashMap<Key, u128>,
    outcome: Outcome,
}

fn node_name(node: usize) -> String {
    format!("node-{node}")
}

fn node_index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().expect("a node name has the form node-N")
}

/// Runs one random schedule.
pub(crate) fn run_schedule(seed: u64, mutation: Option<Mutation>) -> Outcome {
    let mut world = World::new(seed, mutation);
    while let Some(event) = world.queue.pop() {
        if world.queue.now()
            > millis(if world.has_contention { SCHEDULE_MS / 8 } else { SCHEDULE_MS })
        {
            break;
        }
        world.handle_event(event);
    }
    world.outcome.last_epoch = world.groups.last().map_or(0, |group| group.epoch);
    world.outcome
}

impl World {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut network = Network::new(seed);
        let has_contention = network.rng.random_bool(0.4);
        let size = if network.rng.random_bool(0.7) { 5 } else { 3 };
        let names: Vec<String> = (0..size).map(node_name).collect();
        let members: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        let group = Group::founded(1, &members);
        let mut nodes = Vec::new();
        for node in 0..NODES {
            let replica = (node < size)
                .then(|| RegisterReplica::join(Time::ZERO, &node_name(node), 1, group.clone()));
            let coordinators = HashMap::new();
            nodes.push(Node { up: true, incarnation: 1, known_group: 0, replica, coordinators });
        }
        let mut world = Self {
            queue: Queue::new(),
            network,
            nodes,
            groups: vec![group],
            mutation,
            has_contention,
            attempts: 0,
            first_runs: HashMap::new(),
            outcome: Outcome::default(),
        };
        world.plan();
        world
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::BlockLinks => self.network.randomize_blocked_links(NODES),
            Event::Crash(node) => self.crash(node),
            Event::Restart(node) => self.restart(node),
            Event::LearnGroup(node, group_index) => self.learn_group(node, group_index),
            Event::ChangeMembers => self.change_members(),
            Event::Pull(node) => self.pull(node),
            Event::SendRequest { key } => self.send(key),
            Event::DeliverRequest { to, from, incarnation, context, request } => {
                self.deliver(to, from, incarnation, context, &request);
            }
            Event::DeliverResponse { to, from, incarnation, context, response } => {
                if self.nodes[to].up && self.nodes[to].incarnation == incarnation {
                    self.handle_response(to, from, context, &response);
                }
            }
            Event::Expire { node, attempt } => self.expire(node, attempt),
            Event::Run { node, attempt } => self.run_request(node, attempt),
            Event::Completed { node, attempt } => self.complete_run(node, attempt),
        }
    }

    fn pull(&mut self, node: usize) {
        let delay = self.network.rng.random_range(20..if self.has_contention { 30 } else { 200 });
        self.queue.push(millis(delay), Event::Pull(node));
        let Some(replica) = &self.nodes[node].replica else { return };
        for (to, request) in replica.pulls() {
            let Request::Pull { cursor, .. } = request else { continue };
            self.transmit(node, node_index(&to), CallContext::Pull(cursor), &request);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, context: CallContext, request: &Request) {
        let incarnation = self.nodes[from].incarnation;
        // Under contention, all orders in which claims arrive are equally likely.
        self.network.uniform_delay =
            self.has_contention && matches!(context, CallContext::Claim(_));
        let arrival_delays = self.network.arrival_delays(from, to);
        self.network.uniform_delay = false;
        for delay in arrival_delays {
            let request = request.clone();
            self.queue
                .push(delay, Event::DeliverRequest { to, from, incarnation, context, request });
        }
    }

    fn deliver(
        &mut self,
        to: usize,
        from: usize,
        incarnation: u64,
        context: CallContext,
        sent: &Request,
    ) {
        let now = self.queue.now();
        if !self.nodes[to].up {
            return;
        }
        let Some(replica) = &mut self.nodes[to].replica else { return };
        let mut request = sent.clone();
        if self.mutation == Some(Mutation::EpochIgnored)
            && let Request::Claim(claim) = &mut request
        {
            claim.epoch = replica.group().epoch;
        }
        let mut response = replica.handle(now, &request);
        match &mut response {
            Response::Claim { incarnations, .. } | Response::Page { incarnations, .. }
                if self.mutation == Some(Mutation::IncarnationsIgnored) =>
            {
                let members = replica.group().members.iter();
                *incarnations = members.map(|member| member.incarnation).collect();
            }
            _ => {}
        }
        if self.mutation == Some(Mutation::EpochIgnored)
            && let (Response::Claim { epoch, .. }, Request::Claim(claim)) = (&mut response, sent)
        {
            // The coordinator would discard an acceptance of another epoch.
            *epoch = claim.epoch;
        }
        for delay in self.network.arrival_delays(to, from) {
            let response = response.clone();
            self.queue.push(
                delay,
                Event::DeliverResponse { to: from, from: to, incarnation, context, response },
            );
        }
    }

    fn send(&mut self, key: Key) {
        let node = self.network.rng.random_range(0..NODES);
        if !self.nodes[node].up {
            return;
        }
        self.attempts += 1;
        let attempt = self.attempts;
        let group = self.groups[self.nodes[node].known_group].clone();
        // All requests have the same fingerprint, 7, so none is a mismatch.
        let (coordinator, claim) =
            Coordinator::claim(group.clone(), key, attempt, 7, Kind::Booking);
        self.nodes[node].coordinators.insert(attempt, (coordinator, key));
        // The claims of some attempts arrive slowly, so that crashes and other attempts occur
        // between them.
        let slow_probability = self.network.slow_probability;
        if !self.has_contention && self.network.rng.random_bool(0.4) {
            self.network.slow_probability = 0.9;
        }
        for member in &group.members {
            let request = Request::Claim(claim.clone());
            self.transmit(node, node_index(&member.node), CallContext::Claim(attempt), &request);
        }
        self.network.slow_probability = slow_probability;
        // A member may crash after it accepted the claim and before the last member does.
        if !self.has_contention && self.network.rng.random_bool(0.3) {
            let member = self.network.rng.random_range(0..group.members.len());
            let delay = self.network.rng.random_range(1..60);
            self.queue.push(millis(delay), Event::Crash(node_index(&group.members[member].node)));
        }
        let limit = self.network.rng.random_range(100..5_000);
        self.queue.push(millis(limit), Event::Expire { node, attempt });
    }

    fn handle_response(
        &mut self,
        to: usize,
        from: usize,
        context: CallContext,
        response: &Response,
    ) {
        let now = self.queue.now();
        match context {
            CallContext::Pull(cursor) => {
                let Some(replica) = &mut self.nodes[to].replica else { return };
                let was_recovering = !replica.is_voting();
                replica.pulled(now, &node_name(from), cursor, response);
                if self.mutation == Some(Mutation::ShortRecovery)
                    && matches!(response, Response::Page { voting: true, next: None, .. })
                    && let RegisterReplica::Recovering(recovering) = replica
                {
                    *replica = RegisterReplica::Voting(recovering.clone().into_voting());
                }
                if was_recovering && replica.is_voting() {
                    self.outcome.recovered += 1;
                    // A second node may crash right after the recovery.
                    if self.network.rng.random_bool(0.4) {
                        let group = &self.groups[self.nodes[to].known_group];
                        let other = self.network.rng.random_range(0..group.members.len());
                        let other = node_index(&group.members[other].node);
                        let delay = self.network.rng.random_range(0..100);
                        self.queue.push(millis(delay), Event::Crash(other));
                    }
                }
            }
            CallContext::Claim(attempt) => {
                let Some((coordinator, _)) = self.nodes[to].coordinators.get_mut(&attempt) else {
                    return;
                };
                if let Some(decision) = coordinator.replied(&node_name(from), response) {
                    self.handle_decision(to, attempt, decision);
                }
            }
            CallContext::Ignore => {}
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
        self.handle_decision(node, attempt, decision);
    }

    fn handle_decision(&mut self, node: usize, attempt: u128, decision: Decision) {
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
                if self.first_runs.get(&key).map(|first| first.to_string().into_bytes())
                    != Some(answer.body.to_vec())
                {
                    self.outcome
                        .violations
                        .push(format!("the replayed response is not that of key {key:x}"));
                }
            }
            Decision::Unknown => self.outcome.unknown += 1,
            Decision::NotRun => self.outcome.refused += 1,
            Decision::Mismatch => {
                self.outcome
                    .violations
                    .push("equal requests were reported as a mismatch".to_string());
            }
        }
        self.withdraw_attempt(node, attempt);
    }

    fn withdraw_attempt(&mut self, node: usize, attempt: u128) {
        let Some((coordinator, _)) = self.nodes[node].coordinators.remove(&attempt) else { return };
        for member in coordinator.group().members.clone() {
            self.transmit(
                node,
                node_index(&member.node),
                CallContext::Ignore,
                &coordinator.withdraw(),
            );
        }
    }

    /// Runs the dispatched request at the server, unless its coordinator has crashed.
    ///
    /// One request in ten provably does not run, and its attempt is withdrawn. The response to one
    /// run in five is lost.
    fn run_request(&mut self, node: usize, attempt: u128) {
        let Some((_, key)) = self.nodes[node].coordinators.get(&attempt) else { return };
        let key = *key;
        if self.network.rng.random_bool(0.1) {
            self.withdraw_attempt(node, attempt);
            return;
        }
        *self.outcome.runs.entry(key).or_default() += 1;
        self.first_runs.entry(key).or_insert(attempt);
        if self.network.rng.random_bool(0.2) {
            // The response is lost, so the register must stay claimed.
            if self.mutation == Some(Mutation::UnknownWithdrawn) {
                self.withdraw_attempt(node, attempt);
            }
            return;
        }
        let delay = self.network.rng.random_range(1..1_000);
        self.queue.push(millis(delay), Event::Completed { node, attempt });
    }

    fn complete_run(&mut self, node: usize, attempt: u128) {
        let Some((coordinator, _)) = self.nodes[node].coordinators.remove(&attempt) else { return };
        let body = attempt.to_string().into_bytes().into();
        let answer = StoredResponse { status: 200, headers: Vec::new(), body };
        for member in coordinator.group().members.clone() {
            let request = coordinator.complete(Some(answer.clone()));
            self.transmit(node, node_index(&member.node), CallContext::Ignore, &request);
        }
    }
}

/// Returns a coordinator and its claim, with the fingerprint 7, for tests without a network.
pub(crate) fn claim(group: &Group, key: Key, attempt: u128) -> (Coordinator, Claim) {
    Coordinator::claim(group.clone(), key, attempt, 7, Kind::Booking)
}

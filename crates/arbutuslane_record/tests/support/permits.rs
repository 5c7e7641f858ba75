//! Permits for ejection in a fleet whose nodes see servers and floor late and differently.

mod faults;

use std::collections::VecDeque;

use arbutuslane_core::time::Time;
use arbutuslane_record::message::Response;
use arbutuslane_record::permit::{Ask, Request};
use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{Network, Queue, millis};

const NODES: usize = 7;
const SERVERS: usize = 10;
const FAULTS: u64 = 30_000;
const QUIET: u64 = 20_000;
const STEP: u64 = 20;

/// A rule that a run breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// Replicas grant any number.
    FloorIgnored,
    /// A restarted replica grants at once.
    NoQuietPeriod,
    /// A holder counts on its permit until it is told otherwise.
    LeaseIgnored,
    /// A holder never gives way to a more severe case.
    SeverityIgnored,
}

enum Event {
    Check,
    Shake,
    Calm,
    Crash(usize),
    Restart(usize),
    Sicken(usize, u32),
    Heal(usize),
    /// A server takes work or not: drains, cold starts, losses and returns.
    Live(usize, bool),
    Floor(u32),
    See(usize, u64),
    Poll(usize),
    Pull(usize),
    Deliver(usize, usize, Box<Request>),
    Reply(usize, usize, usize, arbutuslane_record::permit::Response),
}

struct Node {
    up: bool,
    incarnation: u64,
    drift: f64,
    seat: Option<Seat>,
    /// Number of live servers above the floor as this node sees it, and of which truth.
    headroom: u32,
    seen: u64,
    /// Headroom over the last lease.
    recent: VecDeque<(Time, u32)>,
}

#[derive(Clone)]
struct Server {
    live: bool,
    severity: Option<u32>,
    permit: Option<Permit>,
    ever: bool,
}

/// What a run showed.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) faults: Vec<String>,
    pub(crate) most_ejected: usize,
    pub(crate) ejected_at_end: usize,
    pub(crate) wanted_at_end: usize,
    pub(crate) headroom_at_end: u32,
}

struct World {
    queue: Queue<Event>,
    network: Network,
    group: Group,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    floor: u32,
    truths: Vec<u32>,
    attempts: u128,
    mutation: Option<Mutation>,
    outcome: Outcome,
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().expect("a node name")
}

/// Runs one random schedule: faults, then a quiet time.
pub(crate) fn run(seed: u64, mutation: Option<Mutation>) -> Outcome {
    let mut world = World::new(seed, mutation);
    while let Some(event) = world.queue.pop() {
        if world.queue.now() > millis(FAULTS + QUIET) {
            break;
        }
        world.step(event);
    }
    world.check_end();
    world.outcome
}

impl World {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut network = Network::new(seed);
        let size = if network.rng.random_bool(0.8) { 5 } else { 3 };
        let names: Vec<String> = (0..size).map(name).collect();
        let members: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        let group = Group::founded(1, &members);
        let floor = network.rng.random_range(3..9);
        let mut nodes = Vec::new();
        for node in 0..NODES {
            nodes.push(Node {
                up: true,
                incarnation: 1,
                drift: network.rng.random_range(-0.01..0.01),
                seat: (node < size).then(|| Seat::join(Time::ZERO, &name(node), 1, group.clone())),
                headroom: 0,
                seen: 0,
                recent: VecDeque::new(),
            });
        }
        let server = Server { live: true, severity: None, permit: None, ever: false };
        let mut world = Self {
            queue: Queue::new(),
            network,
            group,
            nodes,
            servers: vec![server; SERVERS],
            floor,
            truths: Vec::new(),
            attempts: 0,
            mutation,
            outcome: Outcome::default(),
        };
        world.changed();
        world.plan();
        world
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Check => self.check(),
            Event::Shake => self.network.shake(NODES),
            Event::Calm => {
                self.network.cut.clear();
                self.network.loss = 0.0;
                self.network.slow = 0.0;
            }
            Event::Crash(node) => self.crash(node),
            Event::Restart(node) => self.restart(node),
            Event::Sicken(server, severity) => {
                self.servers[server].severity = Some(severity);
                if let Some(permit) = &mut self.servers[server].permit {
                    permit.set_severity(severity);
                }
            }
            Event::Heal(server) => self.heal(server),
            Event::Live(server, live) => {
                self.servers[server].live = live;
                self.changed();
            }
            Event::Floor(floor) => {
                self.floor = floor;
                self.changed();
            }
            Event::See(node, truth) => {
                if self.nodes[node].seen <= truth {
                    self.nodes[node].seen = truth;
                    let truth = usize::try_from(truth).expect("a small number");
                    self.nodes[node].headroom = self.truths[truth];
                }
            }
            Event::Poll(node) => self.poll(node),
            Event::Pull(node) => self.pull(node),
            Event::Deliver(to, from, request) => self.deliver(to, from, &request),
            Event::Reply(to, from, server, response) => {
                if self.nodes[to].up
                    && let Some(permit) = &mut self.servers[server].permit
                {
                    permit.replied(&self.group, &name(from), &response);
                }
            }
        }
    }

    fn local(&self, node: usize) -> Time {
        self.queue.now().mul_f64(1.0 + self.nodes[node].drift)
    }

    fn owner(server: usize) -> usize {
        server % NODES
    }

    fn poll(&mut self, node: usize) {
        self.queue.push(millis(100), Event::Poll(node));
        if !self.nodes[node].up {
            return;
        }
        let now = self.local(node);
        let headroom = self.nodes[node].headroom;
        for server in (0..SERVERS).filter(|server| Self::owner(*server) == node) {
            let Some(severity) = self.servers[server].severity else { continue };
            if self.servers[server].permit.is_none() {
                self.attempts += 1;
                let id = format!("server-{server}");
                let permit = Permit::want("bookings", &id, self.attempts, severity);
                self.servers[server].permit = Some(permit);
            }
            let Some(permit) = &mut self.servers[server].permit else { continue };
            if let Some(request) = permit.poll(now, &self.group, headroom) {
                if self.mutation == Some(Mutation::SeverityIgnored) && request.ask == Ask::Release {
                    permit.set_severity(u32::MAX);
                }
                self.transmit(node, &request);
            }
        }
    }

    fn transmit(&mut self, from: usize, request: &Request) {
        for member in self.group.members.clone() {
            let to = index(&member.node);
            for delay in self.network.arrivals(from, to) {
                self.queue.push(delay, Event::Deliver(to, from, Box::new(request.clone())));
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, request: &Request) {
        let now = self.local(to);
        let mut headroom = self.nodes[to].headroom;
        if self.mutation == Some(Mutation::FloorIgnored) {
            headroom = u32::MAX;
        }
        let Some(seat) = &mut self.nodes[to].seat else { return };
        let Response::Permit(response) = seat.permit(now, request, headroom) else { return };
        let server = request.server.trim_start_matches("server-").parse().expect("a server");
        for delay in self.network.arrivals(to, from) {
            self.queue.push(delay, Event::Reply(from, to, server, response.clone()));
        }
    }

    /// Pulls without delay: what matters here is which members have adopted the epoch.
    fn pull(&mut self, node: usize) {
        self.queue.push(millis(100), Event::Pull(node));
        let now = self.local(node);
        let pulls = self.nodes[node].seat.as_ref().map(Seat::pulls).unwrap_or_default();
        for (to, request) in pulls {
            let to = index(&to);
            if self.network.cut.contains(&(node, to)) || self.network.cut.contains(&(to, node)) {
                continue;
            }
            let then = self.local(to);
            let Some(source) = &mut self.nodes[to].seat else { continue };
            let page = source.handle(then, &request);
            if let Some(seat) = &mut self.nodes[node].seat {
                seat.pulled(now, &name(to), 0, &page);
            }
        }
    }

    fn is_ejected(&mut self, server: usize) -> bool {
        let owner = Self::owner(server);
        let now = self.local(owner);
        let lease_ignored = self.mutation == Some(Mutation::LeaseIgnored);
        let server = &mut self.servers[server];
        let held = server.permit.as_ref().is_some_and(|permit| permit.is_held(now));
        server.ever = server.permit.is_some() && (server.ever || held);
        held || (lease_ignored && server.ever)
    }

    /// Compares the ejections with what a majority allowed within the last lease.
    fn check(&mut self) {
        self.queue.push(millis(STEP), Event::Check);
        let now = self.queue.now();
        for node in &mut self.nodes {
            node.recent.push_back((now, node.headroom));
            while node.recent.front().is_some_and(|(time, _)| *time + millis(3_040) < now) {
                node.recent.pop_front();
            }
        }
        let mut highest = Vec::new();
        for member in &self.group.members {
            let recent = self.nodes[index(&member.node)].recent.iter();
            highest.push(recent.map(|(_, headroom)| *headroom).max().unwrap_or(0));
        }
        highest.sort_unstable_by(|left, right| right.cmp(left));
        let allowed = highest[self.group.majority() - 1];
        let ejected: Vec<usize> = (0..SERVERS).filter(|server| self.is_ejected(*server)).collect();
        self.outcome.most_ejected = self.outcome.most_ejected.max(ejected.len());
        if ejected.len() > usize::try_from(allowed).expect("a small number") {
            self.fault(&format!("{} ejected, {allowed} allowed", ejected.len()));
        }
        let mut numbers: Vec<u32> = Vec::new();
        for server in &ejected {
            numbers.extend(self.servers[*server].permit.as_ref().map(Permit::number));
        }
        numbers.sort_unstable();
        if numbers.windows(2).any(|pair| pair[0] == pair[1]) {
            self.fault(&format!("one number held twice: {numbers:?}"));
        }
    }

    /// Checks that permits are used, by the most severe cases, after a quiet time.
    fn check_end(&mut self) {
        let headroom = *self.truths.last().expect("a first truth");
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for server in 0..SERVERS {
            let Some(severity) = self.servers[server].severity else { continue };
            if self.is_ejected(server) {
                held.push(severity);
            } else {
                waiting.push(severity);
            }
        }
        let wanted = held.len() + waiting.len();
        let expected = wanted.min(usize::try_from(headroom).expect("a small number"));
        if held.len() != expected {
            self.fault(&format!("{} ejected at the end, {expected} expected", held.len()));
        }
        let mildest = held.iter().min().copied().unwrap_or(u32::MAX);
        let worst = waiting.iter().max().copied().unwrap_or(0);
        if mildest <= worst / 2 {
            self.fault(&format!("severity {mildest} is ejected and {worst} is in use"));
        }
        self.outcome.ejected_at_end = held.len();
        self.outcome.wanted_at_end = wanted;
        self.outcome.headroom_at_end = headroom;
    }

    fn fault(&mut self, text: &str) {
        if self.outcome.faults.len() < 5 {
            self.outcome.faults.push(format!("{:?}: {text}", self.queue.now()));
        }
    }
}

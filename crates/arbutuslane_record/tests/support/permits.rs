//! Simulates ejection permits in a fleet whose nodes learn of changes to live servers and the floor
//! late and at different times.

mod faults;

use std::collections::VecDeque;

use arbutuslane_core::time::Time;
use arbutuslane_record::message::Response;
use arbutuslane_record::permit::{Operation, Request};
use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{Network, Queue, millis};

const NODES: usize = 7;
const SERVERS: usize = 10;
/// The first part of a schedule, in which faults occur.
const FAULT_PHASE_MS: u64 = 30_000;
/// The part after the faults, in which the permits settle.
const QUIET_PHASE_MS: u64 = 20_000;
/// The interval at which the invariants are checked.
const CHECK_INTERVAL_MS: u64 = 20;

/// A rule that a schedule breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// Replicas grant permit numbers above the headroom.
    FloorIgnored,
    /// A restarted replica grants permits before the leases of its earlier incarnation have ended.
    NoGrantDelay,
    /// An owner keeps a server ejected after the lease of its permit has expired.
    LeaseIgnored,
    /// A holder that has released its permit claims again with the highest severity, so that it
    /// never yields to a more severe fault again.
    SeverityIgnored,
}

enum Event {
    Check,
    /// Blocks a random set of links.
    BlockLinks,
    EndFaults,
    Crash(usize),
    Restart(usize),
    /// A server and the severity of its fault.
    ServerUnhealthy(usize, u32),
    ServerHealthy(usize),
    /// A server and whether it is live: drains, cold starts, losses and returns change that.
    SetLive(usize, bool),
    SetFloor(u32),
    /// A node learns the headroom of the given version.
    LearnHeadroom(usize, u64),
    Poll(usize),
    Pull(usize),
    /// Receiver, sender and request.
    Deliver(usize, usize, Box<Request>),
    /// Receiver, sender, server of the permit and response.
    Reply(usize, usize, usize, arbutuslane_record::permit::Response),
}

struct Node {
    up: bool,
    incarnation: u64,
    clock_drift: f64,
    replica: Option<RegisterReplica>,
    /// The number of live servers above the floor as this node sees it.
    headroom: u32,
    /// The index in `World::headrooms` of the newest headroom that the node knows.
    headroom_version: u64,
    /// The headrooms that the node saw during the last lease, with their times.
    recent_headrooms: VecDeque<(Time, u32)>,
}

#[derive(Clone)]
struct Server {
    live: bool,
    severity: Option<u32>,
    permit: Option<Permit>,
    /// Whether the current permit has been held.
    was_held: bool,
}

/// The result of a schedule.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) violations: Vec<String>,
    pub(crate) most_ejected: usize,
    pub(crate) ejected_at_end: usize,
    pub(crate) unhealthy_at_end: usize,
    pub(crate) headroom_at_end: u32,
}

struct World {
    queue: Queue<Event>,
    network: Network,
    group: Group,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    floor: u32,
    /// Every actual headroom since the start, oldest first.
    headrooms: Vec<u32>,
    attempts: u128,
    mutation: Option<Mutation>,
    outcome: Outcome,
}

fn node_name(node: usize) -> String {
    format!("node-{node}")
}

fn node_index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().expect("a node name has the form node-N")
}

/// Runs one random schedule: a phase with faults, then a quiet phase.
pub(crate) fn run(seed: u64, mutation: Option<Mutation>) -> Outcome {
    let mut world = World::new(seed, mutation);
    while let Some(event) = world.queue.pop() {
        if world.queue.now() > millis(FAULT_PHASE_MS + QUIET_PHASE_MS) {
            break;
        }
        world.handle_event(event);
    }
    world.check_end();
    world.outcome
}

impl World {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut network = Network::new(seed);
        let size = if network.rng.random_bool(0.8) { 5 } else { 3 };
        let names: Vec<String> = (0..size).map(node_name).collect();
        let members: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
        let group = Group::founded(1, &members);
        let floor = network.rng.random_range(3..9);
        let mut nodes = Vec::new();
        for node in 0..NODES {
            nodes.push(Node {
                up: true,
                incarnation: 1,
                clock_drift: network.rng.random_range(-0.01..0.01),
                replica: (node < size)
                    .then(|| RegisterReplica::join(Time::ZERO, &node_name(node), 1, group.clone())),
                headroom: 0,
                headroom_version: 0,
                recent_headrooms: VecDeque::new(),
            });
        }
        let server = Server { live: true, severity: None, permit: None, was_held: false };
        let mut world = Self {
            queue: Queue::new(),
            network,
            group,
            nodes,
            servers: vec![server; SERVERS],
            floor,
            headrooms: Vec::new(),
            attempts: 0,
            mutation,
            outcome: Outcome::default(),
        };
        world.publish_headroom();
        world.plan();
        world
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Check => self.check(),
            Event::BlockLinks => self.network.randomize_blocked_links(NODES),
            Event::EndFaults => {
                self.network.blocked_links.clear();
                self.network.loss_probability = 0.0;
                self.network.slow_probability = 0.0;
            }
            Event::Crash(node) => self.crash(node),
            Event::Restart(node) => self.restart(node),
            Event::ServerUnhealthy(server, severity) => {
                self.servers[server].severity = Some(severity);
                if let Some(permit) = &mut self.servers[server].permit {
                    permit.set_severity(severity);
                }
            }
            Event::ServerHealthy(server) => self.end_fault(server),
            Event::SetLive(server, live) => {
                self.servers[server].live = live;
                self.publish_headroom();
            }
            Event::SetFloor(floor) => {
                self.floor = floor;
                self.publish_headroom();
            }
            Event::LearnHeadroom(node, version) => {
                if self.nodes[node].headroom_version <= version {
                    self.nodes[node].headroom_version = version;
                    let version = usize::try_from(version).expect("the number fits the type");
                    self.nodes[node].headroom = self.headrooms[version];
                }
            }
            Event::Poll(node) => self.poll(node),
            Event::Pull(node) => self.pull(node),
            Event::Deliver(to, from, request) => self.deliver(to, from, &request),
            Event::Reply(to, from, server, response) => {
                if self.nodes[to].up
                    && let Some(permit) = &mut self.servers[server].permit
                {
                    permit.replied(&self.group, &node_name(from), &response);
                }
            }
        }
    }

    /// Returns the time on the clock of `node`, which runs up to 1% too fast or too slow.
    fn local_time(&self, node: usize) -> Time {
        self.queue.now().mul_f64(1.0 + self.nodes[node].clock_drift)
    }

    fn owner(server: usize) -> usize {
        server % NODES
    }

    fn poll(&mut self, node: usize) {
        self.queue.push(millis(100), Event::Poll(node));
        if !self.nodes[node].up {
            return;
        }
        let now = self.local_time(node);
        let headroom = self.nodes[node].headroom;
        for server in (0..SERVERS).filter(|server| Self::owner(*server) == node) {
            let Some(severity) = self.servers[server].severity else { continue };
            if self.servers[server].permit.is_none() {
                self.attempts += 1;
                let id = format!("server-{server}");
                let permit = Permit::new("bookings", &id, self.attempts, severity);
                self.servers[server].permit = Some(permit);
            }
            let Some(permit) = &mut self.servers[server].permit else { continue };
            if let Some(request) = permit.poll(now, &self.group, headroom) {
                if self.mutation == Some(Mutation::SeverityIgnored)
                    && request.operation == Operation::Release
                {
                    permit.set_severity(u32::MAX);
                }
                self.transmit(node, &request);
            }
        }
    }

    fn transmit(&mut self, from: usize, request: &Request) {
        for member in self.group.members.clone() {
            let to = node_index(&member.node);
            for delay in self.network.arrival_delays(from, to) {
                self.queue.push(delay, Event::Deliver(to, from, Box::new(request.clone())));
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, request: &Request) {
        let now = self.local_time(to);
        let mut headroom = self.nodes[to].headroom;
        if self.mutation == Some(Mutation::FloorIgnored) {
            headroom = u32::MAX;
        }
        let Some(replica) = &mut self.nodes[to].replica else { return };
        let Response::Permit(reply) = replica.handle_permit(now, request, headroom) else { return };
        let server = request
            .server
            .trim_start_matches("server-")
            .parse()
            .expect("a server id has the form server-N");
        for delay in self.network.arrival_delays(to, from) {
            self.queue.push(delay, Event::Reply(from, to, server, reply.clone()));
        }
    }

    /// Pulls without delay, because permits depend only on which members have adopted the epoch.
    fn pull(&mut self, node: usize) {
        self.queue.push(millis(100), Event::Pull(node));
        let now = self.local_time(node);
        let pulls =
            self.nodes[node].replica.as_ref().map(RegisterReplica::pulls).unwrap_or_default();
        for (to, request) in pulls {
            let to = node_index(&to);
            if self.network.blocked_links.contains(&(node, to))
                || self.network.blocked_links.contains(&(to, node))
            {
                continue;
            }
            let source_now = self.local_time(to);
            let Some(source) = &mut self.nodes[to].replica else { continue };
            let page = source.handle(source_now, &request);
            if let Some(replica) = &mut self.nodes[node].replica {
                replica.pulled(now, &node_name(to), 0, &page);
            }
        }
    }

    fn is_ejected(&mut self, server: usize) -> bool {
        let owner = Self::owner(server);
        let now = self.local_time(owner);
        let lease_ignored = self.mutation == Some(Mutation::LeaseIgnored);
        let server = &mut self.servers[server];
        let held = server.permit.as_ref().is_some_and(|permit| permit.is_held(now));
        server.was_held = server.permit.is_some() && (server.was_held || held);
        held || (lease_ignored && server.was_held)
    }

    /// Checks that the ejections do not exceed the highest headroom that a majority saw within the
    /// last lease, and that no permit number has two holders.
    fn check(&mut self) {
        self.queue.push(millis(CHECK_INTERVAL_MS), Event::Check);
        let now = self.queue.now();
        for node in &mut self.nodes {
            node.recent_headrooms.push_back((now, node.headroom));
            while node.recent_headrooms.front().is_some_and(|(time, _)| *time + millis(3_040) < now)
            {
                node.recent_headrooms.pop_front();
            }
        }
        let mut highest_headrooms = Vec::new();
        for member in &self.group.members {
            let recent_headrooms = self.nodes[node_index(&member.node)].recent_headrooms.iter();
            highest_headrooms
                .push(recent_headrooms.map(|(_, headroom)| *headroom).max().unwrap_or(0));
        }
        highest_headrooms.sort_unstable_by(|left, right| right.cmp(left));
        let allowed = highest_headrooms[self.group.majority() - 1];
        let ejected: Vec<usize> = (0..SERVERS).filter(|server| self.is_ejected(*server)).collect();
        self.outcome.most_ejected = self.outcome.most_ejected.max(ejected.len());
        if ejected.len() > usize::try_from(allowed).expect("the number fits the type") {
            self.record_violation(&format!("{} ejected, {allowed} allowed", ejected.len()));
        }
        let mut numbers: Vec<u32> = Vec::new();
        for server in &ejected {
            numbers.extend(self.servers[*server].permit.as_ref().map(Permit::number));
        }
        numbers.sort_unstable();
        if numbers.windows(2).any(|pair| pair[0] == pair[1]) {
            self.record_violation(&format!("a permit number is held twice: {numbers:?}"));
        }
    }

    /// Checks that after the quiet phase as many servers are ejected as the headroom allows, and
    /// that no server in use is at least twice as severe as an ejected one.
    fn check_end(&mut self) {
        let headroom = *self.headrooms.last().expect("the initial headroom is recorded");
        let (mut held, mut waiting) = (Vec::new(), Vec::new());
        for server in 0..SERVERS {
            let Some(severity) = self.servers[server].severity else { continue };
            if self.is_ejected(server) {
                held.push(severity);
            } else {
                waiting.push(severity);
            }
        }
        let unhealthy = held.len() + waiting.len();
        let expected = unhealthy.min(usize::try_from(headroom).expect("the number fits the type"));
        if held.len() != expected {
            self.record_violation(&format!(
                "{} ejected at the end, {expected} expected",
                held.len()
            ));
        }
        let lowest_ejected = held.iter().min().copied().unwrap_or(u32::MAX);
        let highest_waiting = waiting.iter().max().copied().unwrap_or(0);
        if lowest_ejected <= highest_waiting / 2 {
            self.record_violation(&format!(
                "severity {lowest_ejected} is ejected and {highest_waiting} is in use"
            ));
        }
        self.outcome.ejected_at_end = held.len();
        self.outcome.unhealthy_at_end = unhealthy;
        self.outcome.headroom_at_end = headroom;
    }

    /// Records a violation, unless five are recorded.
    fn record_violation(&mut self, text: &str) {
        if self.outcome.violations.len() < 5 {
            self.outcome.violations.push(format!("{:?}: {text}", self.queue.now()));
        }
    }
}

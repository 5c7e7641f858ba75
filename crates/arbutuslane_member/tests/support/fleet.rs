//! A simulated fleet of membership state machines on a faulty network, with one source of
//! configuration.

use std::collections::HashMap;

use arbutuslane_core::id::{NodeId, Revision};
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_member::prelude::*;
use rand::RngExt;

use super::{Network, Queue, millis};

const TICK_INTERVAL_MS: u64 = 100;

/// A fault that a run introduces to show that the properties detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// Helpers report every node as unreachable without a probe.
    HelpersDeny,
    /// Backend servers lose the received revision when their node restarts, so that the node requires
    /// no revision from them.
    NothingRequired,
}

enum Event {
    Tick(usize, u64),
    Renew(usize),
    Crash(usize),
    Restart(usize),
    SetBlockedLinks(Vec<(usize, usize)>),
    Change,
    Deliver { to: usize, from: usize, incarnation: u64, call: u64, message: Message },
    Answer { to: usize, incarnation: u64, call: u64, answer: Option<Response> },
}

struct Node {
    is_up: bool,
    incarnation: u64,
    gossip: Gossip,
    /// Incoming requests without a response, by request id: sender, its incarnation and its call id.
    requests: HashMap<u64, (usize, u64, u64)>,
    next_request: u64,
    highest_revision: Revision,
    /// The last revision that the node's backend server received.
    server_revision: Revision,
    /// The number of messages that the node sent in each second of the run.
    sent_per_second: Vec<u32>,
}

/// The results of a run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) revision_decreases: Vec<String>,
    /// The nodes that were declared dead while they were up.
    pub(crate) healthy_removed: Vec<NodeId>,
    pub(crate) restarts: u32,
    /// The highest number of messages that one node sent in one second.
    pub(crate) max_sent_per_second: u32,
    /// The number of messages of all nodes, per second and node that is up at the end.
    pub(crate) mean_sent_per_second: f64,
}

pub(crate) struct Fleet {
    queue: Queue<Event>,
    pub(crate) network: Network,
    rng: Rng,
    nodes: Vec<Node>,
    /// The newest revision.
    revision: Revision,
    mutation: Option<Mutation>,
    pub(crate) report: Report,
}

fn node_name(node: usize) -> NodeId {
    format!("node-{node:04}")
}

fn node_address(node: usize) -> String {
    format!("10.0.0.1:{node}")
}

fn node_index(text: &str) -> usize {
    text.trim_start_matches("node-").trim_start_matches("10.0.0.1:").parse().expect("a node")
}

impl Fleet {
    pub(crate) fn new(seed: u64, size: usize, mutation: Option<Mutation>) -> Self {
        let mut fleet = Self {
            queue: Queue::new(),
            network: Network::new(seed),
            rng: rng::seeded(seed ^ 1),
            nodes: Vec::new(),
            revision: 0,
            mutation,
            report: Report::default(),
        };
        for node in 0..size {
            let gossip = fleet.start(node, 1, size);
            fleet.nodes.push(Node {
                is_up: true,
                incarnation: 1,
                gossip,
                requests: HashMap::new(),
                next_request: 0,
                highest_revision: 0,
                server_revision: 0,
                sent_per_second: Vec::new(),
            });
            let phase = fleet.rng.random_range(0..TICK_INTERVAL_MS);
            fleet.queue.push(millis(phase), Event::Tick(node, 1));
            let phase = fleet.rng.random_range(0..1_000);
            fleet.queue.push(millis(phase), Event::Renew(node));
        }
        fleet
    }

    fn start(&mut self, node: usize, incarnation: u64, size: usize) -> Gossip {
        let record = Record::new(&node_name(node), incarnation, &node_address(node), "domain");
        let mut seeds = vec![node_address(0)];
        seeds.extend((0..2).map(|_| node_address(self.rng.random_range(0..size))));
        Gossip::new(self.queue.now(), record, seeds)
    }

    pub(crate) fn crash_at(&mut self, at_ms: u64, node: usize) {
        self.queue.push(millis(at_ms), Event::Crash(node));
    }

    pub(crate) fn restart_at(&mut self, at_ms: u64, node: usize) {
        self.queue.push(millis(at_ms), Event::Restart(node));
    }

    /// Creates a new revision of the configuration at `at_ms`.
    pub(crate) fn change_configuration_at(&mut self, at_ms: u64) {
        self.queue.push(millis(at_ms), Event::Change);
    }

    /// Blocks the links `pairs` of (sender, receiver) from `at_ms` on, and restores all others.
    pub(crate) fn set_blocked_links_at(&mut self, at_ms: u64, pairs: Vec<(usize, usize)>) {
        self.queue.push(millis(at_ms), Event::SetBlockedLinks(pairs));
    }

    /// Returns the number of nodes that are up.
    pub(crate) fn size(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_up).count()
    }

    /// Runs the simulation until `end_ms`.
    pub(crate) fn run(&mut self, end_ms: u64) {
        while self.queue.now() < millis(end_ms) {
            let Some(event) = self.queue.pop() else { break };
            self.step(event);
        }
        let counts = self.nodes.iter().flat_map(|node| node.sent_per_second.iter().copied());
        let counts: Vec<u32> = counts.collect();
        self.report.max_sent_per_second = counts.iter().copied().max().unwrap_or(0);
        let seconds = (end_ms / 1_000 * u64::try_from(self.size()).expect("small")).max(1);
        self.report.mean_sent_per_second = f64::from(counts.iter().sum::<u32>())
            / f64::from(u32::try_from(seconds).expect("small"));
    }

    /// Returns the number of pairs of a node that is up and any node for which `wanted` holds; its
    /// arguments are the index of the other node and the standing that the first one knows.
    pub(crate) fn count_views(&self, wanted: impl Fn(usize, Option<Standing>) -> bool) -> usize {
        let mut count = 0;
        for node in self.nodes.iter().filter(|node| node.is_up) {
            for other in 0..self.nodes.len() {
                let known = node.gossip.table().get(&node_name(other));
                count += usize::from(wanted(other, known.map(|known| known.view.standing)));
            }
        }
        count
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_up
    }

    /// Returns the number of nodes that are up and have the newest revision in force.
    pub(crate) fn count_current(&self) -> usize {
        let current = |node: &&Node| {
            node.is_up
                && node.gossip.in_force().is_some_and(|position| position.revision == self.revision)
        };
        self.nodes.iter().filter(current).count()
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Tick(node, incarnation) => {
                if !self.nodes[node].is_up || self.nodes[node].incarnation != incarnation {
                    return;
                }
                let effects = self.nodes[node].gossip.tick(now, &mut self.rng);
                self.queue.push(millis(TICK_INTERVAL_MS), Event::Tick(node, incarnation));
                self.apply_effects(node, effects);
            }
            Event::Renew(node) => {
                self.queue.push(millis(1_000), Event::Renew(node));
                let node = &mut self.nodes[node];
                if !node.is_up {
                    return;
                }
                node.server_revision =
                    node.server_revision.max(node.gossip.record_renewal(now, node.server_revision));
            }
            Event::Crash(node) => {
                self.nodes[node].is_up = false;
                self.nodes[node].requests.clear();
            }
            Event::Restart(node) => self.restart(node),
            Event::SetBlockedLinks(pairs) => self.network.blocked_links = pairs,
            Event::Change => self.change(),
            Event::Deliver { to, from, incarnation, call, message } => {
                self.deliver(to, from, incarnation, call, message);
            }
            Event::Answer { to, incarnation, call, answer } => {
                if !self.nodes[to].is_up || self.nodes[to].incarnation != incarnation {
                    return;
                }
                let node = &mut self.nodes[to];
                let effects = node.gossip.handle_response(now, &mut self.rng, call, answer);
                self.apply_effects(to, effects);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].is_up {
            return;
        }
        let incarnation = self.nodes[node].incarnation + 1;
        let gossip = self.start(node, incarnation, self.nodes.len());
        let state = &mut self.nodes[node];
        if self.mutation == Some(Mutation::NothingRequired) {
            state.server_revision = 0;
        }
        state.is_up = true;
        state.incarnation = incarnation;
        state.gossip = gossip;
        self.report.restarts += 1;
        self.queue.push(millis(1), Event::Tick(node, incarnation));
    }

    /// Creates a new revision at node 0, which never crashes.
    fn change(&mut self) {
        let base = Position { revision: self.revision, groups: 0 };
        self.revision += 1;
        let position = Position { revision: self.revision, groups: 0 };
        let delta = Delta { base, position, bytes: vec![0; 300].into() };
        self.nodes[0].gossip.install(position, vec![delta], vec![0; 3_000].into());
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { call, address, message, timeout } => {
                    self.send(node, node_index(&address), call, &message, timeout);
                }
                Effect::Respond { request, response } => self.reply(node, request, &response),
                Effect::Apply(payload) => {
                    let position = payload.position();
                    let deltas = match payload {
                        Payload::Deltas(deltas) => deltas,
                        Payload::Snapshot { .. } => Vec::new(),
                    };
                    let gossip = &mut self.nodes[node].gossip;
                    gossip.install(position, deltas, vec![0; 3_000].into());
                }
                Effect::StandingChanged { node: other, incarnation, standing } => {
                    let other_node = &self.nodes[node_index(&other)];
                    let current = other_node.is_up && other_node.incarnation == incarnation;
                    if standing == Standing::Dead && current {
                        self.report.healthy_removed.push(other);
                    }
                }
            }
        }
        let node = &mut self.nodes[node];
        if let Some(position) = node.gossip.in_force() {
            if position.revision < node.highest_revision {
                let text = format!("{} after {}", position.revision, node.highest_revision);
                self.report
                    .revision_decreases
                    .push(format!("{}: revision {text}", node.gossip.record().node));
            }
            node.highest_revision = position.revision;
        }
    }

    fn send(&mut self, from: usize, to: usize, call: u64, message: &Message, timeout: Time) {
        let incarnation = self.nodes[from].incarnation;
        let second = usize::try_from(self.queue.now().as_secs()).expect("small");
        let sent_per_second = &mut self.nodes[from].sent_per_second;
        if sent_per_second.len() <= second {
            sent_per_second.resize(second + 1, 0);
        }
        sent_per_second[second] += 1;
        self.queue.push(timeout, Event::Answer { to: from, incarnation, call, answer: None });
        for delay in self.network.arrival_delays(from, to) {
            let message = message.clone();
            self.queue.push(delay, Event::Deliver { to, from, incarnation, call, message });
        }
    }

    fn deliver(&mut self, to: usize, from: usize, incarnation: u64, call: u64, message: Message) {
        let now = self.queue.now();
        if !self.nodes[to].is_up {
            return;
        }
        let node = &mut self.nodes[to];
        node.next_request += 1;
        let request = node.next_request;
        node.requests.insert(request, (from, incarnation, call));
        if self.mutation == Some(Mutation::HelpersDeny) && matches!(message, Message::Probe { .. })
        {
            self.reply(to, request, &Response::Probed { reached: false });
            return;
        }
        let effects = node.gossip.handle(now, request, message);
        self.apply_effects(to, effects);
    }

    fn reply(&mut self, node: usize, id: u64, answer: &Response) {
        let Some((to, incarnation, call)) = self.nodes[node].requests.remove(&id) else { return };
        for delay in self.network.arrival_delays(node, to) {
            let answer = Some(answer.clone());
            self.queue.push(delay, Event::Answer { to, incarnation, call, answer });
        }
    }
}

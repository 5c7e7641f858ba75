//! A fleet of membership state machines on a faulty network, with one source of configuration.

use std::collections::HashMap;

use arbutuslane_core::id::{NodeId, Revision};
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_member::prelude::*;
use rand::RngExt;

use super::{Network, Queue, millis};

const TICK: u64 = 100;

/// A rule that a run breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// Helpers deny every node without a probe.
    HelpersDeny,
    /// Backend servers forget what they were told when their node restarts.
    NothingRequired,
}

enum Event {
    Tick(usize, u64),
    Renew(usize),
    Crash(usize),
    Restart(usize),
    Cut(Vec<(usize, usize)>),
    Change,
    Deliver { to: usize, from: usize, life: u64, call: u64, message: Message },
    Answer { to: usize, life: u64, call: u64, answer: Option<Answer> },
}

struct Node {
    up: bool,
    life: u64,
    gossip: Gossip,
    /// Incoming requests that wait for an answer, by ticket.
    tickets: HashMap<u64, (usize, u64, u64)>,
    next_ticket: u64,
    highest: Revision,
    /// The revision that the node's backend server was told.
    server: Revision,
    sent: Vec<u32>,
}

/// What a run showed.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) faults: Vec<String>,
    /// Nodes that were declared dead while they were up.
    pub(crate) healthy_removed: Vec<NodeId>,
    pub(crate) restarts: u32,
    pub(crate) most_sent_in_a_second: u32,
    pub(crate) mean_sent_in_a_second: f64,
}

pub(crate) struct Fleet {
    queue: Queue<Event>,
    pub(crate) network: Network,
    rng: Rng,
    nodes: Vec<Node>,
    revision: Revision,
    mutation: Option<Mutation>,
    pub(crate) outcome: Outcome,
}

fn name(node: usize) -> NodeId {
    format!("node-{node:04}")
}

fn address(node: usize) -> String {
    format!("10.0.0.1:{node}")
}

fn index(text: &str) -> usize {
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
            outcome: Outcome::default(),
        };
        for node in 0..size {
            let gossip = fleet.start(node, 1, size);
            fleet.nodes.push(Node {
                up: true,
                life: 1,
                gossip,
                tickets: HashMap::new(),
                next_ticket: 0,
                highest: 0,
                server: 0,
                sent: Vec::new(),
            });
            let phase = fleet.rng.random_range(0..TICK);
            fleet.queue.push(millis(phase), Event::Tick(node, 1));
            let phase = fleet.rng.random_range(0..1_000);
            fleet.queue.push(millis(phase), Event::Renew(node));
        }
        fleet
    }

    fn start(&mut self, node: usize, life: u64, size: usize) -> Gossip {
        let record = Record::new(&name(node), life, &address(node), "domain");
        let mut seeds = vec![address(0)];
        seeds.extend((0..2).map(|_| address(self.rng.random_range(0..size))));
        Gossip::new(self.queue.now(), record, seeds)
    }

    pub(crate) fn crash_at(&mut self, at: u64, node: usize) {
        self.queue.push(millis(at), Event::Crash(node));
    }

    pub(crate) fn restart_at(&mut self, at: u64, node: usize) {
        self.queue.push(millis(at), Event::Restart(node));
    }

    pub(crate) fn change_at(&mut self, at: u64) {
        self.queue.push(millis(at), Event::Change);
    }

    pub(crate) fn cut_at(&mut self, at: u64, pairs: Vec<(usize, usize)>) {
        self.queue.push(millis(at), Event::Cut(pairs));
    }

    /// Returns the number of nodes that are up.
    pub(crate) fn size(&self) -> usize {
        self.nodes.iter().filter(|node| node.up).count()
    }

    /// Runs until `end` in milliseconds.
    pub(crate) fn run(&mut self, end: u64) {
        while self.queue.now() < millis(end) {
            let Some(event) = self.queue.pop() else { break };
            self.step(event);
        }
        let counts = self.nodes.iter().flat_map(|node| node.sent.iter().copied());
        let counts: Vec<u32> = counts.collect();
        self.outcome.most_sent_in_a_second = counts.iter().copied().max().unwrap_or(0);
        let seconds = (end / 1_000 * u64::try_from(self.size()).expect("small")).max(1);
        self.outcome.mean_sent_in_a_second = f64::from(counts.iter().sum::<u32>())
            / f64::from(u32::try_from(seconds).expect("small"));
    }

    /// Returns how many nodes that are up see `other` so that `wanted` holds.
    pub(crate) fn count(&self, wanted: impl Fn(usize, Option<Standing>) -> bool) -> usize {
        let mut count = 0;
        for node in self.nodes.iter().filter(|node| node.up) {
            for other in 0..self.nodes.len() {
                let known = node.gossip.table().get(&name(other));
                count += usize::from(wanted(other, known.map(|known| known.view.standing)));
            }
        }
        count
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }

    /// Returns how many nodes that are up have the newest revision in force.
    pub(crate) fn current(&self) -> usize {
        let current = |node: &&Node| {
            node.up
                && node.gossip.in_force().is_some_and(|position| position.revision == self.revision)
        };
        self.nodes.iter().filter(current).count()
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Tick(node, life) => {
                if !self.nodes[node].up || self.nodes[node].life != life {
                    return;
                }
                let effects = self.nodes[node].gossip.tick(now, &mut self.rng);
                self.queue.push(millis(TICK), Event::Tick(node, life));
                self.carry_out(node, effects);
            }
            Event::Renew(node) => {
                self.queue.push(millis(1_000), Event::Renew(node));
                let node = &mut self.nodes[node];
                if !node.up {
                    return;
                }
                node.server = node.server.max(node.gossip.renewed(now, node.server));
            }
            Event::Crash(node) => {
                self.nodes[node].up = false;
                self.nodes[node].tickets.clear();
            }
            Event::Restart(node) => self.restart(node),
            Event::Cut(pairs) => self.network.cut = pairs,
            Event::Change => self.change(),
            Event::Deliver { to, from, life, call, message } => {
                self.deliver(to, from, life, call, message);
            }
            Event::Answer { to, life, call, answer } => {
                if !self.nodes[to].up || self.nodes[to].life != life {
                    return;
                }
                let node = &mut self.nodes[to];
                let effects = node.gossip.answered(now, &mut self.rng, call, answer);
                self.carry_out(to, effects);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].up {
            return;
        }
        let life = self.nodes[node].life + 1;
        let gossip = self.start(node, life, self.nodes.len());
        let state = &mut self.nodes[node];
        if self.mutation == Some(Mutation::NothingRequired) {
            state.server = 0;
        }
        state.up = true;
        state.life = life;
        state.gossip = gossip;
        self.outcome.restarts += 1;
        self.queue.push(millis(1), Event::Tick(node, life));
    }

    /// Makes a new revision at node 0, which never crashes.
    fn change(&mut self) {
        let base = Position { revision: self.revision, groups: 0 };
        self.revision += 1;
        let position = Position { revision: self.revision, groups: 0 };
        let delta = Delta { base, position, bytes: vec![0; 300].into() };
        self.nodes[0].gossip.install(position, vec![delta], vec![0; 3_000].into());
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { call, address, message, timeout } => {
                    self.send(node, index(&address), call, &message, timeout);
                }
                Effect::Reply { ticket, answer } => self.reply(node, ticket, &answer),
                Effect::Apply(payload) => {
                    let position = payload.position();
                    let deltas = match payload {
                        Payload::Deltas(deltas) => deltas,
                        Payload::Snapshot { .. } => Vec::new(),
                    };
                    let gossip = &mut self.nodes[node].gossip;
                    gossip.install(position, deltas, vec![0; 3_000].into());
                }
                Effect::Changed { node: other, incarnation, standing } => {
                    let other_node = &self.nodes[index(&other)];
                    let current = other_node.up && other_node.life == incarnation;
                    if standing == Standing::Dead && current {
                        self.outcome.healthy_removed.push(other);
                    }
                }
            }
        }
        let node = &mut self.nodes[node];
        if let Some(position) = node.gossip.in_force() {
            if position.revision < node.highest {
                let text = format!("{} after {}", position.revision, node.highest);
                self.outcome.faults.push(format!("{}: revision {text}", node.gossip.record().node));
            }
            node.highest = position.revision;
        }
    }

    fn send(&mut self, from: usize, to: usize, call: u64, message: &Message, timeout: Time) {
        let life = self.nodes[from].life;
        let second = usize::try_from(self.queue.now().as_secs()).expect("small");
        let sent = &mut self.nodes[from].sent;
        if sent.len() <= second {
            sent.resize(second + 1, 0);
        }
        sent[second] += 1;
        self.queue.push(timeout, Event::Answer { to: from, life, call, answer: None });
        for delay in self.network.arrivals(from, to) {
            let message = message.clone();
            self.queue.push(delay, Event::Deliver { to, from, life, call, message });
        }
    }

    fn deliver(&mut self, to: usize, from: usize, life: u64, call: u64, message: Message) {
        let now = self.queue.now();
        if !self.nodes[to].up {
            return;
        }
        let node = &mut self.nodes[to];
        node.next_ticket += 1;
        let ticket = node.next_ticket;
        node.tickets.insert(ticket, (from, life, call));
        if self.mutation == Some(Mutation::HelpersDeny) && matches!(message, Message::Probe { .. })
        {
            self.reply(to, ticket, &Answer::Probed { reached: false });
            return;
        }
        let effects = node.gossip.handle(now, ticket, message);
        self.carry_out(to, effects);
    }

    fn reply(&mut self, node: usize, ticket: u64, answer: &Answer) {
        let Some((to, life, call)) = self.nodes[node].tickets.remove(&ticket) else { return };
        for delay in self.network.arrivals(node, to) {
            let answer = Some(answer.clone());
            self.queue.push(delay, Event::Answer { to, life, call, answer });
        }
    }
}

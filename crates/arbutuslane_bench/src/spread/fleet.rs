//! The gossip code of a whole fleet on one event queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arbutuslane_core::id::Revision;
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_member::message::RecordWithView;
use arbutuslane_member::prelude::{
    Delta, Effect, Gossip, Message, Payload, Position, Record, Response, Server, Standing, State,
    Table,
};
use arbutuslane_member::record::View;
use arbutuslane_wire::{codec, peer};
use rand::RngExt;

use super::plan::{Figures, Plan};

/// The bytes of an HTTP request head: line, host, token of 32 bytes, exchange id, length.
pub const REQUEST_HEAD: u64 = 190;

/// The bytes of an HTTP response head: line, length, date, exchange id.
pub const RESPONSE_HEAD: u64 = 130;

/// The bytes of TCP and IP headers that each side sends for one request on a new connection: six
/// segments of 52 bytes.
pub const SEGMENTS: u64 = 312;

const TICK: Duration = Duration::from_millis(100);
const DOMAINS: usize = 12;
const REGIONS: usize = 5;
const SEEDS: usize = 10;

enum Event {
    Tick(usize, u64),
    Renew(usize),
    Change,
    Restart,
    Up(usize),
    Deliver { to: usize, from: usize, life: u64, call: u64, message: Message },
    Answer { to: usize, life: u64, call: u64, answer: Option<Response> },
}

struct Node {
    up: bool,
    life: u64,
    gossip: Gossip,
    tickets: HashMap<u64, (usize, u64, u64)>,
    next_ticket: u64,
    told: Revision,
    in_force: Revision,
    second: (u64, u64, u64),
}

struct Fleet {
    plan: Plan,
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    rng: Rng,
    nodes: Vec<Node>,
    made: Vec<Time>,
    counting: bool,
    spent: Duration,
    sent: (u64, u64),
    figures: Figures,
    lost: usize,
}

/// Runs a fleet whose nodes know each other, and measures it after 5 s.
pub fn run(plan: Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    fleet.go(Duration::from_secs(5));
    fleet.counting = true;
    for node in plan.nodes - fleet.lost..plan.nodes {
        fleet.nodes[node].up = false;
    }
    let end = Duration::from_secs(5 + plan.seconds);
    for (rate, restart) in [(plan.changes, false), (plan.restarts, true)] {
        if rate > 0.0 {
            let pause = Duration::from_secs_f64(86_400.0 / rate);
            let mut at = pause / 2;
            while at + Duration::from_secs(10) < Duration::from_secs(plan.seconds) {
                fleet.push(at, if restart { Event::Restart } else { Event::Change });
                at += pause;
            }
        }
    }
    fleet.go(end);
    fleet.finish()
}

/// Returns a record like those of the target fleet.
pub fn record(node: usize, servers: usize) -> Record {
    let mut record = Record::new(
        &name(node),
        1_780_000_000_000,
        &address(node),
        &format!("domain-{:02}", node % DOMAINS),
    );
    record.callers = format!("10.{}.{}.{}:8000", node % 12, node / 250, node % 250);
    record.release = "0.1.0".to_string();
    for server in 0..servers {
        record.servers.push(Server {
            id: format!("server-{node:04}-{server:02}"),
            incarnation: 1_780_000_000_000,
            service: format!("service-{:03}", (node * servers + server) / 27),
            slots: 5,
            state: State::Serving,
        });
    }
    record
}

fn name(node: usize) -> String {
    format!("node-{node:04}")
}

fn address(node: usize) -> String {
    format!("10.{}.{}.{}:{}", node % 12, node / 250, node % 250, 8_001 + node)
}

fn index(address: &str) -> usize {
    let port = address.rsplit(':').next().and_then(|port| port.parse::<usize>().ok());
    port.unwrap_or(8_001) - 8_001
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut table = Table::default();
        let view = View { round: 0, standing: Standing::Alive };
        let mut records = Vec::new();
        for node in 0..plan.nodes {
            let record = Arc::new(record(node, plan.servers));
            table.merge(Time::ZERO, &RecordWithView { record: Arc::clone(&record), view });
            records.push(record);
        }
        let mut fleet = Self {
            plan,
            now: Time::ZERO,
            sequence: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            rng: rng::seeded(plan.seed),
            nodes: Vec::new(),
            made: Vec::new(),
            counting: false,
            spent: Duration::ZERO,
            sent: (0, 0),
            figures: Figures::default(),
            lost: plan.nodes * plan.lost_percent / 100,
        };
        for (node, record) in records.iter().enumerate() {
            let mut gossip = Gossip::new(Time::ZERO, Record::clone(record), seeds());
            gossip.replace_table(Time::ZERO, table.clone());
            fleet.nodes.push(Node {
                up: true,
                life: 1,
                gossip,
                tickets: HashMap::new(),
                next_ticket: 0,
                told: 0,
                in_force: 0,
                second: (0, 0, 0),
            });
            let phase = fleet.rng.random_range(0..1_000);
            fleet.push(Duration::from_millis(phase % 100), Event::Tick(node, 1));
            fleet.push(Duration::from_millis(phase), Event::Renew(node));
        }
        fleet
    }

    fn push(&mut self, delay: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn go(&mut self, end: Time) {
        let mut next_look = self.now;
        while let Some(Reverse((time, sequence))) = self.heap.pop() {
            if time >= end {
                self.heap.push(Reverse((time, sequence)));
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&sequence) {
                self.step(event);
            }
            if self.counting
                && self.lost > 0
                && self.figures.noticed_ms.is_none()
                && time >= next_look
            {
                next_look = time + Duration::from_millis(250);
                self.look();
            }
        }
        self.now = end;
    }

    /// Notes when every remaining node sees every lost one as dead.
    fn look(&mut self) {
        let alive = self.plan.nodes - self.lost;
        let all =
            self.nodes[..alive].iter().all(|node| node.gossip.table().members().count() == alive);
        if all {
            let since = self.now.saturating_sub(Duration::from_secs(5));
            self.figures.noticed_ms = u64::try_from(since.as_millis()).ok();
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                if !self.nodes[node].up || self.nodes[node].life != life {
                    return;
                }
                self.push(TICK, Event::Tick(node, life));
                let began = Instant::now();
                let effects = self.nodes[node].gossip.tick(self.now, &mut self.rng);
                self.spent += began.elapsed();
                self.carry_out(node, effects);
            }
            Event::Renew(node) => {
                self.push(Duration::from_secs(1), Event::Renew(node));
                let node = &mut self.nodes[node];
                if node.up {
                    node.told = node.told.max(node.gossip.record_renewal(self.now, node.told));
                }
            }
            Event::Change => self.change(),
            Event::Restart => self.restart(),
            Event::Up(node) => self.up(node),
            Event::Deliver { to, from, life, call, message } => {
                if !self.nodes[to].up {
                    return;
                }
                let node = &mut self.nodes[to];
                node.next_ticket += 1;
                let ticket = node.next_ticket;
                node.tickets.insert(ticket, (from, life, call));
                let began = Instant::now();
                let effects = node.gossip.handle(self.now, ticket, message);
                self.spent += began.elapsed();
                self.carry_out(to, effects);
            }
            Event::Answer { to, life, call, answer } => {
                if !self.nodes[to].up || self.nodes[to].life != life {
                    return;
                }
                let node = &mut self.nodes[to];
                let began = Instant::now();
                let effects = node.gossip.handle_response(self.now, &mut self.rng, call, answer);
                self.spent += began.elapsed();
                self.carry_out(to, effects);
            }
        }
    }

    /// Makes a new revision at a seed; the step is one entry of 48 routes.
    fn change(&mut self) {
        let revision = u64::try_from(self.made.len()).unwrap_or(0);
        self.made.push(self.now);
        let base = Position { revision, groups: 0 };
        let position = Position { revision: revision + 1, groups: 0 };
        let delta = Delta { base, position, bytes: vec![0; 2_000].into() };
        self.nodes[0].gossip.install(position, vec![delta], vec![0; 8].into());
    }

    fn restart(&mut self) {
        let node = self.rng.random_range(SEEDS..self.plan.nodes);
        self.nodes[node].up = false;
        self.nodes[node].tickets.clear();
        self.push(Duration::from_secs(3), Event::Up(node));
    }

    fn up(&mut self, node: usize) {
        let mut record = record(node, self.plan.servers);
        let state = &mut self.nodes[node];
        state.life += 1;
        record.incarnation += state.life;
        state.up = true;
        state.gossip = Gossip::new(self.now, record, seeds());
        let life = state.life;
        self.push(TICK, Event::Tick(node, life));
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { call, address, message, timeout } => {
                    self.send(node, index(&address), call, message, timeout);
                }
                Effect::Respond { request, response } => self.reply(node, request, response),
                Effect::Apply(payload) => {
                    let position = payload.position();
                    let deltas = match payload {
                        Payload::Deltas(deltas) => deltas,
                        Payload::Snapshot { .. } => Vec::new(),
                    };
                    let gossip = &mut self.nodes[node].gossip;
                    gossip.install(position, deltas, vec![0; 8].into());
                }
                Effect::StandingChanged { .. } => {}
            }
        }
        let state = &mut self.nodes[node];
        let Some(position) = state.gossip.in_force() else { return };
        while state.in_force < position.revision {
            let index = usize::try_from(state.in_force).unwrap_or(usize::MAX);
            state.in_force += 1;
            // A restarted node catches up with earlier revisions.
            if state.life == 1
                && let Some(made) = self.made.get(index)
            {
                let delay = self.now.saturating_sub(*made).as_millis();
                self.figures.delays.push(u64::try_from(delay).unwrap_or(u64::MAX));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, call: u64, message: Message, timeout: Time) {
        let life = self.nodes[from].life;
        let began = Instant::now();
        let border = peer::Message::Gossip(message.clone().into());
        let body = codec::encode(&border).unwrap_or_default();
        let decoded = codec::decode::<peer::Message>(&body).is_ok();
        self.spent += began.elapsed();
        debug_assert!(decoded);
        self.count(from, u64::try_from(body.len()).unwrap_or(0) + REQUEST_HEAD, true);
        self.push(timeout, Event::Answer { to: from, life, call, answer: None });
        let delay = self.delay(from, to);
        self.push(delay, Event::Deliver { to, from, life, call, message });
    }

    fn reply(&mut self, node: usize, ticket: u64, answer: Response) {
        let Some((to, life, call)) = self.nodes[node].tickets.remove(&ticket) else { return };
        let began = Instant::now();
        let border = peer::Answer::Gossip(answer.clone().into());
        let body = codec::encode(&border).unwrap_or_default();
        let decoded = codec::decode::<peer::Answer>(&body).is_ok();
        self.spent += began.elapsed();
        debug_assert!(decoded);
        self.count(node, u64::try_from(body.len()).unwrap_or(0) + RESPONSE_HEAD, false);
        let delay = self.delay(node, to);
        self.push(delay, Event::Answer { to, life, call, answer: Some(answer) });
    }

    fn count(&mut self, node: usize, bytes: u64, request: bool) {
        if !self.counting {
            return;
        }
        self.sent.0 += u64::from(request);
        self.sent.1 += bytes;
        let second = self.now.as_secs();
        let state = &mut self.nodes[node];
        if state.second.0 != second {
            state.second = (second, 0, 0);
        }
        state.second.1 += bytes;
        state.second.2 += u64::from(request);
        self.figures.peak_bytes = self.figures.peak_bytes.max(state.second.1);
        self.figures.peak_messages = self.figures.peak_messages.max(state.second.2);
    }

    /// Returns a one-way delay: 0.5 ms in a domain, 1.5 ms in a region, 20 ms between regions, with
    /// a tenth of the messages taking up to 10 ms more.
    fn delay(&mut self, from: usize, to: usize) -> Time {
        let (left, right) = (from % DOMAINS, to % DOMAINS);
        let base = match (left == right, left % REGIONS == right % REGIONS) {
            (true, _) => 500,
            (false, true) => 1_500,
            (false, false) => 20_000,
        };
        let more = if self.rng.random_bool(0.1) { self.rng.random_range(0..10_000) } else { 0 };
        Duration::from_micros(base + more)
    }

    fn finish(self) -> Figures {
        let mut figures = self.figures;
        let total = (self.plan.nodes - self.lost) as f64 * self.plan.seconds as f64;
        figures.messages = self.sent.0 as f64 / total;
        figures.bytes = self.sent.1 as f64 / total;
        figures.wire_bytes = figures.bytes + figures.messages * 2.0 * SEGMENTS as f64;
        figures.cpu_us = self.spent.as_secs_f64() * 1e6
            / (self.plan.nodes as f64 * (self.plan.seconds + 5) as f64);
        figures.changes = self.made.len();
        figures.delays.sort_unstable();
        figures
    }
}

fn seeds() -> Vec<String> {
    (0..SEEDS).map(address).collect()
}

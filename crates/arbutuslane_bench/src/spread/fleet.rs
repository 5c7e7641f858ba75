//! A simulation of the gossip code of a whole fleet on one event queue.

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

/// The size of an HTTP request head: request line, host, token of 32 bytes, exchange id, length.
pub const REQUEST_HEAD_BYTES: u64 = 190;

/// The size of an HTTP response head: status line, length, date, exchange id.
pub const RESPONSE_HEAD_BYTES: u64 = 130;

/// The size of the TCP and IP headers that each side sends for one request on a new connection: six
/// segments of 52 bytes.
pub const TCP_IP_HEADER_BYTES: u64 = 312;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const DOMAIN_COUNT: usize = 12;
const REGION_COUNT: usize = 5;
const SEED_COUNT: usize = 10;

enum Event {
    /// The gossip timer of a node, with the generation of the node that set it.
    Tick(usize, u64),
    /// The lease renewal of the servers beside a node.
    RenewLeases(usize),
    /// A change of the catalogue.
    ChangeCatalogue,
    /// The stop of a random node that is not a seed.
    RestartNode,
    /// The start of a stopped node.
    StartNode(usize),
    /// The arrival of a request.
    Deliver { to: usize, from: usize, generation: u64, call: u64, message: Message },
    /// The arrival of a response, or a timeout when `answer` is `None`.
    Answer { to: usize, generation: u64, call: u64, answer: Option<Response> },
}

struct Node {
    is_up: bool,
    /// The number of starts of this node. Ticks and responses of an earlier generation are ignored.
    generation: u64,
    gossip: Gossip,
    /// The sender of each request without a response yet: node, generation and call.
    tickets: HashMap<u64, (usize, u64, u64)>,
    last_ticket: u64,
    /// The revision that the servers beside this node know.
    known_revision: Revision,
    in_force: Revision,
    /// The current second, and the bytes and requests sent in it.
    sent_in_second: (u64, u64, u64),
}

struct Fleet {
    plan: Plan,
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    rng: Rng,
    nodes: Vec<Node>,
    /// The time of each change of the catalogue.
    change_times: Vec<Time>,
    /// Whether messages are counted, which starts after the first 5 s.
    is_counting: bool,
    /// The processor time that gossip code and encoding took.
    cpu_time: Duration,
    /// The requests and bytes that all nodes sent.
    total_sent: (u64, u64),
    figures: Figures,
    lost_nodes: usize,
}

/// Runs a fleet whose nodes know each other from the start, and measures it from 5 s on.
pub fn run(plan: Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    fleet.run_until(Duration::from_secs(5));
    fleet.is_counting = true;
    for node in plan.nodes - fleet.lost_nodes..plan.nodes {
        fleet.nodes[node].is_up = false;
    }
    let end = Duration::from_secs(5 + plan.measured_seconds);
    for (per_day, is_restart) in [(plan.changes_per_day, false), (plan.restarts_per_day, true)] {
        if per_day > 0.0 {
            let pause = Duration::from_secs_f64(86_400.0 / per_day);
            let mut at = pause / 2;
            while at + Duration::from_secs(10) < Duration::from_secs(plan.measured_seconds) {
                fleet
                    .push(at, if is_restart { Event::RestartNode } else { Event::ChangeCatalogue });
                at += pause;
            }
        }
    }
    fleet.run_until(end);
    fleet.finish()
}

/// Returns the membership record of a node, of the size that the target fleet has.
pub fn record(node: usize, servers: usize) -> Record {
    let mut record = Record::new(
        &name(node),
        1_780_000_000_000,
        &address(node),
        &format!("domain-{:02}", node % DOMAIN_COUNT),
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

/// Returns the number of the node at `address`, which its port encodes.
fn node_index(address: &str) -> usize {
    let port = address.rsplit(':').next().and_then(|port| port.parse::<usize>().ok());
    port.unwrap_or(8_001) - 8_001
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut table = Table::default();
        let view = View { round: 0, standing: Standing::Alive };
        let mut records = Vec::new();
        for node in 0..plan.nodes {
            let record = Arc::new(record(node, plan.servers_per_node));
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
            change_times: Vec::new(),
            is_counting: false,
            cpu_time: Duration::ZERO,
            total_sent: (0, 0),
            figures: Figures::default(),
            lost_nodes: plan.nodes * plan.lost_percent / 100,
        };
        for (node, record) in records.iter().enumerate() {
            let mut gossip = Gossip::new(Time::ZERO, Record::clone(record), seed_addresses());
            gossip.replace_table(Time::ZERO, table.clone());
            fleet.nodes.push(Node {
                is_up: true,
                generation: 1,
                gossip,
                tickets: HashMap::new(),
                last_ticket: 0,
                known_revision: 0,
                in_force: 0,
                sent_in_second: (0, 0, 0),
            });
            let phase = fleet.rng.random_range(0..1_000);
            fleet.push(Duration::from_millis(phase % 100), Event::Tick(node, 1));
            fleet.push(Duration::from_millis(phase), Event::RenewLeases(node));
        }
        fleet
    }

    /// Schedules an event after `delay`.
    fn push(&mut self, delay: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Handles the events before `end`.
    fn run_until(&mut self, end: Time) {
        let mut next_check = self.now;
        while let Some(Reverse((time, sequence))) = self.heap.pop() {
            if time >= end {
                self.heap.push(Reverse((time, sequence)));
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle_event(event);
            }
            if self.is_counting
                && self.lost_nodes > 0
                && self.figures.loss_detected_ms.is_none()
                && time >= next_check
            {
                next_check = time + Duration::from_millis(250);
                self.check_loss_detected();
            }
        }
        self.now = end;
    }

    /// Records the time when every remaining node sees every lost node as dead.
    fn check_loss_detected(&mut self) {
        let alive = self.plan.nodes - self.lost_nodes;
        let is_detected =
            self.nodes[..alive].iter().all(|node| node.gossip.table().members().count() == alive);
        if is_detected {
            let since = self.now.saturating_sub(Duration::from_secs(5));
            self.figures.loss_detected_ms = u64::try_from(since.as_millis()).ok();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(node, generation) => {
                if !self.nodes[node].is_up || self.nodes[node].generation != generation {
                    return;
                }
                self.push(TICK_INTERVAL, Event::Tick(node, generation));
                let started = Instant::now();
                let effects = self.nodes[node].gossip.tick(self.now, &mut self.rng);
                self.cpu_time += started.elapsed();
                self.apply_effects(node, effects);
            }
            Event::RenewLeases(node) => {
                self.push(Duration::from_secs(1), Event::RenewLeases(node));
                let node = &mut self.nodes[node];
                if node.is_up {
                    node.known_revision = node
                        .known_revision
                        .max(node.gossip.record_renewal(self.now, node.known_revision));
                }
            }
            Event::ChangeCatalogue => self.change_catalogue(),
            Event::RestartNode => self.restart_node(),
            Event::StartNode(node) => self.start_node(node),
            Event::Deliver { to, from, generation, call, message } => {
                if !self.nodes[to].is_up {
                    return;
                }
                let node = &mut self.nodes[to];
                node.last_ticket += 1;
                let ticket = node.last_ticket;
                node.tickets.insert(ticket, (from, generation, call));
                let started = Instant::now();
                let effects = node.gossip.handle(self.now, ticket, message);
                self.cpu_time += started.elapsed();
                self.apply_effects(to, effects);
            }
            Event::Answer { to, generation, call, answer } => {
                if !self.nodes[to].is_up || self.nodes[to].generation != generation {
                    return;
                }
                let node = &mut self.nodes[to];
                let started = Instant::now();
                let effects = node.gossip.handle_response(self.now, &mut self.rng, call, answer);
                self.cpu_time += started.elapsed();
                self.apply_effects(to, effects);
            }
        }
    }

    /// Installs a new revision at a seed. Its delta has the size of one entry with 48 routes.
    fn change_catalogue(&mut self) {
        let revision = u64::try_from(self.change_times.len()).unwrap_or(0);
        self.change_times.push(self.now);
        let base = Position { revision, groups: 0 };
        let position = Position { revision: revision + 1, groups: 0 };
        let delta = Delta { base, position, bytes: vec![0; 2_000].into() };
        self.nodes[0].gossip.install(position, vec![delta], vec![0; 8].into());
    }

    /// Stops a random node that is not a seed, and starts it again after 3 s.
    fn restart_node(&mut self) {
        let node = self.rng.random_range(SEED_COUNT..self.plan.nodes);
        self.nodes[node].is_up = false;
        self.nodes[node].tickets.clear();
        self.push(Duration::from_secs(3), Event::StartNode(node));
    }

    /// Starts a stopped node with a new incarnation and an empty membership table.
    fn start_node(&mut self, node: usize) {
        let mut record = record(node, self.plan.servers_per_node);
        let state = &mut self.nodes[node];
        state.generation += 1;
        record.incarnation += state.generation;
        state.is_up = true;
        state.gossip = Gossip::new(self.now, record, seed_addresses());
        let generation = state.generation;
        self.push(TICK_INTERVAL, Event::Tick(node, generation));
    }

    /// Applies the effects of a gossip step, and records the revisions that came into force.
    fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Call { call, address, message, timeout } => {
                    self.send_request(node, node_index(&address), call, message, timeout);
                }
                Effect::Respond { request, response } => self.respond(node, request, response),
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
            let revision_index = usize::try_from(state.in_force).unwrap_or(usize::MAX);
            state.in_force += 1;
            // Skips a restarted node, which catches up with earlier revisions.
            if state.generation == 1
                && let Some(changed_at) = self.change_times.get(revision_index)
            {
                let delay = self.now.saturating_sub(*changed_at).as_millis();
                self.figures.in_force_delays_ms.push(u64::try_from(delay).unwrap_or(u64::MAX));
            }
        }
    }

    /// Sends a request: counts its encoded size and schedules its delivery and its timeout.
    fn send_request(&mut self, from: usize, to: usize, call: u64, message: Message, timeout: Time) {
        let generation = self.nodes[from].generation;
        let started = Instant::now();
        let wire_message = peer::Message::Gossip(message.clone().into());
        let body = codec::encode(&wire_message).unwrap_or_default();
        let is_decodable = codec::decode::<peer::Message>(&body).is_ok();
        self.cpu_time += started.elapsed();
        debug_assert!(is_decodable);
        self.count_sent(from, u64::try_from(body.len()).unwrap_or(0) + REQUEST_HEAD_BYTES, true);
        self.push(timeout, Event::Answer { to: from, generation, call, answer: None });
        let delay = self.draw_delay(from, to);
        self.push(delay, Event::Deliver { to, from, generation, call, message });
    }

    /// Sends the response to the request that has `ticket`.
    fn respond(&mut self, node: usize, ticket: u64, answer: Response) {
        let Some((to, generation, call)) = self.nodes[node].tickets.remove(&ticket) else { return };
        let started = Instant::now();
        let wire_message = peer::Answer::Gossip(answer.clone().into());
        let body = codec::encode(&wire_message).unwrap_or_default();
        let is_decodable = codec::decode::<peer::Answer>(&body).is_ok();
        self.cpu_time += started.elapsed();
        debug_assert!(is_decodable);
        self.count_sent(node, u64::try_from(body.len()).unwrap_or(0) + RESPONSE_HEAD_BYTES, false);
        let delay = self.draw_delay(node, to);
        self.push(delay, Event::Answer { to, generation, call, answer: Some(answer) });
    }

    /// Counts a message that a node sent.
    fn count_sent(&mut self, node: usize, bytes: u64, is_request: bool) {
        if !self.is_counting {
            return;
        }
        self.total_sent.0 += u64::from(is_request);
        self.total_sent.1 += bytes;
        let second = self.now.as_secs();
        let state = &mut self.nodes[node];
        if state.sent_in_second.0 != second {
            state.sent_in_second = (second, 0, 0);
        }
        state.sent_in_second.1 += bytes;
        state.sent_in_second.2 += u64::from(is_request);
        self.figures.peak_bytes_per_s = self.figures.peak_bytes_per_s.max(state.sent_in_second.1);
        self.figures.peak_requests_per_s =
            self.figures.peak_requests_per_s.max(state.sent_in_second.2);
    }

    /// Returns a one-way delay: 0.5 ms within a failure domain, 1.5 ms within a region, 20 ms
    /// between regions. A tenth of the messages take up to 10 ms more.
    fn draw_delay(&mut self, from: usize, to: usize) -> Time {
        let (from_domain, to_domain) = (from % DOMAIN_COUNT, to % DOMAIN_COUNT);
        let base = match (
            from_domain == to_domain,
            from_domain % REGION_COUNT == to_domain % REGION_COUNT,
        ) {
            (true, _) => 500,
            (false, true) => 1_500,
            (false, false) => 20_000,
        };
        let jitter = if self.rng.random_bool(0.1) { self.rng.random_range(0..10_000) } else { 0 };
        Duration::from_micros(base + jitter)
    }

    /// Returns the figures: totals become means per node and second.
    fn finish(self) -> Figures {
        let mut figures = self.figures;
        let node_seconds =
            (self.plan.nodes - self.lost_nodes) as f64 * self.plan.measured_seconds as f64;
        figures.requests_per_s = self.total_sent.0 as f64 / node_seconds;
        figures.bytes_per_s = self.total_sent.1 as f64 / node_seconds;
        figures.wire_bytes_per_s =
            figures.bytes_per_s + figures.requests_per_s * 2.0 * TCP_IP_HEADER_BYTES as f64;
        figures.cpu_us_per_s = self.cpu_time.as_secs_f64() * 1e6
            / (self.plan.nodes as f64 * (self.plan.measured_seconds + 5) as f64);
        figures.changes = self.change_times.len();
        figures.in_force_delays_ms.sort_unstable();
        figures
    }
}

fn seed_addresses() -> Vec<String> {
    (0..SEED_COUNT).map(address).collect()
}

//! Simulation of a group of replicas in virtual time, with network, disk, clock and process faults.

mod check;
mod slot;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;
use rand::RngExt;

pub(crate) use check::Checks;
pub(crate) use slot::SimulatedReplica;

/// The time between two ticks of a replica.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The faults of a schedule, and deliberate defects that the checks must detect.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// How long faults occur.
    pub(crate) duration: Duration,
    /// The approximate mean time between two faults.
    pub(crate) mean_fault_interval: Duration,
    /// The probability that a message is lost.
    pub(crate) loss_probability: f64,
    /// The largest deviation of a replica's clock rate from 1.
    pub(crate) max_clock_drift: f64,
    /// Instances are added, removed and replaced during the schedule.
    pub(crate) reconfigures: bool,
    /// Defect: a replica that lost its disk keeps its disk id, so its votes count.
    pub(crate) reuse_instance: bool,
    /// Defect: the disk reports writes as durable before they are.
    pub(crate) lying_disk: bool,
    /// Crashed processes restart within 20 ms instead of 2 s.
    pub(crate) quick_restart: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(8),
            mean_fault_interval: Duration::from_millis(400),
            loss_probability: 0.02,
            max_clock_drift: 0.01,
            reconfigures: true,
            reuse_instance: false,
            lying_disk: false,
            quick_restart: false,
        }
    }
}

/// A scheduled event; a `usize` is the position of the replica.
#[derive(Debug)]
enum Event {
    Deliver(Envelope),
    Tick(usize),
    /// A write is done: the replica, its process generation and the sequence number of the write.
    Written(usize, u64, u64),
    Restart(usize),
    Client,
    Fault,
}

/// A simulated group of replicas.
pub(crate) struct Simulation {
    pub(crate) rng: Rng,
    pub(crate) plan: Plan,
    pub(crate) now: Time,
    pub(crate) replicas: Vec<SimulatedReplica>,
    pub(crate) checks: Checks,
    /// The pairs of sender and receiver between which messages are lost.
    pub(crate) blocked_links: Vec<(usize, usize)>,
    /// The times of scheduled events, each with its key in `event_payloads`.
    events: BinaryHeap<Reverse<(Time, u64)>>,
    event_payloads: BTreeMap<u64, Event>,
    /// The key of the event scheduled last.
    last_event: u64,
    last_token: u64,
    last_disk_id: u64,
    /// When a replica last lost its disk.
    disk_lost_at: Time,
    /// The number of events handled so far.
    event_count: u64,
}

/// The names of the simulated replicas, by position.
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl Simulation {
    /// Creates three replicas that are the initial voters, and a fourth that is no member.
    pub(crate) fn new(seed: u64, plan: Plan) -> Self {
        let mut rng = rng::seeded(seed);
        let mut members = Vec::new();
        for (position, name) in NAMES[..3].iter().enumerate() {
            members.push(Member {
                id: Id { name: (*name).to_string(), disk_id: position as u64 + 1 },
                voter: true,
                replaces: None,
                addresses: String::new(),
            });
        }
        let mut replicas = Vec::new();
        for (position, name) in NAMES.iter().enumerate() {
            let id = Id { name: (*name).to_string(), disk_id: position as u64 + 1 };
            let saved = match position < 3 {
                true => DurableState::initial(id, members.clone(), Vec::new()),
                false => DurableState::empty(id),
            };
            let clock_rate = 1.0 + plan.max_clock_drift * rng.random_range(-1.0..=1.0);
            replicas.push(SimulatedReplica::new(saved, clock_rate));
        }
        let mut simulation = Self {
            rng,
            plan,
            now: Time::ZERO,
            replicas,
            checks: Checks::new(members),
            blocked_links: Vec::new(),
            events: BinaryHeap::new(),
            event_payloads: BTreeMap::new(),
            last_event: 0,
            last_token: 0,
            last_disk_id: 100,
            disk_lost_at: Time::ZERO,
            event_count: 0,
        };
        for position in 0..NAMES.len() {
            simulation.start(position);
            let offset = Duration::from_micros(simulation.rng.random_range(0..25_000));
            simulation.schedule_event(offset, Event::Tick(position));
        }
        simulation.schedule_event(Duration::from_millis(50), Event::Client);
        simulation
    }

    /// Runs the schedule with faults, then 12 s without, and returns the violations.
    pub(crate) fn run(mut self) -> Vec<String> {
        self.schedule_event(self.plan.mean_fault_interval, Event::Fault);
        let end = self.plan.duration;
        self.run_until(end);
        self.stop_faults();
        self.run_until(end + Duration::from_secs(12));
        self.checks.check_recovery(&self.replicas);
        self.checks.violations
    }

    /// Runs until `end` or the first violation.
    pub(crate) fn run_until(&mut self, end: Time) {
        while let Some(Reverse((time, key))) = self.events.peek().copied() {
            if time > end || !self.checks.violations.is_empty() {
                break;
            }
            self.events.pop();
            self.event_count += 1;
            if self.event_count > 2_000_000 {
                self.checks.add_violation(format!("more than 2,000,000 events by {time:?}"));
            }
            self.now = time;
            let Some(event) = self.event_payloads.remove(&key) else { continue };
            self.handle_event(event);
        }
        self.now = end.max(self.now);
    }

    /// Returns the position of an established leader, or `None` without one.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.node().is_some_and(Node::is_established))
    }

    /// Ends all partitions, restarts all stopped processes and prevents further faults.
    pub(crate) fn stop_faults(&mut self) {
        self.blocked_links.clear();
        self.plan.mean_fault_interval = Duration::MAX;
        self.plan.loss_probability = 0.0;
        for position in 0..self.replicas.len() {
            if self.replicas[position].node().is_none() {
                self.start(position);
            }
        }
    }

    /// Stops the process of a replica; its unfinished writes are lost from a random one on.
    pub(crate) fn crash(&mut self, position: usize) {
        let lying_disk = self.plan.lying_disk;
        self.replicas[position].crash(&mut self.rng, lying_disk);
    }

    /// Starts the process of a replica from the state on its disk.
    pub(crate) fn start(&mut self, position: usize) {
        let seed = self.rng.random();
        let known_names = NAMES.iter().map(|name| (*name).to_string()).collect();
        self.replicas[position].start(seed, self.now, known_names);
    }

    /// Replaces the disk of a replica by an empty one and restarts the process.
    pub(crate) fn lose_disk(&mut self, position: usize) {
        self.crash(position);
        self.disk_lost_at = self.now;
        let mut id = self.replicas[position].id().clone();
        if !self.plan.reuse_instance {
            self.last_disk_id += 1;
            id.disk_id = self.last_disk_id;
        }
        self.replicas[position].replace_disk(DurableState::empty(id));
        self.start(position);
    }

    /// Drops all messages from and to a replica.
    pub(crate) fn isolate(&mut self, position: usize) {
        for other in 0..self.replicas.len() {
            self.blocked_links.push((position, other));
            self.blocked_links.push((other, position));
        }
    }

    /// Passes an input to a replica, carries out the effects and checks the leader invariants.
    pub(crate) fn step(&mut self, position: usize, input: Input) {
        let local_time = self.replicas[position].local_time(self.now);
        let effects = self.replicas[position].step(local_time, input);
        for effect in effects {
            self.apply_effect(position, effect);
        }
        self.checks.check_leader(position, &self.replicas, self.now);
    }

    fn apply_effect(&mut self, position: usize, effect: Effect) {
        match effect {
            Effect::Send(envelope) => self.send(position, &envelope),
            Effect::Write { sequence, write } => {
                let is_slow = self.rng.random_bool(0.01);
                let max_delay_us = if is_slow { 400_000 } else { 8_000 };
                let delay = Duration::from_micros(self.rng.random_range(500..max_delay_us));
                let at = self.replicas[position].queue_write(sequence, write, self.now + delay);
                let process_generation = self.replicas[position].process_generation();
                self.schedule_event(at, Event::Written(position, process_generation, sequence));
            }
            other => self.checks.handle_effect(position, &mut self.replicas, other),
        }
    }

    fn send(&mut self, from: usize, envelope: &Envelope) {
        let Some(to) = NAMES.iter().position(|name| *name == envelope.to.name) else { return };
        if self.blocked_links.contains(&(from, to))
            || self.rng.random_bool(self.plan.loss_probability)
        {
            return;
        }
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = self.rng.random_bool(0.01);
            let max_delay_us = if is_late { 1_500_000 } else { 4_000 };
            let delay = Duration::from_micros(self.rng.random_range(500..max_delay_us));
            self.schedule_event(self.now + delay, Event::Deliver(envelope.clone()));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => {
                let to = NAMES.iter().position(|name| *name == envelope.to.name).unwrap_or(0);
                if self.replicas[to].node().is_none() {
                    return;
                }
                self.replicas[to].record_acknowledgement(self.now, &envelope);
                self.step(to, Input::Message(envelope));
            }
            Event::Tick(position) => {
                self.schedule_event(self.now + TICK_INTERVAL, Event::Tick(position));
                if self.replicas[position].node().is_some() {
                    self.step(position, Input::Tick);
                }
            }
            Event::Written(position, process_generation, sequence) => {
                if self.replicas[position].complete(process_generation, sequence) {
                    self.step(position, Input::Written(sequence));
                }
            }
            Event::Restart(position) => {
                if self.replicas[position].node().is_none() {
                    self.start(position);
                }
            }
            Event::Client => self.send_client_request(),
            Event::Fault => self.inject_fault(),
        }
    }

    fn send_client_request(&mut self) {
        if self.now > self.plan.duration + Duration::from_secs(6) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(5_000..80_000));
        self.schedule_event(self.now + delay, Event::Client);
        let position = self.rng.random_range(0..self.replicas.len());
        if self.replicas[position].node().is_none() {
            return;
        }
        self.last_token += 1;
        let token = self.last_token;
        match self.rng.random_range(0..20u8) {
            0..8 => {
                let leader = self.leader().unwrap_or(position);
                self.step(leader, Input::Propose { token, command: token.to_le_bytes().to_vec() });
            }
            8..18 => {
                self.checks.record_read_start(token);
                self.step(position, Input::Read { token });
            }
            18 => self.compact(position),
            _ => self.reconfigure(token),
        }
    }

    fn compact(&mut self, position: usize) {
        let replica = &self.replicas[position];
        let Some(index) = replica.node().map(Node::applied_index) else { return };
        let payload = replica.encode_state();
        self.step(position, Input::Compact { index, payload });
    }

    fn reconfigure(&mut self, token: u64) {
        let Some(leader) = self.leader() else { return };
        let members = self.replicas[leader].node().map(|node| node.members().to_vec());
        let members = members.unwrap_or_default();
        // A removal right after the loss of a disk, before the leader can detect the loss, would
        // take away a second voter.
        if !self.plan.reconfigures
            || !self.rng.random_bool(0.3)
            || self.now < self.disk_lost_at + Duration::from_secs(1)
        {
            return;
        }
        let random_member = members[self.rng.random_range(0..members.len())].id.name.clone();
        let absent_name =
            NAMES.iter().find(|name| members.iter().all(|member| member.id.name != **name));
        let change = match absent_name {
            Some(name) => Reconfigure::Add {
                name: (*name).to_string(),
                addresses: String::new(),
                replaces: self.rng.random_bool(0.5).then_some(random_member),
            },
            None => Reconfigure::Remove { name: random_member },
        };
        self.step(leader, Input::Reconfigure { token, change });
    }

    fn inject_fault(&mut self) {
        if self.plan.mean_fault_interval == Duration::MAX {
            return;
        }
        let mean_us = u64::try_from(self.plan.mean_fault_interval.as_micros()).unwrap_or(u64::MAX);
        let delay = Duration::from_micros(self.rng.random_range(mean_us / 4..mean_us * 2));
        self.schedule_event(self.now + delay, Event::Fault);
        let position = match (self.leader(), self.rng.random_bool(0.4)) {
            (Some(leader), true) => leader,
            _ => self.rng.random_range(0..self.replicas.len()),
        };
        let other = self.rng.random_range(0..self.replicas.len());
        match self.rng.random_range(0..10u8) {
            0..3 => {
                self.crash(position);
                let max_delay_ms = if self.plan.quick_restart { 20 } else { 2_000 };
                let delay = Duration::from_millis(self.rng.random_range(1..max_delay_ms));
                self.schedule_event(self.now + delay, Event::Restart(position));
            }
            3 => self.isolate(position),
            4..6 => self.blocked_links.push((position, other)),
            6..9 => self.blocked_links.clear(),
            _ => {
                if self.checks.can_lose_disk(position, &self.replicas) {
                    self.lose_disk(position);
                }
            }
        }
    }

    fn schedule_event(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event)));
        self.event_payloads.insert(self.last_event, event);
    }
}

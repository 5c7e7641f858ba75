//! A group of replicas under virtual time with faults of network, disks, clocks and processes.

mod check;
mod slot;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;
use rand::RngExt;

pub(crate) use check::Checks;
pub(crate) use slot::Slot;

const TICK: Duration = Duration::from_millis(25);

/// What a schedule may do, and deliberate defects that the checks must notice.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) length: Duration,
    /// The mean time between two faults.
    pub(crate) fault_every: Duration,
    pub(crate) loss: f64,
    pub(crate) clock_drift: f64,
    /// Instances are added, removed and replaced meanwhile.
    pub(crate) reconfigures: bool,
    /// An empty replica keeps the instance number of the lost disk, so its votes count.
    pub(crate) reuse_instance: bool,
    /// The disk reports writes as durable before they are.
    pub(crate) lying_disk: bool,
    /// A process that restarts does so within milliseconds.
    pub(crate) quick_restart: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(8),
            fault_every: Duration::from_millis(400),
            loss: 0.02,
            clock_drift: 0.01,
            reconfigures: true,
            reuse_instance: false,
            lying_disk: false,
            quick_restart: false,
        }
    }
}

#[derive(Debug)]
enum Event {
    Deliver(Envelope),
    Tick(usize),
    Written(usize, u64, u64),
    Restart(usize),
    Client,
    Fault,
}

/// The whole simulated group.
pub(crate) struct World {
    pub(crate) rng: Rng,
    pub(crate) plan: Plan,
    pub(crate) now: Time,
    pub(crate) slots: Vec<Slot>,
    pub(crate) checks: Checks,
    pub(crate) blocked: Vec<(usize, usize)>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payloads: BTreeMap<u64, Event>,
    next_event: u64,
    next_token: u64,
    next_instance: u64,
    disk_lost: Time,
    count: u64,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl World {
    /// Creates three replicas that hold the first membership, and a fourth outside.
    pub(crate) fn new(seed: u64, plan: Plan) -> Self {
        let mut rng = rng::seeded(seed);
        let mut members = Vec::new();
        for (position, name) in NAMES[..3].iter().enumerate() {
            members.push(Member {
                id: Id { name: (*name).to_string(), instance: position as u64 + 1 },
                voter: true,
                replaces: None,
                contact: String::new(),
            });
        }
        let mut slots = Vec::new();
        for (position, name) in NAMES.iter().enumerate() {
            let id = Id { name: (*name).to_string(), instance: position as u64 + 1 };
            let saved = match position < 3 {
                true => Saved::founded(id, members.clone(), Vec::new()),
                false => Saved::empty(id),
            };
            let rate = 1.0 + plan.clock_drift * rng.random_range(-1.0..=1.0);
            slots.push(Slot::new(saved, rate));
        }
        let mut world = Self {
            rng,
            plan,
            now: Time::ZERO,
            slots,
            checks: Checks::new(members),
            blocked: Vec::new(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
            next_instance: 100,
            disk_lost: Time::ZERO,
            count: 0,
        };
        for position in 0..NAMES.len() {
            world.start(position);
            let offset = Duration::from_micros(world.rng.random_range(0..25_000));
            world.schedule(offset, Event::Tick(position));
        }
        world.schedule(Duration::from_millis(50), Event::Client);
        world
    }

    /// Runs the schedule with faults, then without, and returns the violations.
    pub(crate) fn run(mut self) -> Vec<String> {
        self.schedule(self.plan.fault_every, Event::Fault);
        let end = self.plan.length;
        self.run_until(end);
        self.heal();
        self.run_until(end + Duration::from_secs(12));
        self.checks.finish(&self.slots);
        self.checks.violations
    }

    /// Runs until `end` or the first violation.
    pub(crate) fn run_until(&mut self, end: Time) {
        while let Some(Reverse((time, key))) = self.events.peek().copied() {
            if time > end || !self.checks.violations.is_empty() {
                break;
            }
            self.events.pop();
            self.count += 1;
            if self.count > 2_000_000 {
                self.checks.violate(format!("more than 2,000,000 events by {time:?}"));
            }
            self.now = time;
            let Some(event) = self.payloads.remove(&key) else { continue };
            self.handle(event);
        }
        self.now = end.max(self.now);
    }

    /// Returns the position of an established leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.slots.iter().position(|slot| slot.node().is_some_and(Node::is_established))
    }

    /// Ends all partitions, restarts what is down and stops further faults.
    pub(crate) fn heal(&mut self) {
        self.blocked.clear();
        self.plan.fault_every = Duration::MAX;
        self.plan.loss = 0.0;
        for position in 0..self.slots.len() {
            if self.slots[position].node().is_none() {
                self.start(position);
            }
        }
    }

    /// Stops the process of a replica; unfinished writes are lost from some point on.
    pub(crate) fn crash(&mut self, position: usize) {
        let lying = self.plan.lying_disk;
        self.slots[position].crash(&mut self.rng, lying);
    }

    /// Starts the process of a replica from its disk.
    pub(crate) fn start(&mut self, position: usize) {
        let seed = self.rng.random();
        let known = NAMES.iter().map(|name| (*name).to_string()).collect();
        self.slots[position].start(seed, self.now, known);
    }

    /// Replaces the disk of a replica by an empty one and restarts the process.
    pub(crate) fn lose_disk(&mut self, position: usize) {
        self.crash(position);
        self.disk_lost = self.now;
        let mut id = self.slots[position].id().clone();
        if !self.plan.reuse_instance {
            self.next_instance += 1;
            id.instance = self.next_instance;
        }
        self.slots[position].replace_disk(Saved::empty(id));
        self.start(position);
    }

    /// Cuts a replica off in both directions.
    pub(crate) fn isolate(&mut self, position: usize) {
        for other in 0..self.slots.len() {
            self.blocked.push((position, other));
            self.blocked.push((other, position));
        }
    }

    /// Passes an input to a replica and carries out what it wants.
    pub(crate) fn step(&mut self, position: usize, input: Input) {
        let local = self.slots[position].local(self.now);
        let effects = self.slots[position].step(local, input);
        for effect in effects {
            self.carry_out(position, effect);
        }
        self.checks.observe(position, &self.slots, self.now);
    }

    fn carry_out(&mut self, position: usize, effect: Effect) {
        match effect {
            Effect::Send(envelope) => self.send(position, &envelope),
            Effect::Write { sequence, write } => {
                let slow = self.rng.random_bool(0.01);
                let limit = if slow { 400_000 } else { 8_000 };
                let delay = Duration::from_micros(self.rng.random_range(500..limit));
                let at = self.slots[position].queue(sequence, write, self.now + delay);
                let life = self.slots[position].life();
                self.schedule(at, Event::Written(position, life, sequence));
            }
            other => self.checks.effect(position, &mut self.slots, other),
        }
    }

    fn send(&mut self, from: usize, envelope: &Envelope) {
        let Some(to) = NAMES.iter().position(|name| *name == envelope.to.name) else { return };
        if self.blocked.contains(&(from, to)) || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_bool(0.01);
            let limit = if late { 1_500_000 } else { 4_000 };
            let delay = Duration::from_micros(self.rng.random_range(500..limit));
            self.schedule(self.now + delay, Event::Deliver(envelope.clone()));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => {
                let to = NAMES.iter().position(|name| *name == envelope.to.name).unwrap_or(0);
                if self.slots[to].node().is_none() {
                    return;
                }
                self.slots[to].note_received(self.now, &envelope);
                self.step(to, Input::Message(envelope));
            }
            Event::Tick(position) => {
                self.schedule(self.now + TICK, Event::Tick(position));
                if self.slots[position].node().is_some() {
                    self.step(position, Input::Tick);
                }
            }
            Event::Written(position, life, sequence) => {
                if self.slots[position].complete(life, sequence) {
                    self.step(position, Input::Written(sequence));
                }
            }
            Event::Restart(position) => {
                if self.slots[position].node().is_none() {
                    self.start(position);
                }
            }
            Event::Client => self.client(),
            Event::Fault => self.fault(),
        }
    }

    fn client(&mut self) {
        if self.now > self.plan.length + Duration::from_secs(6) {
            return;
        }
        let pause = Duration::from_micros(self.rng.random_range(5_000..80_000));
        self.schedule(self.now + pause, Event::Client);
        let position = self.rng.random_range(0..self.slots.len());
        if self.slots[position].node().is_none() {
            return;
        }
        self.next_token += 1;
        let token = self.next_token;
        match self.rng.random_range(0..20u8) {
            0..8 => {
                let leader = self.leader().unwrap_or(position);
                self.step(leader, Input::Propose { token, command: token.to_le_bytes().to_vec() });
            }
            8..18 => {
                self.checks.begin_read(token);
                self.step(position, Input::Read { token });
            }
            18 => self.compact(position),
            _ => self.reconfigure(token),
        }
    }

    fn compact(&mut self, position: usize) {
        let slot = &self.slots[position];
        let Some(index) = slot.node().map(Node::applied) else { return };
        let payload = slot.machine_bytes();
        self.step(position, Input::Compact { index, payload });
    }

    fn reconfigure(&mut self, token: u64) {
        let Some(leader) = self.leader() else { return };
        let members = self.slots[leader].node().map(|node| node.members().to_vec());
        let members = members.unwrap_or_default();
        // A removal right after the loss of a disk, before the leader can notice it, takes a second
        // voter away.
        if !self.plan.reconfigures
            || !self.rng.random_bool(0.3)
            || self.now < self.disk_lost + Duration::from_secs(1)
        {
            return;
        }
        let any = members[self.rng.random_range(0..members.len())].id.name.clone();
        let absent = NAMES.iter().find(|name| members.iter().all(|known| known.id.name != **name));
        let change = match absent {
            Some(name) => Reconfigure::Add {
                name: (*name).to_string(),
                contact: String::new(),
                replaces: self.rng.random_bool(0.5).then_some(any),
            },
            None => Reconfigure::Remove { name: any },
        };
        self.step(leader, Input::Reconfigure { token, change });
    }

    fn fault(&mut self) {
        if self.plan.fault_every == Duration::MAX {
            return;
        }
        let mean = u64::try_from(self.plan.fault_every.as_micros()).unwrap_or(u64::MAX);
        let pause = Duration::from_micros(self.rng.random_range(mean / 4..mean * 2));
        self.schedule(self.now + pause, Event::Fault);
        let position = match (self.leader(), self.rng.random_bool(0.4)) {
            (Some(leader), true) => leader,
            _ => self.rng.random_range(0..self.slots.len()),
        };
        let other = self.rng.random_range(0..self.slots.len());
        match self.rng.random_range(0..10u8) {
            0..3 => {
                self.crash(position);
                let limit = if self.plan.quick_restart { 20 } else { 2_000 };
                let pause = Duration::from_millis(self.rng.random_range(1..limit));
                self.schedule(self.now + pause, Event::Restart(position));
            }
            3 => self.isolate(position),
            4..6 => self.blocked.push((position, other)),
            6..9 => self.blocked.clear(),
            _ => {
                if self.checks.may_lose_disk(position, &self.slots) {
                    self.lose_disk(position);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.payloads.insert(self.next_event, event);
    }
}

//! A simulation of a small service that many entries share while some of its servers fail.
//!
//! Each entry sends the service so little that what it knows about the servers is old, and the healthy
//! servers have hardly more slots than the requests need. The real picker, attempts, gates, streaks and
//! budgets decide; there is no network, hops are delays.

pub mod command;
mod entry;
mod owner;

use std::time::Duration;

use arbutuslane_balance::candidate::{Candidate, Load};
use arbutuslane_balance::picker::Picker;
use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_health::streak::Streak;
use arbutuslane_limit::acceptance::Acceptance;
use arbutuslane_limit::attempts::{Attempts, Effort};
use arbutuslane_limit::avoidance::AvoidedServers;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::gate::{Gate, Ticket};
use arbutuslane_limit::repeats::{Limit, Part};
use arbutuslane_limit::tried::TriedServers;
use rand::RngExt;

use crate::event_queue::{Queue, Slab};
use crate::sample::{Shape, exponential};
use crate::service::DOMAINS;

/// One kind of requests to the service.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// The class.
    pub class: Class,
    /// The rank; 0 has the highest priority.
    pub rank: u8,
    /// The arrivals in a second at all entries.
    pub per_second: f64,
    /// The median service time.
    pub service_time: Duration,
    /// The time within which a response has its full value.
    pub objective: Duration,
    /// The time after which a response has no value.
    pub timeout: Duration,
}

/// The settings of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of servers, each with one owner.
    pub servers: usize,
    /// The number of requests that a server runs at a time.
    pub slots: u32,
    /// The number of entries.
    pub entries: usize,
    /// The number of servers that fail at any time.
    pub failing: usize,
    /// The time after which other servers fail.
    pub failing_period: Duration,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The most servers that a request may be sent to.
    pub attempts: u32,
    /// The length of the run.
    pub length: Duration,
    /// The seed of all random choices.
    pub seed: u64,
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fate {
    /// The requests that arrived.
    pub offered: u64,
    /// Responses within the objective.
    pub in_time: u64,
    /// Later responses.
    pub late: u64,
    /// Requests whose last server failed them.
    pub failed: u64,
    /// Requests that did not run.
    pub refused: u64,
}

/// The figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What became of the requests, by kind.
    pub fates: Vec<Fate>,
    /// The requests that reached servers beyond the first run of each.
    pub repeats: u64,
    /// The questions that entries asked owners.
    pub questions: u64,
}

impl Fate {
    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.refused += other.refused;
    }

    /// Returns the share of the requests that were answered within the objective.
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.offered as f64).max(1.0)
    }
}

/// The share of its requests that a failing server fails.
const FAILING_SHARE: f64 = 0.85;

/// The time after which a failing server responds with an error.
const FAILURE_TIME: Duration = Duration::from_millis(1);

/// The share of its requests that a healthy server fails.
const HEALTHY_FAILURE_SHARE: f64 = 0.012;

/// The deviation of the logarithm of a service time.
const SERVICE_TIME_SIGMA: f64 = 0.3;

/// The longest queue of an owner, for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// The limit on repeats of the fleet.
const REPEAT_LIMIT: Limit = Limit { ratio: 0.2, slack: 64.0, window: Duration::from_secs(10) };

impl Plan {
    /// Returns a service of 9 servers, a third of which fail, and 33 entries, where `load` is the share
    /// of the healthy servers' slots that the requests occupy. Lookups of the lowest rank, which may run
    /// twice, take five parts of seven of it, and bookings the rest.
    pub fn small_service(load: f64, seed: u64) -> Self {
        let (servers, failing, slots) = (9, 3, 5);
        let objective = Duration::from_millis(1_500);
        let lookup = Kind {
            class: Class::Idempotent,
            rank: 2,
            per_second: 0.0,
            service_time: Duration::from_millis(600),
            objective,
            timeout: Duration::from_secs(3),
        };
        let booking = Kind {
            class: Class::NonIdempotent,
            rank: 1,
            per_second: 0.0,
            service_time: Duration::from_millis(500),
            objective,
            timeout: Duration::from_secs(4),
        };
        let mut plan = Self {
            servers,
            slots,
            entries: 33,
            failing,
            failing_period: Duration::from_secs(9),
            kinds: vec![booking, lookup],
            attempts: 2,
            length: Duration::from_secs(36),
            seed,
        };
        let work = load * f64::from(plan.healthy_slots());
        for (kind, parts) in plan.kinds.iter_mut().zip([2.0, 5.0]) {
            kind.per_second = work * parts / 7.0 / mean(kind.service_time).as_secs_f64();
        }
        plan
    }

    /// Changes the number of failing servers, and the arrivals so that the load of the healthy ones stays
    /// the same.
    pub fn set_failing(&mut self, failing: usize) {
        let before = f64::from(self.healthy_slots());
        self.failing = failing;
        let factor = f64::from(self.healthy_slots()) / before;
        for kind in &mut self.kinds {
            kind.per_second *= factor;
        }
    }

    /// Returns the number of slots of the servers that do not fail.
    pub fn healthy_slots(&self) -> u32 {
        u32::try_from(self.servers - self.failing).unwrap_or(u32::MAX) * self.slots
    }
}

impl Outcome {
    /// Returns the time of servers that went into responses within the objective, as a share of what the
    /// healthy servers have.
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    pub fn goodput(&self, plan: &Plan) -> f64 {
        let mut work = 0.0;
        for (kind, fate) in plan.kinds.iter().zip(&self.fates) {
            work += fate.in_time as f64 * mean(kind.service_time).as_secs_f64();
        }
        work / (f64::from(plan.healthy_slots()) * plan.length.as_secs_f64())
    }
}

/// Returns the mean of service times with this median.
fn mean(median: Duration) -> Duration {
    median.mul_f64((SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp())
}

/// Simulates `plan` and returns the figures.
pub fn run(plan: &Plan) -> Outcome {
    let mut sim = Sim::new(plan);
    while let Some((now, event)) = sim.queue.pop() {
        sim.now = now;
        sim.handle(event);
    }
    sim.outcome
}

/// An event of the simulation. The numbers are indices of kinds, attempts or servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    ReachedOwner(usize),
    ServiceEnded(usize),
    ReachedEntry(usize),
}

#[derive(Debug)]
struct Entry {
    domain: usize,
    picker: Picker,
    acceptance: Acceptance,
    avoided: AvoidedServers,
}

#[derive(Debug)]
struct Owner {
    name: String,
    domain: usize,
    gate: Gate,
    streak: Streak,
    repeats: Part,
    /// The attempts that run or are queued.
    admitted: Vec<(Ticket, usize)>,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    entry: usize,
    arrived: Time,
    deadline: Deadline,
    attempts: Attempts,
    tried: TriedServers,
}

#[derive(Debug, Clone)]
struct Attempt {
    request: usize,
    server: usize,
    effort: Effort,
    is_repeat: bool,
    started: Time,
    result: Option<AttemptResult>,
    load: Option<Load>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptResult {
    Answered { latency: Duration, success: bool },
    Full(Duration),
    Suspect(Duration),
    RepeatLimit,
}

struct Sim<'a> {
    plan: &'a Plan,
    now: Time,
    rng: Rng,
    queue: Queue<Event>,
    entries: Vec<Entry>,
    owners: Vec<Owner>,
    requests: Slab<Request>,
    attempts: Slab<Attempt>,
    /// Which servers fail, by period.
    failing: Vec<Vec<usize>>,
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    fn new(plan: &'a Plan) -> Self {
        let mut rng = rng::seeded(plan.seed);
        let candidates: Vec<Candidate> = (0..plan.servers)
            .map(|index| {
                let (name, domain) = (format!("s{index:02}"), format!("d{}", index % DOMAINS));
                Candidate::new(name.clone(), &name, &domain, plan.slots)
            })
            .collect();
        let slots = plan.slots as usize;
        let owners = candidates.iter().enumerate().map(|(index, candidate)| Owner {
            name: candidate.server.clone(),
            domain: index % DOMAINS,
            gate: Gate::new(slots, slots * QUEUE_PER_SLOT),
            streak: Streak::default(),
            repeats: part(plan.servers),
            admitted: Vec::new(),
        });
        let owners = owners.collect();
        let mut entries = Vec::new();
        for index in 0..plan.entries {
            let domain = index % DOMAINS;
            let mut picker = Picker::new(format!("d{domain}"));
            picker.set_candidates(candidates.clone());
            let (acceptance, avoided) = (Acceptance::default(), AvoidedServers::default());
            entries.push(Entry { domain, picker, acceptance, avoided });
        }
        let failing = failing_servers(plan, &mut rng);
        let mut sim = Self {
            plan,
            now: Time::ZERO,
            rng,
            queue: Queue::default(),
            entries,
            owners,
            requests: Slab::new(),
            attempts: Slab::new(),
            failing,
            outcome: Outcome {
                fates: vec![Fate::default(); plan.kinds.len()],
                ..Outcome::default()
            },
        };
        for kind in 0..plan.kinds.len() {
            sim.push_arrival(kind);
        }
        sim
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.handle_arrival(kind),
            Event::ReachedOwner(attempt) => self.handle_at_owner(attempt),
            Event::ServiceEnded(attempt) => self.finish_service(attempt),
            Event::ReachedEntry(attempt) => self.handle_at_entry(attempt),
        }
    }

    fn push_arrival(&mut self, kind: usize) {
        let wait = exponential(1.0 / self.plan.kinds[kind].per_second, &mut self.rng);
        let at = self.now + Duration::from_secs_f64(wait);
        if at < self.plan.length {
            self.queue.push(at, Event::Arrival(kind));
        }
    }

    /// Returns whether `server` fails most of its requests now.
    fn is_failing(&self, server: usize) -> bool {
        let periods = self.now.as_nanos() / self.plan.failing_period.as_nanos().max(1);
        let period = usize::try_from(periods).unwrap_or(usize::MAX).min(self.failing.len() - 1);
        self.failing[period].contains(&server)
    }

    /// Returns the one-way delay between an entry and the owner of a server.
    fn hop_delay(&self, entry: usize, server: usize) -> Duration {
        match self.entries[entry].domain == self.owners[server].domain {
            true => LOCAL_HOP_DELAY,
            false => REMOTE_HOP_DELAY,
        }
    }

    /// Draws the service time of a request at a healthy server.
    fn service_time(&mut self, kind: usize) -> Duration {
        let shape = Shape {
            median: self.plan.kinds[kind].service_time.as_secs_f64(),
            sigma: SERVICE_TIME_SIGMA,
            tail_share: 0.01,
            tail_exponent: 1.5,
            tail_limit: 3.0,
        };
        Duration::from_secs_f64(shape.draw(&mut self.rng))
    }
}

/// Returns the part of one of `servers` owners.
fn part(servers: usize) -> Part {
    let mut part = Part::new(REPEAT_LIMIT, Time::ZERO);
    part.set_owners(servers, Time::ZERO);
    part
}

/// The one-way delay within a failure domain, with the time that a node takes to handle a message.
const LOCAL_HOP_DELAY: Duration = Duration::from_micros(500);

/// The one-way delay between failure domains, likewise.
const REMOTE_HOP_DELAY: Duration = Duration::from_micros(1_000);

/// Draws the servers that fail in each period.
fn failing_servers(plan: &Plan, rng: &mut Rng) -> Vec<Vec<usize>> {
    let periods = plan.length.as_nanos() / plan.failing_period.as_nanos().max(1) + 1;
    let mut failing = Vec::new();
    for _ in 0..periods {
        let mut servers: Vec<usize> = (0..plan.servers).collect();
        while servers.len() > plan.failing {
            let index = rng.random_range(0..servers.len());
            servers.swap_remove(index);
        }
        failing.push(servers);
    }
    failing
}

//! A simulation of loads beyond the slots of a service, in each order of its gates.
//!
//! The real gates decide, in virtual time; there is no network. A request asks some owners and waits at the
//! one with the shortest predicted wait.

pub mod command;
pub mod scenario;

use std::fmt;
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_limit::prelude::*;
use rand::RngExt;

use scenario::{Scenario, Source};

/// The number of servers, each with an owner.
const SERVERS: usize = 4;

/// The number of requests that a server runs at a time.
const SLOTS: usize = 11;

/// The longest queue of an owner, for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// The virtual time between two steps.
const STEP: Duration = Duration::from_millis(5);

/// The number of owners that a request asks.
const ASKED: usize = 3;

/// What became of some requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fate {
    /// The requests that arrived.
    pub offered: f64,
    /// Responses within the objective, or for calls within the time limit.
    pub in_time: f64,
    /// Later responses within the time limit.
    pub late: f64,
    /// Requests that did not run, or ended after the time limit.
    pub refused: f64,
    /// The seconds until the requests were refused, in all.
    pub refused_after: f64,
    /// The requests of which calls were sent, or that were sent themselves.
    pub wholes: f64,
    /// Those that were answered in time, with all their calls.
    pub wholes_in_time: f64,
}

impl Fate {
    /// Returns the share of the requests that were answered in time.
    pub fn share(&self) -> f64 {
        self.in_time / self.offered.max(1.0)
    }

    /// Returns the share of the requests that were answered in time with all their calls.
    pub fn whole_share(&self) -> f64 {
        self.wholes_in_time / self.wholes.max(1.0)
    }

    /// Returns what became of all requests of `fates`.
    pub fn sum<'a>(fates: impl IntoIterator<Item = &'a Self>) -> Self {
        fates.into_iter().fold(Self::default(), |sum, fate| Self {
            offered: sum.offered + fate.offered,
            in_time: sum.in_time + fate.in_time,
            late: sum.late + fate.late,
            refused: sum.refused + fate.refused,
            refused_after: sum.refused_after + fate.refused_after,
            wholes: sum.wholes + fate.wholes,
            wholes_in_time: sum.wholes_in_time + fate.wholes_in_time,
        })
    }
}

impl fmt::Display for Fate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: f64| count / self.offered.max(1.0);
        write!(
            f,
            "{} | {:.3} | {:.3} | {:.3} | {:.2} s | {:.3}",
            self.offered,
            self.share(),
            share(self.late),
            share(self.refused),
            self.refused_after / self.refused.max(1.0),
            self.whole_share()
        )
    }
}

/// The figures of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// What became of the requests of each group.
    pub fates: Vec<Fate>,
    /// How often a slot was idle while requests waited for it.
    pub idle: u64,
}

/// Runs a scenario for `length`.
pub fn run(scenario: &Scenario, order: Order, length: Duration, seed: u64) -> Outcome {
    let sources: Vec<(usize, Source)> = scenario.sources();
    let gate = Gate::new(SLOTS, QUEUE_PER_SLOT * SLOTS).with_order(order);
    let mut service = Service {
        sources: &sources,
        order,
        gates: vec![gate; SERVERS],
        pending: Vec::new(),
        outcome: Outcome { fates: vec![Fate::default(); scenario.groups.len()], idle: 0 },
        wholes: Vec::new(),
        rng: rng::seeded(seed),
    };
    let mut now = Time::ZERO;
    while now < length || !service.pending.is_empty() {
        now += STEP;
        service.advance(now);
        if now < length {
            service.send_all(now);
        }
    }
    for (source, in_time) in &service.wholes {
        let (group, source) = &sources[*source];
        let fate = &mut service.outcome.fates[*group];
        fate.wholes += 1.0;
        if *in_time == source.sent_together() {
            fate.wholes_in_time += 1.0;
        }
    }
    service.outcome
}

#[derive(Debug, Clone, Copy)]
struct Request {
    source: usize,
    arrived: Time,
    server: usize,
    ticket: Ticket,
    work: Duration,
    ends_at: Option<Time>,
    /// The number of the request that this one is a call of, or that it is itself.
    whole: usize,
}

/// The servers of a service and the requests at them.
struct Service<'a> {
    /// The sources of requests, each with the number of its group.
    sources: &'a [(usize, Source)],
    order: Order,
    gates: Vec<Gate>,
    pending: Vec<Request>,
    outcome: Outcome,
    /// The source of each request, and how many of its calls were answered in time.
    wholes: Vec<(usize, u32)>,
    rng: Rng,
}

impl Service<'_> {
    /// Sends the requests that arrive within one step.
    fn send_all(&mut self, now: Time) {
        for (index, (_, source)) in self.sources.iter().enumerate() {
            let probability = source.per_second(SERVERS * SLOTS, now) * STEP.as_secs_f64();
            if self.rng.random::<f64>() >= probability {
                continue;
            }
            self.wholes.push((index, 0));
            for _ in 0..source.sent_together() {
                self.send(index, now);
            }
        }
    }

    /// Sends a request to the owner with the shortest wait of some.
    fn send(&mut self, index: usize, now: Time) {
        let (_, source) = self.sources[index];
        let whole = self.wholes.len() - 1;
        self.fate(index).offered += 1.0;
        let arrival = self.arrival(&source, whole, now);
        let first = self.rng.random_range(0..SERVERS);
        let asked = (0..ASKED).map(|step| (first + step) % SERVERS);
        let wait = |server: &usize| {
            let gate = &self.gates[*server];
            (gate.predicted_wait(&arrival, now), gate.queued(), gate.in_flight())
        };
        let server = asked.min_by_key(wait).unwrap_or(first);
        let work = source.work.mul_f64(self.rng.random_range(0.6..1.4));
        let gate = &mut self.gates[server];
        let (ticket, ends_at, displaced) = match gate.arrive(now, arrival) {
            Admission::Run(ticket) => (ticket, Some(now + work), None),
            Admission::Queued { ticket, displaced } => (ticket, None, displaced),
            Admission::Refused(_) => return self.fate(index).refused += 1.0,
        };
        let shed = gate.take_shed().into_iter().map(|shed| shed.ticket);
        let removed: Vec<Ticket> = shed.chain(displaced).collect();
        let request = Request { source: index, arrived: now, server, ticket, work, ends_at, whole };
        self.pending.push(request);
        self.refuse(server, &removed, now);
    }

    fn arrival(&self, source: &Source, whole: usize, now: Time) -> Arrival {
        let is_call = source.calls > 0;
        let rank = match self.order {
            // The order of priority gives all calls the highest rank.
            Order::Priority if is_call => 0,
            _ => source.rank,
        };
        Arrival {
            kind: u64::from(source.work.subsec_millis()),
            rank,
            precedence: if is_call { hash::of_bytes(&whole.to_be_bytes()) } else { 0 },
            due: now + source.due_after(),
            deadline: Deadline::after(now, source.timeout),
            workspace: source.workspace,
            weight: 1,
            is_call,
        }
    }

    /// Ends the requests whose work is done and starts queued ones in their slots.
    fn advance(&mut self, now: Time) {
        let is_done = |request: &&Request| request.ends_at.is_some_and(|ends_at| ends_at <= now);
        let done: Vec<Request> = self.pending.iter().filter(is_done).copied().collect();
        for request in done {
            let Request { source, server, ticket, arrived, whole, .. } = request;
            self.pending.retain(|other| (other.server, other.ticket) != (server, ticket));
            let took = now - arrived;
            let (_, described) = self.sources[source];
            if took <= described.due_after() {
                self.fate(source).in_time += 1.0;
                self.wholes[whole].1 += 1;
            } else if took <= described.timeout {
                self.fate(source).late += 1.0;
            } else {
                self.fate(source).refused += 1.0;
            }
            let change = self.gates[server].finish(ticket, now);
            self.apply(server, &change, now);
        }
        for server in 0..SERVERS {
            let refuse = self.gates[server].expire(now);
            self.refuse(server, &refuse, now);
        }
    }

    fn apply(&mut self, server: usize, change: &QueueChange, now: Time) {
        for request in &mut self.pending {
            if request.server == server && change.start.contains(&request.ticket) {
                request.ends_at = Some(now + request.work);
            }
        }
        let shed = change.shed.iter().map(|shed| &shed.ticket);
        let removed: Vec<Ticket> = change.refuse.iter().chain(shed).copied().collect();
        self.refuse(server, &removed, now);
        let gate = &self.gates[server];
        if gate.queued() > 0 && gate.in_flight() < gate.slots() {
            self.outcome.idle += 1;
        }
    }

    fn refuse(&mut self, server: usize, tickets: &[Ticket], now: Time) {
        let (refused, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|request| request.server == server && tickets.contains(&request.ticket));
        self.pending = pending;
        let refused: Vec<Request> = refused;
        for request in refused {
            let fate = self.fate(request.source);
            fate.refused += 1.0;
            fate.refused_after += (now - request.arrived).as_secs_f64();
        }
    }

    fn fate(&mut self, source: usize) -> &mut Fate {
        &mut self.outcome.fates[self.sources[source].0]
    }
}

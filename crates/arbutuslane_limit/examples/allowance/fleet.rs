//! Entries and lenders of one workspace in virtual time, with faults.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_limit::allowance::{Bounds, Decision, Ledger, Lender, LenderId, Loan, Quota};
use rand::RngExt;

/// What is simulated.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) quota: Quota,
    /// The requests a second, and during the second third of the run.
    pub(crate) load: f64,
    pub(crate) surge: f64,
    /// The number of entries that get the requests at a time, and the time after which others do.
    pub(crate) spread: usize,
    pub(crate) stay: Duration,
    /// The share of messages that are lost, and of those that are delayed by up to 2 s.
    pub(crate) lost: f64,
    pub(crate) late: f64,
    pub(crate) faults: Vec<Fault>,
    /// A second quota, and the time at which it is set.
    pub(crate) change: Option<(Time, Quota)>,
    pub(crate) length: Duration,
}

/// A fault that lasts for some time.
#[derive(Debug, Clone)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    pub(crate) during: Range<Time>,
}

/// The kind of a [`Fault`], with the numbers of the processes.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    EntryFrozen(Range<usize>),
    /// The entries reach no lender.
    EntryCut(Range<usize>),
    LenderFrozen(Range<usize>),
    /// The lenders get no messages, and restart at the end.
    LenderDown(Range<usize>),
}

/// What became of the requests.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// The time of the decision on each request, in this order, and whether it was admitted.
    pub(crate) decisions: Vec<(Time, bool)>,
    /// The messages that entries sent to lenders.
    pub(crate) messages: usize,
}

pub(crate) const LENDERS: usize = 5;

/// The time that a message takes at least and at most, if it is not delayed.
const HOP_MS: Range<u64> = 1..5;
/// The time after which an entry takes a lender for unreachable.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// The time that an entry spends on asking lenders for one request.
const MAX_ASKING_TIME: Duration = Duration::from_millis(300);
/// The time in which a changed quota reaches all processes: 2 s without the lifetime of a token.
const MAX_CHANGE_DELAY_MS: u64 = 1_500;

#[derive(Debug, Clone, Copy)]
struct Call {
    request: usize,
    lender: usize,
    wanted: u32,
    asked_at: Time,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Ask(Call),
    Answer(Call, Loan),
    Timeout(Call),
}

struct Request {
    entry: usize,
    /// The time at which the entry read it, or `None` before.
    read_at: Option<Time>,
    asked: Vec<usize>,
    waits_for: Option<usize>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: Rng,
    now: Time,
    events: BTreeMap<(Time, usize), Event>,
    scheduled: usize,
    requests: Vec<Request>,
    ledgers: Vec<Ledger>,
    lenders: Vec<Lender>,
    /// The time at which a changed quota reaches each process.
    entry_changes: Vec<Time>,
    lender_changes: Vec<Time>,
    outcome: Outcome,
}

/// Runs a plan.
pub(crate) fn run(plan: &Plan) -> Outcome {
    let mut rng = rng::seeded(plan.seed);
    let bounds = Bounds::default();
    let ledgers = (0..plan.entries).map(|_| Ledger::new(bounds, rng.random(), Time::ZERO));
    let ledgers = ledgers.collect();
    let changed = plan.change.map_or(Time::MAX, |(at, _)| at);
    let mut change_times = |count: usize| -> Vec<Time> {
        let mut delay = || Duration::from_millis(rng.random_range(0..MAX_CHANGE_DELAY_MS));
        (0..count).map(|_| changed.saturating_add(delay())).collect()
    };
    let (entry_changes, lender_changes) = (change_times(plan.entries), change_times(LENDERS));
    let mut fleet = Fleet {
        plan,
        rng,
        now: Time::ZERO,
        events: BTreeMap::new(),
        scheduled: 0,
        requests: Vec::new(),
        ledgers,
        lenders: vec![Lender::new(bounds, Time::ZERO); LENDERS],
        entry_changes,
        lender_changes,
        outcome: Outcome::default(),
    };
    fleet.schedule_arrivals();
    while let Some(((at, _), event)) = fleet.events.pop_first() {
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.outcome
}

impl Fleet<'_> {
    /// Schedules requests at random times to the entries in use.
    fn schedule_arrivals(&mut self) {
        let plan = self.plan;
        let third = plan.length / 3;
        let mut first = 0;
        let mut moves_at = plan.stay;
        for (index, load) in (0..).zip([plan.load, plan.surge, plan.load]) {
            let mut at = third * index;
            loop {
                at += Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / load);
                if at >= third * (index + 1) {
                    break;
                }
                while at >= moves_at {
                    moves_at += plan.stay;
                    first = self.rng.random_range(0..plan.entries);
                }
                let entry = (first + self.rng.random_range(0..plan.spread)) % plan.entries;
                let (read_at, asked, waits_for) = (None, Vec::new(), None);
                self.requests.push(Request { entry, read_at, asked, waits_for });
                self.schedule(at, Event::Arrival(self.requests.len() - 1));
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Returns the end of a fault that `applies`.
    fn fault_end(&self, applies: impl Fn(&Kind) -> bool) -> Option<Time> {
        let mut faults = self.plan.faults.iter();
        let fault = faults.find(|fault| fault.during.contains(&self.now) && applies(&fault.kind));
        fault.map(|fault| fault.during.end)
    }

    fn handle(&mut self, event: Event) {
        let frozen_until = match &event {
            Event::Ask(call) => self.fault_end(
                |kind| matches!(kind, Kind::LenderFrozen(lenders) if lenders.contains(&call.lender)),
            ),
            Event::Arrival(request)
            | Event::Answer(Call { request, .. }, _)
            | Event::Timeout(Call { request, .. }) => {
                let entry = self.requests[*request].entry;
                self.fault_end(
                    |kind| matches!(kind, Kind::EntryFrozen(entries) if entries.contains(&entry)),
                )
            }
        };
        if let Some(end) = frozen_until {
            return self.schedule(end, event);
        }
        match event {
            Event::Arrival(request) => self.decide(request),
            Event::Ask(call) => self.lend(call),
            Event::Answer(call, loan) => {
                let entry = self.requests[call.request].entry;
                let id = lender_id(call.lender);
                self.ledgers[entry].record_loan("shop", id, loan, call.asked_at, self.now);
                self.resume(call);
            }
            Event::Timeout(call) => {
                let Request { entry, waits_for, .. } = self.requests[call.request];
                if waits_for == Some(call.lender) {
                    self.ledgers[entry].record_failure(lender_id(call.lender), self.now);
                    self.resume(call);
                }
            }
        }
    }

    /// Decides again if the request waits for the result of `call`.
    fn resume(&mut self, call: Call) {
        if self.requests[call.request].waits_for.take_if(|lender| *lender == call.lender).is_some()
        {
            self.decide(call.request);
        }
    }

    fn decide(&mut self, request: usize) {
        let read_at = *self.requests[request].read_at.get_or_insert(self.now);
        let Request { entry, ref asked, .. } = self.requests[request];
        let quota = self.quota(self.entry_changes[entry]);
        // The lenders of the entry's own failure domain come first.
        let order: Vec<usize> = (0..LENDERS).map(|index| (entry + index) % LENDERS).collect();
        let ids: Vec<LenderId> = order.iter().map(|lender| lender_id(*lender)).collect();
        let decision = self.ledgers[entry].decide("shop", quota, &ids, self.plan.entries, self.now);
        let asked_for = match decision {
            Decision::Admit => return self.outcome.decisions.push((self.now, true)),
            Decision::Ask { lender, wanted } if self.now < read_at + MAX_ASKING_TIME => {
                let lender = order[ids.iter().position(|id| *id == lender).unwrap_or_default()];
                (!asked.contains(&lender)).then_some((lender, wanted))
            }
            _ => None,
        };
        let Some((lender, wanted)) = asked_for else {
            return self.outcome.decisions.push((self.now, false));
        };
        let call = Call { request, lender, wanted, asked_at: self.now };
        self.requests[request].asked.push(lender);
        self.requests[request].waits_for = Some(lender);
        self.outcome.messages += 1;
        self.schedule(self.now + ASK_TIMEOUT, Event::Timeout(call));
        self.send(entry, Event::Ask(call));
    }

    fn lend(&mut self, call: Call) {
        let quota = self.quota(self.lender_changes[call.lender]);
        let is_down = |kind: &Kind| matches!(kind, Kind::LenderDown(lenders) if lenders.contains(&call.lender));
        if let Some(end) = self.fault_end(is_down) {
            self.lenders[call.lender] = Lender::new(Bounds::default(), end);
            return;
        }
        let loan = self.lenders[call.lender].lend("shop", quota, LENDERS, call.wanted, self.now);
        let entry = self.requests[call.request].entry;
        self.send(entry, Event::Answer(call, loan));
    }

    /// Sends a message between an entry and a lender, unless it is lost.
    fn send(&mut self, entry: usize, message: Event) {
        let is_cut =
            |kind: &Kind| matches!(kind, Kind::EntryCut(entries) if entries.contains(&entry));
        if self.rng.random::<f64>() < self.plan.lost || self.fault_end(is_cut).is_some() {
            return;
        }
        let mut delay = Duration::from_millis(self.rng.random_range(HOP_MS));
        if self.rng.random::<f64>() < self.plan.late {
            delay += Duration::from_millis(self.rng.random_range(0..2_000));
        }
        self.schedule(self.now + delay, message);
    }

    fn quota(&self, changes_at: Time) -> Quota {
        match self.plan.change {
            Some((_, quota)) if self.now >= changes_at => quota,
            _ => self.plan.quota,
        }
    }
}

fn lender_id(lender: usize) -> LenderId {
    let port = u16::try_from(7_000 + lender).unwrap_or_default();
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl Plan {
    /// Returns a workspace that sends 1/1.6 of its quota to all entries for 40 s.
    pub(crate) fn usual(entries: usize, quota: Quota, seed: u64) -> Self {
        let load = quota.rate / 1.6;
        Self {
            seed,
            entries,
            quota,
            load,
            surge: load,
            spread: entries,
            stay: Duration::from_secs(1),
            lost: 0.0,
            late: 0.0,
            faults: Vec::new(),
            change: None,
            length: Duration::from_secs(40),
        }
    }
}

impl Outcome {
    /// Returns the largest number of requests admitted in a window that starts at `from` or later.
    pub(crate) fn max_in_window(&self, from: Time) -> usize {
        let admitted = self.decisions.iter().filter(|(at, admitted)| *admitted && *at >= from);
        let admitted: Vec<Time> = admitted.map(|(at, _)| *at).collect();
        let window = Bounds::default().window;
        let mut largest = 0;
        for (index, start) in admitted.iter().enumerate() {
            let end = admitted.partition_point(|at| *at < *start + window);
            largest = largest.max(end - index);
        }
        largest
    }

    /// Returns the share of the requests from `from` on that were refused, although one bucket for all
    /// entries, with the rate and the burst of `quota`, would have admitted them.
    pub(crate) fn wrongly_refused(&self, quota: Quota, from: Time) -> f64 {
        let (mut tokens, mut filled_at) = (quota.burst, Time::ZERO);
        let (mut requests, mut wrong) = (0_u32, 0_u32);
        for (at, admitted) in &self.decisions {
            tokens += (*at - filled_at).as_secs_f64() * quota.rate;
            tokens = tokens.min(quota.burst);
            filled_at = *at;
            let is_within = tokens >= 1.0;
            if is_within {
                tokens -= 1.0;
            }
            if *at < from {
                continue;
            }
            requests += 1;
            wrong += u32::from(is_within && !admitted);
        }
        f64::from(wrong) / f64::from(requests.max(1))
    }
}

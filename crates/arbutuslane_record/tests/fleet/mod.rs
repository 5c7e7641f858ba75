//! Owners with one server each, in failure domains, that tell each other of strikes, in virtual time.

use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_record::prelude::*;
use arbutuslane_record::strike::{Crash, Fingerprint, QUARANTINE_DURATION};
use arbutuslane_record::trial::{Arbiter, Trial};
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::STABILITY_WINDOW;
use crate::support::millis;

/// The time between two steps.
const TICK: Duration = Duration::from_millis(10);

/// The number of owners that an entry asks for one request.
const MAX_OWNERS: usize = 6;

/// The longest time until an owner knows that its server has ended.
const DETECTION_MS: u64 = 170;

/// The number of keepers with disks.
const KEEPERS: usize = 3;

/// The time between two comparisons of an owner with a keeper.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time of a message.
const MESSAGE_MS: u64 = 200;

/// How a run of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// With a response after its work.
    Responds,
    /// With a crash of its server.
    Crashes,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub(crate) identity: Identity,
    pub(crate) effect: Effect,
    pub(crate) work: Duration,
}

/// A run that a server has begun.
struct Run {
    request: Request,
    known: Vec<Crash>,
    is_trial: bool,
    ends_at: Time,
}

/// An owner with its server.
struct Owner {
    domain: String,
    strikes: Strikes,
    incarnation: u64,
    /// The time from which on the server runs.
    up_at: Time,
    has_trial: bool,
    runs: Vec<Run>,
    /// The time until which the owner is cut off, or away.
    unreachable_until: Time,
    /// The last time at which the owner was not in touch with the others.
    last_trouble: Option<Time>,
}

/// What happens at an owner later.
enum Event {
    /// The owner finds out that its server ended during a run.
    Strike { request: Fingerprint, crash: Crash, known: Vec<Crash>, is_trial: bool },
    /// The owner hears of a strike.
    Told(Strike),
    /// The other owners know of the strike of a trial.
    Release(Fingerprint),
}

/// The fleet.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) rng: Rng,
    owners: Vec<Owner>,
    arbiter: Arbiter,
    events: Vec<(Time, usize, Event)>,
    /// The strikes on the disks of the keepers.
    keepers: Vec<Strikes>,
    /// The time until which each keeper is away.
    keepers_away_until: Vec<Time>,
    /// The share of messages that are lost.
    pub(crate) loss: f64,
    next_comparison: Time,
    /// The runs that began.
    pub(crate) arrivals: Vec<Arrival>,
}

/// A run that began at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) request: Fingerprint,
    /// Whether its owner was in touch for long enough.
    pub(crate) is_in_touch: bool,
}

impl Fleet {
    /// Returns a fleet of `domains` with `servers` each.
    pub(crate) fn new(seed: u64, domains: usize, servers: usize) -> Self {
        let owner = |index: usize| Owner {
            domain: format!("d{}", index % domains),
            strikes: Strikes::default(),
            incarnation: 1,
            up_at: Time::ZERO,
            has_trial: false,
            runs: Vec::new(),
            unreachable_until: Time::ZERO,
            last_trouble: None,
        };
        Self {
            now: Time::ZERO,
            rng: rng::seeded(seed),
            owners: (0..domains * servers).map(owner).collect(),
            arbiter: Arbiter::default(),
            events: Vec::new(),
            keepers: vec![Strikes::default(); KEEPERS],
            keepers_away_until: vec![Time::ZERO; KEEPERS],
            loss: 0.0,
            next_comparison: Time::ZERO,
            arrivals: Vec::new(),
        }
    }

    /// Returns the servers of a failure domain.
    pub(crate) fn domain(&self, domain: usize) -> Vec<usize> {
        let name = format!("d{domain}");
        (0..self.owners.len()).filter(|index| self.owners[*index].domain == name).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns the verdicts of all owners on a request.
    pub(crate) fn verdicts(&self, identity: Identity) -> Vec<Verdict> {
        self.owners.iter().map(|owner| owner.strikes.verdict(self.now, identity)).collect()
    }

    /// Sends a request through a random entry; returns whether a server began to run it.
    pub(crate) fn send(&mut self, request: Request) -> bool {
        let mut order: Vec<usize> = (0..self.owners.len()).collect();
        order.shuffle(&mut self.rng);
        for owner in order.into_iter().take(MAX_OWNERS) {
            let Owner { up_at, unreachable_until, .. } = &self.owners[owner];
            if *up_at > self.now || *unreachable_until > self.now {
                continue;
            }
            match self.owners[owner].strikes.verdict(self.now, request.identity) {
                Verdict::Quarantined { .. } => return false,
                Verdict::Exclusive { trials } => {
                    if self.begin_trial(owner, request.identity, trials) {
                        self.begin(owner, request, true);
                        return true;
                    }
                }
                Verdict::Unrestricted => {
                    self.begin(owner, request, false);
                    return true;
                }
            }
        }
        false
    }

    fn begin_trial(&mut self, owner: usize, identity: Identity, max: usize) -> bool {
        let Owner { strikes, domain, has_trial, .. } = &self.owners[owner];
        let crashed = strikes.domains(self.now, identity);
        let has_other = self.owners.iter().any(|other| !crashed.contains(&other.domain));
        if *has_trial || (has_other && crashed.contains(domain)) {
            return false;
        }
        let (request, domain) = (identity.request, domain.clone());
        let trial = Trial { max, request, server: format!("s{owner}"), domain };
        self.arbiter.grant(self.now, trial, Duration::from_secs(4))
    }

    fn begin(&mut self, owner: usize, request: Request, is_trial: bool) {
        let now = self.now;
        let owner = &mut self.owners[owner];
        let is_in_touch = owner.last_trouble.is_none_or(|at| now > at + STABILITY_WINDOW);
        self.arrivals.push(Arrival { at: now, request: request.identity.request, is_in_touch });
        let known = owner.strikes.known(now, request.identity);
        owner.has_trial |= is_trial;
        owner.runs.push(Run { request, known, is_trial, ends_at: now + request.work });
    }

    /// Ends a server with all of its runs; it is back after some seconds.
    pub(crate) fn crash(&mut self, owner: usize) {
        let down = millis(self.rng.random_range(1_000..4_000));
        let Owner { incarnation, .. } = self.owners[owner];
        let runs = std::mem::take(&mut self.owners[owner].runs);
        for run in runs {
            let Identity { request, variant } = run.request.identity;
            let crash = Crash { server: format!("s{owner}"), incarnation, variant };
            let detected_at = self.now + millis(self.rng.random_range(0..DETECTION_MS));
            let (known, is_trial) = (run.known, run.is_trial);
            let event = Event::Strike { request, crash, known, is_trial };
            self.events.push((detected_at, owner, event));
        }
        let owner = &mut self.owners[owner];
        owner.incarnation += 1;
        owner.has_trial = false;
        owner.up_at = self.now + down;
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            let (due, later) = self.events.drain(..).partition(|(at, _, _)| *at <= now);
            self.events = later;
            for (_, owner, event) in due {
                self.handle(owner, event);
            }
            if now >= self.next_comparison {
                self.next_comparison = now + COMPARE_INTERVAL;
                (0..self.owners.len()).for_each(|owner| self.compare(owner));
            }
            for owner in 0..self.owners.len() {
                self.end_runs(owner);
            }
        }
    }

    fn handle(&mut self, owner: usize, event: Event) {
        match event {
            Event::Strike { request, crash, known, is_trial } => {
                let domain = self.owners[owner].domain.clone();
                let strikes = &mut self.owners[owner].strikes;
                let strike = Strike::new(request, crash).in_domain(&domain).after(&known);
                let strike = strikes.strike(self.now, strike);
                self.tell(owner, &strike);
                if is_trial {
                    let told_at = self.now + millis(MESSAGE_MS);
                    self.events.push((told_at, owner, Event::Release(request)));
                }
            }
            Event::Release(request) => self.arbiter.release(request, &format!("s{owner}")),
            Event::Told(_) if !self.reaches(owner) => {}
            Event::Told(strike) => {
                let until = self.now + QUARANTINE_DURATION;
                self.owners[owner].strikes.merge(self.now, strike, until);
            }
        }
    }

    /// Sends a request from the clients beside an owner that is cut off to the server beside it.
    pub(crate) fn send_beside(&mut self, owner: usize, request: Request) {
        let verdict = self.owners[owner].strikes.verdict(self.now, request.identity);
        if self.owners[owner].up_at <= self.now && verdict == Verdict::Unrestricted {
            self.begin(owner, request, false);
        }
    }

    /// Cuts an owner off from all others for a while.
    pub(crate) fn cut_off(&mut self, owner: usize, time: Duration) {
        let until = self.now + time;
        self.owners[owner].unreachable_until = until;
        self.owners[owner].last_trouble = Some(until);
    }

    /// Kills the process of an owner, which is back after a while without what it knew. Its server runs on.
    pub(crate) fn restart(&mut self, owner: usize, time: Duration) {
        self.cut_off(owner, time);
        let owner = &mut self.owners[owner];
        owner.strikes = Strikes::default();
        owner.runs.clear();
        owner.has_trial = false;
    }

    /// Stops a keeper for a while; its disk is kept.
    pub(crate) fn stop_keeper(&mut self, keeper: usize, time: Duration) {
        self.keepers_away_until[keeper] = self.now + time;
    }

    fn reaches(&self, owner: usize) -> bool {
        self.owners[owner].unreachable_until <= self.now
    }

    /// Makes an owner and a random keeper know the same, as owners do each second. One that has started asks
    /// all keepers before it hands out requests.
    fn compare(&mut self, owner: usize) {
        if !self.reaches(owner) {
            return;
        }
        let is_starting =
            self.owners[owner].last_trouble.is_some_and(|at| self.now < at + COMPARE_INTERVAL);
        let picked = self.rng.random_range(0..KEEPERS);
        for keeper in 0..KEEPERS {
            let is_away = self.keepers_away_until[keeper] > self.now;
            if is_away || (keeper != picked && !is_starting) {
                continue;
            }
            let (now, until) = (self.now, self.now + QUARANTINE_DURATION);
            let (owner, keeper) = (&mut self.owners[owner].strikes, &mut self.keepers[keeper]);
            for strike in keeper.differing(&owner.buckets()) {
                owner.merge(now, strike, until);
            }
            for strike in owner.differing(&keeper.buckets()) {
                keeper.merge(now, strike, until);
            }
        }
    }

    fn tell(&mut self, from: usize, strike: &Strike) {
        let until = self.now + QUARANTINE_DURATION;
        if !self.reaches(from) {
            return;
        }
        for keeper in 0..KEEPERS {
            if self.keepers_away_until[keeper] <= self.now && !self.rng.random_bool(self.loss) {
                self.keepers[keeper].merge(self.now, strike.clone(), until);
            }
        }
        for to in 0..self.owners.len() {
            if to != from && !self.rng.random_bool(self.loss) {
                let at = self.now + millis(self.rng.random_range(0..MESSAGE_MS));
                self.events.push((at, to, Event::Told(strike.clone())));
            }
        }
    }

    fn end_runs(&mut self, owner: usize) {
        let now = self.now;
        let runs = std::mem::take(&mut self.owners[owner].runs);
        let (ended, running) = runs.into_iter().partition(|run| run.ends_at <= now);
        self.owners[owner].runs = running;
        for run in ended {
            let Run { request, known, is_trial, .. } = run;
            if request.effect == Effect::Crashes {
                self.owners[owner].runs.push(Run { request, known, is_trial, ends_at: now });
                return self.crash(owner);
            }
            self.owners[owner].strikes.record_served(now, request.identity);
            for strike in self.owners[owner].strikes.clear(request.identity, &known) {
                self.tell(owner, &strike);
            }
            if is_trial {
                self.owners[owner].has_trial = false;
                self.arbiter.release(request.identity.request, &format!("s{owner}"));
            }
        }
    }
}

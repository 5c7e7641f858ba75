//! Owners with one server each, in failure domains, that tell each other of strikes, in virtual time.

use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_record::prelude::*;
use arbutuslane_record::strike::{Crash, Fingerprint};
use arbutuslane_record::trial::{Arbiter, Trial};
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::support::millis;

/// The time between two steps.
const TICK: Duration = Duration::from_millis(10);

/// The number of owners that an entry asks for one request.
const MAX_OWNERS: usize = 6;

/// The longest time until an owner knows that its server has ended.
const DETECTION_MS: u64 = 170;

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
    /// The times at which runs began, with their requests.
    pub(crate) arrivals: Vec<(Time, Fingerprint)>,
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
        };
        Self {
            now: Time::ZERO,
            rng: rng::seeded(seed),
            owners: (0..domains * servers).map(owner).collect(),
            arbiter: Arbiter::default(),
            events: Vec::new(),
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
            if self.owners[owner].up_at > self.now {
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
        self.arrivals.push((self.now, request.identity.request));
        let now = self.now;
        let owner = &mut self.owners[owner];
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
                let strike = strikes.strike(self.now, request, crash, &domain, &known);
                self.tell(owner, &strike);
                if is_trial {
                    let told_at = self.now + millis(MESSAGE_MS);
                    self.events.push((told_at, owner, Event::Release(request)));
                }
            }
            Event::Release(request) => self.arbiter.release(request, &format!("s{owner}")),
            Event::Told(strike) => {
                let until = self.now + arbutuslane_record::strike::QUARANTINE_DURATION;
                self.owners[owner].strikes.merge(self.now, strike, until);
            }
        }
    }

    fn tell(&mut self, from: usize, strike: &Strike) {
        for to in 0..self.owners.len() {
            if to != from {
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

//! A simulation of the limit on repeats, with the real parts of the owners.
//!
//! Requests arrive at random owners, and some servers fail most of theirs. A failed request is repeated
//! at another owner that admits it. A third of the owners restart, and later each half of the owners
//! takes the other one for gone. Messages play no role, because owners decide without any.

pub mod command;

use std::collections::VecDeque;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_limit::repeats::{Limit, Part, Precedence};
use rand::RngExt;

use crate::sample::exponential;

/// The settings of one run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The number of owners, each with one server.
    pub owners: usize,
    /// The number of servers that fail most of their requests.
    pub failing: usize,
    /// Whether urgent repeats precede others; otherwise the first that ask are admitted.
    pub has_precedence: bool,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The repeats of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Repeats that an owner admitted.
    pub admitted: u32,
    /// Repeats that no owner admitted, although the window of the fleet had room.
    pub refused_with_room: u32,
    /// Repeats that no owner admitted while the window of the fleet was full.
    pub refused: u32,
}

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// The repeats of calls and higher ranks.
    pub urgent: Tally,
    /// All other repeats.
    pub ordinary: Tally,
    /// The largest part of the limit that was used in any window.
    pub max_use: f64,
}

struct Fleet {
    plan: Plan,
    rng: Rng,
    parts: Vec<Part>,
    first: VecDeque<Time>,
    repeats: VecDeque<Time>,
    outcome: Outcome,
}

/// The limit of the simulated fleet.
const LIMIT: Limit = Limit { ratio: 0.2, slack: 64.0, window: Duration::from_secs(10) };

/// The requests a second that arrive at each owner.
const REQUESTS_PER_OWNER: f64 = 5.0;

/// The share of requests whose repeats are urgent.
const URGENT_SHARE: f64 = 0.3;

/// The share of its requests that a failing server fails, and a sound one.
const FAILURE_SHARES: [f64; 2] = [0.85, 0.012];

/// The most servers that a request is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// The most owners that are asked to admit a repeat.
const MAX_ASKED: u32 = 3;

const LENGTH: Duration = Duration::from_secs(90);

/// The time at which a third of the owners restart.
const RESTART_AT: Time = Duration::from_secs(40);

/// The times at which the partition begins and ends.
const PARTITION: [Time; 2] = [Duration::from_secs(55), Duration::from_secs(75)];

/// Runs a plan.
pub fn run(plan: Plan) -> Outcome {
    let parts = vec![Part::new(LIMIT, Time::ZERO); plan.owners];
    let (first, repeats) = (VecDeque::new(), VecDeque::new());
    let rng = rng::seeded(plan.seed);
    let mut fleet = Fleet { plan, rng, parts, first, repeats, outcome: Outcome::default() };
    fleet.set_owners(plan.owners, Time::ZERO);
    let mut events = [
        (RESTART_AT, Fleet::restart_third as fn(&mut Fleet, Time)),
        (PARTITION[0], |fleet, now| fleet.set_owners(fleet.plan.owners / 2, now)),
        (PARTITION[1], |fleet, now| fleet.set_owners(fleet.plan.owners, now)),
    ]
    .into_iter()
    .peekable();
    let mean = 1.0 / (REQUESTS_PER_OWNER * f64::from(u32::try_from(plan.owners).unwrap_or(1)));
    let mut now = Time::ZERO;
    while now < LENGTH {
        now += Duration::from_secs_f64(exponential(mean, &mut fleet.rng));
        while let Some((_, apply)) = events.next_if(|(at, _)| *at <= now) {
            apply(&mut fleet, now);
        }
        fleet.handle_request(now);
    }
    fleet.outcome
}

impl Fleet {
    fn set_owners(&mut self, known: usize, now: Time) {
        for part in &mut self.parts {
            part.set_owners(known, now);
        }
    }

    fn restart_third(&mut self, now: Time) {
        let known = self.plan.owners;
        for part in self.parts.iter_mut().step_by(3) {
            *part = Part::new(LIMIT, now);
            part.set_owners(known, now);
        }
    }

    fn handle_request(&mut self, now: Time) {
        let is_urgent = self.rng.random_bool(URGENT_SHARE);
        let mut owner = self.random_owner();
        self.parts[owner].count_first(now);
        self.first.push_back(now);
        for _ in 1..MAX_ATTEMPTS {
            let is_failing = owner < self.plan.failing;
            if !self.rng.random_bool(FAILURE_SHARES[usize::from(!is_failing)]) {
                return;
            }
            let Some(next) = self.repeat(is_urgent, now) else { return };
            owner = next;
        }
    }

    /// Asks owners to admit a repeat and returns the one that did.
    fn repeat(&mut self, is_urgent: bool, now: Time) -> Option<usize> {
        let precedence = match is_urgent && self.plan.has_precedence {
            true => Precedence::High,
            false => Precedence::Low,
        };
        let mut admitted_by = None;
        for _ in 0..MAX_ASKED {
            let owner = self.random_owner();
            if self.parts[owner].admits(precedence, now) {
                admitted_by = Some(owner);
                break;
            }
        }
        let (used, allowed) = self.window(now);
        let tally = match is_urgent {
            true => &mut self.outcome.urgent,
            false => &mut self.outcome.ordinary,
        };
        let Some(owner) = admitted_by else {
            match used + 1.0 <= allowed {
                true => tally.refused_with_room += 1,
                false => tally.refused += 1,
            }
            return None;
        };
        tally.admitted += 1;
        self.parts[owner].count_repeat(now);
        self.repeats.push_back(now);
        self.outcome.max_use = self.outcome.max_use.max((used + 1.0) / allowed);
        Some(owner)
    }

    /// Returns the repeats in the window that ends at `now`, and how many the limit allows.
    fn window(&mut self, now: Time) -> (f64, f64) {
        let since = now.saturating_sub(LIMIT.window);
        for times in [&mut self.first, &mut self.repeats] {
            while times.front().is_some_and(|at| *at <= since) {
                times.pop_front();
            }
        }
        let count = |times: &VecDeque<Time>| f64::from(u32::try_from(times.len()).unwrap_or(0));
        (count(&self.repeats), LIMIT.ratio * count(&self.first) + LIMIT.slack)
    }

    fn random_owner(&mut self) -> usize {
        self.rng.random_range(0..self.parts.len())
    }
}

impl Tally {
    /// Adds the repeats of another run.
    pub fn add(&mut self, other: Self) {
        self.admitted += other.admitted;
        self.refused_with_room += other.refused_with_room;
        self.refused += other.refused;
    }

    /// Returns the share of the repeats that `count` of them are.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from((self.admitted + self.refused_with_room + self.refused).max(1))
    }
}

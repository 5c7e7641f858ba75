//! The owner's judgement of one backend server.

use std::time::Duration;

use arbutuslane_catalogue::entry::{Class, Preference};
use arbutuslane_core::time::Time;

use crate::cusum::Group;
use crate::evidence::{AGES, Evidence, LIMIT, confidence, passed, ratio, stopped};
use crate::peers::{Baseline, Peers};
use crate::summary::index;

/// A request that the owner dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// The class.
    pub class: Class,
    /// The hash of the route.
    pub route: u64,
    /// The hash of the caller.
    pub caller: u64,
    /// The time of the dispatch.
    pub at: Time,
}

/// A finished request, for evidence that has no dispatch of its own (replays, tests).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The dispatch.
    pub start: Start,
    /// Whether the server answered without an error of its own.
    pub success: bool,
    /// The time from the dispatch to the end.
    pub latency: Duration,
}

/// What is wrong with a suspected server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It fails more requests than its peers.
    Failing,
    /// It is slower than its peers.
    Slow,
}

/// Evidence enough to claim an ejection permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// What is wrong.
    pub kind: Kind,
    /// How bad it is: 400 times the share of failures, or 10 times the slowdown (at most 200).
    pub severity: u32,
}

/// Compares one server with its peers, per class, by a failure and a slowness test.
///
/// Requests in flight count as slow as soon as they are older than the peers' 90th percentile, so
/// a server that answers late or never is not the last to be noticed.
#[derive(Debug, Clone)]
pub struct Detector {
    base: f64,
    threshold: f64,
    counted: f64,
    counted_at: Time,
    classes: [ClassState; 3],
    all: Evidence,
    flights: Vec<Flight>,
    warming: bool,
}

#[derive(Debug, Clone, Default)]
struct ClassState {
    evidence: Evidence,
    failed: f64,
    latency: f64,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    id: u64,
    start: Start,
    /// How many of the `AGES` the request has reached.
    level: usize,
}

/// The sum at which a server is suspected with `fast_detection` at one request a second. The
/// logarithm of the rate is added, so that a healthy server of a busy service is suspected as
/// rarely in time as one of a quiet service.
const THRESHOLD_FAST: f64 = 3.4;

/// The same for `few_false_ejections`.
const THRESHOLD_FEW: f64 = 10.0;

/// The time constant of the rate in seconds.
const RATE_SECONDS: f64 = 60.0;

/// Lower rates count as this one. With a floor of 1, the two smallest services had false ejections
/// with `fast_detection` at 30% load (2 in an hour with heavy tails).
const RATE_FLOOR: f64 = 12.0;

/// The rate that is assumed before any is measured.
const RATE_FIRST: f64 = 50.0;

/// The share of failures that a healthy server may have, whatever the peers do.
const FAILED_HEALTHY: f64 = 0.02;

/// The share of failures of an unhealthy server.
const FAILED_UNHEALTHY: f64 = 0.6;

/// A server is suspected of slowness only when entries have reported on its peers this long after
/// the slowness began. Without it, a slowdown of the whole service ejects servers down to the floor
/// before the report of it arrives.
const CONFIRM: Duration = Duration::from_millis(300);

/// The weight of the newest request in the recent failure share and latency.
const RECENT_WEIGHT: f64 = 0.1;

impl Detector {
    /// Returns a detector without evidence.
    pub fn new(preference: Preference) -> Self {
        let base = base(preference);
        Self {
            base,
            threshold: base + RATE_FIRST.ln(),
            counted: RATE_FIRST * RATE_SECONDS,
            counted_at: Time::ZERO,
            classes: Default::default(),
            all: Evidence::default(),
            flights: Vec::new(),
            warming: false,
        }
    }

    /// Changes the preference, as after a change of the catalogue; evidence is kept.
    pub fn set_preference(&mut self, preference: Preference) {
        self.base = base(preference);
    }

    /// Ignores slowness while the server warms up after a cold start; failures still count.
    pub fn set_warming(&mut self, warming: bool) {
        self.warming = warming;
    }

    /// Takes in the dispatch of request `id`.
    pub fn started(&mut self, id: u64, start: Start) {
        self.flights.push(Flight { id, start, level: 0 });
    }

    /// Takes in the end of request `id`.
    ///
    /// `success` is false for an error of the server's own, a broken exchange and an expired
    /// deadline, and true for every other response, errors of the caller (4xx) included.
    pub fn finished(&mut self, id: u64, now: Time, success: bool, baseline: &Baseline) {
        let Some(place) = self.flights.iter().position(|flight| flight.id == id) else { return };
        let mut flight = self.flights.swap_remove(place);
        let peers = baseline.peers(flight.start.class);
        if let Some(peers) = peers {
            self.age(&mut flight, now, &peers);
        }
        self.end(&flight, now, success, peers.as_ref());
    }

    /// Drops request `id`, which its caller gave up or the owner never sent.
    pub fn cancelled(&mut self, id: u64) {
        self.flights.retain(|flight| flight.id != id);
    }

    /// Takes in a request whose dispatch was not reported.
    pub fn observe(&mut self, observation: &Observation, baseline: &Baseline) {
        let id = u64::MAX;
        self.started(id, observation.start);
        let now = observation.start.at + observation.latency;
        self.finished(id, now, observation.success, baseline);
    }

    /// Returns whether the server is suspected, with the ages of requests in flight counted.
    ///
    /// The owner calls this after each request and every 50 ms while requests are in flight.
    pub fn suspicion(&mut self, now: Time, baseline: &Baseline) -> Option<Suspicion> {
        let mut flights = std::mem::take(&mut self.flights);
        for flight in &mut flights {
            if let Some(peers) = baseline.peers(flight.start.class) {
                self.age(flight, now, &peers);
            }
        }
        self.flights = flights;
        let mut worst: Option<Suspicion> = None;
        let all = self.all.verdict(self.threshold);
        for class in [Class::Idempotent, Class::NonIdempotent, Class::Download] {
            let state = &self.classes[index(class)];
            let (failing, slow) = state.evidence.verdict(self.threshold);
            let mut found = Vec::new();
            if failing || (all.0 && state.failed > 0.0) {
                let severity = scaled(400.0, state.failed);
                found.push(Suspicion { kind: Kind::Failing, severity });
            }
            let evidence = if slow { &state.evidence } else { &self.all };
            if (slow || all.1)
                && let Some(peers) = baseline.peers(class)
                && confidence(&peers) > 0.5
                && evidence.slow_since.is_some_and(|at| baseline.is_fresh(class, at + CONFIRM))
            {
                let ratio = state.latency / peers.median.as_secs_f64().max(1e-6);
                let severity = scaled(10.0, ratio.clamp(1.0, 20.0));
                found.push(Suspicion { kind: Kind::Slow, severity });
            }
            for suspicion in found {
                if worst.is_none_or(|worst| worst.severity < suspicion.severity) {
                    worst = Some(suspicion);
                }
            }
        }
        worst
    }

    /// Forgets all evidence, as after an ejection or a new incarnation; requests in flight stay.
    pub fn reset(&mut self) {
        for state in &mut self.classes {
            state.evidence.reset();
            state.failed = 0.0;
            state.latency = 0.0;
        }
        self.all.reset();
    }

    /// Counts the ages that a request has reached: the median, then multiples of the 90th
    /// percentile.
    fn age(&mut self, flight: &mut Flight, now: Time, peers: &Peers) {
        let age = now.saturating_sub(flight.start.at);
        let mut sum = 0.0;
        while flight.level <= AGES.len() {
            let limit = match flight.level {
                0 => peers.median,
                level => peers.p90.mul_f64(AGES[level - 1]),
            };
            if age <= limit {
                break;
            }
            sum += passed(flight.level);
            flight.level += 1;
        }
        if sum == 0.0 {
            return;
        }
        self.add_slowness(flight, sum * confidence(peers), now);
        let state = &mut self.classes[index(flight.start.class)];
        state.latency = state.latency.max(age.as_secs_f64().min(20.0 * state.latency));
    }

    fn end(&mut self, flight: &Flight, now: Time, success: bool, peers: Option<&Peers>) {
        self.count(now);
        let limit = self.threshold * LIMIT;
        let group = Group::of(flight.start.caller, flight.start.route);
        let state = &mut self.classes[index(flight.start.class)];
        state.evidence.mix.count(group);
        self.all.mix.count(group);
        let healthy = peers.map_or(FAILED_HEALTHY, |peers| FAILED_HEALTHY.max(1.5 * peers.failed));
        let unhealthy = FAILED_UNHEALTHY.max(f64::midpoint(1.0, healthy));
        if healthy < 0.9 {
            let ratio = if success {
                ratio(1.0 - unhealthy, 1.0 - healthy)
            } else {
                ratio(unhealthy, healthy)
            };
            state.evidence.failure.add(ratio, group, limit);
            self.all.failure.add(ratio, group, limit);
        }
        let failed = if success { 0.0 } else { 1.0 };
        state.failed += RECENT_WEIGHT * (failed - state.failed);
        if !success {
            return;
        }
        let latency = now.saturating_sub(flight.start.at);
        let seconds = latency.as_secs_f64();
        state.latency = if state.latency == 0.0 {
            seconds
        } else {
            state.latency + RECENT_WEIGHT * (seconds - state.latency)
        };
        let Some(peers) = peers else { return };
        let ratio = stopped(flight.level);
        self.add_slowness(flight, ratio * confidence(peers), now);
    }

    fn add_slowness(&mut self, flight: &Flight, ratio: f64, now: Time) {
        if self.warming {
            return;
        }
        let limit = self.threshold * LIMIT;
        let group = Group::of(flight.start.caller, flight.start.route);
        for evidence in [&mut self.classes[index(flight.start.class)].evidence, &mut self.all] {
            evidence.add_slowness(ratio, group, limit, now);
        }
    }

    /// Counts a request towards the rate and adjusts the threshold to it.
    fn count(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        self.counted = self.counted * (-elapsed / RATE_SECONDS).exp() + 1.0;
        self.threshold = self.base + (self.counted / RATE_SECONDS).max(RATE_FLOOR).ln();
    }
}

fn base(preference: Preference) -> f64 {
    match preference {
        Preference::FastDetection => THRESHOLD_FAST,
        Preference::FewFalseEjections => THRESHOLD_FEW,
    }
}

fn scaled(factor: f64, value: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "0 to 400")]
    let scaled = (factor * value).round() as u32;
    scaled
}

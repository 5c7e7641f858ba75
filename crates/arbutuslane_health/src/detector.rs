//! Detects an unhealthy backend server at its owner, by comparison with the server's peers.

use std::time::Duration;

use arbutuslane_catalogue::entry::{Class, Preference};
use arbutuslane_core::time::Time;

use crate::cusum::Group;
use crate::evidence::{
    AGE_MULTIPLES, Evidence, SUM_LIMIT_FACTOR, age_not_passed_ratio, age_passed_ratio,
    log_likelihood_ratio, slowness_confidence,
};
use crate::peers::{Baseline, Peers};

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

/// A finished request whose dispatch is recorded together with its end (replays, tests).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The dispatch.
    pub start: Start,
    /// Whether the server responded without an error of its own.
    pub success: bool,
    /// The time from the dispatch to the end.
    pub latency: Duration,
}

/// The fault of a suspected server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The server fails more requests than its peers.
    Failing,
    /// The server is slower than its peers.
    Slow,
}

/// Sufficient evidence against a server to claim an ejection permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// The fault.
    pub kind: Kind,
    /// The severity: 400 times the share of failures, or 10 times the slowdown (at most 200).
    pub severity: u32,
}

/// Compares one server with its peers by a failure test and a slowness test, for each class and for
/// all classes together.
///
/// Requests in flight count as slow as soon as they are older than the peers' 90th percentile, so
/// that a server that responds late or never is detected before its requests end.
#[derive(Debug, Clone)]
pub struct Detector {
    /// The threshold at one request per second.
    base_threshold: f64,
    /// The threshold at the current request rate.
    threshold: f64,
    /// The decayed number of requests, from which the rate is derived.
    request_count: f64,
    counted_at: Time,
    classes: [ClassState; Class::COUNT],
    /// The evidence from requests of all classes.
    all_classes: Evidence,
    in_flight: Vec<InFlight>,
    is_warming_up: bool,
}

#[derive(Debug, Clone, Default)]
struct ClassState {
    evidence: Evidence,
    /// The share of recent requests that failed.
    failure_share: f64,
    /// The mean latency of recent requests in seconds; 0 while unknown.
    latency: f64,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    id: u64,
    start: Start,
    /// The number of ages that the request has exceeded: the median, then the `AGE_MULTIPLES`.
    age_level: usize,
}

/// The evidence sum at which a server is suspected with `fast_detection` at one request per second.
/// The logarithm of the rate is added, so that healthy servers of busy and of quiet services are
/// suspected equally rarely over time.
const BASE_THRESHOLD_FAST: f64 = 3.4;

/// The evidence sum at which a server is suspected with `few_false_ejections`, likewise.
const BASE_THRESHOLD_FEW_FALSE: f64 = 10.0;

/// The time constant of the request rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 60.0;

/// The lowest request rate for the threshold, in requests per second. With a floor of 1, the two
/// smallest services had false ejections with `fast_detection` at 30% load (2 in an hour with heavy
/// tails).
const MIN_RATE: f64 = 12.0;

/// The request rate that is assumed before one is measured, in requests per second.
const INITIAL_RATE: f64 = 50.0;

/// The least share of failures that is assumed for a healthy server, whatever share its peers have.
const MIN_HEALTHY_FAILURE_SHARE: f64 = 0.02;

/// The least share of failures that is assumed for an unhealthy server.
const MIN_UNHEALTHY_FAILURE_SHARE: f64 = 0.6;

/// A server is suspected of slowness only when summaries of its peers have arrived at least this
/// long after the slowness began. Otherwise a slowdown of the whole service ejects servers down to
/// the floor before the summaries that show it arrive.
const SLOWNESS_CONFIRMATION_DELAY: Duration = Duration::from_millis(300);

/// The weight of the newest request in the recent failure share and latency.
const RECENT_WEIGHT: f64 = 0.1;

impl Detector {
    /// Returns a detector without evidence.
    pub fn new(preference: Preference) -> Self {
        let base_threshold = base_threshold(preference);
        Self {
            base_threshold,
            threshold: base_threshold + INITIAL_RATE.ln(),
            request_count: INITIAL_RATE * RATE_TIME_CONSTANT_S,
            counted_at: Time::ZERO,
            classes: Default::default(),
            all_classes: Evidence::default(),
            in_flight: Vec::new(),
            is_warming_up: false,
        }
    }

    /// Changes the preference, for example after a catalogue change. The evidence is not reset.
    pub fn set_preference(&mut self, preference: Preference) {
        self.base_threshold = base_threshold(preference);
    }

    /// Sets whether the server is warming up after a cold start. Slowness is then ignored, but
    /// failures still count.
    pub fn set_warming(&mut self, is_warming_up: bool) {
        self.is_warming_up = is_warming_up;
    }

    /// Records the dispatch of request `id`.
    pub fn started(&mut self, id: u64, start: Start) {
        self.in_flight.push(InFlight { id, start, age_level: 0 });
    }

    /// Records the end of request `id`.
    ///
    /// `success` is false for an error of the server's own, a broken exchange and an expired
    /// deadline, and true for every other response, including errors of the caller (4xx).
    pub fn finished(&mut self, id: u64, now: Time, success: bool, baseline: &Baseline) {
        let Some(index) = self.in_flight.iter().position(|other| other.id == id) else { return };
        let mut request = self.in_flight.swap_remove(index);
        let peers = baseline.peers(request.start.class);
        if let Some(peers) = peers {
            self.add_age_evidence(&mut request, now, &peers);
        }
        self.record_end(&request, now, success, peers.as_ref());
    }

    /// Drops request `id`, which its caller cancelled or the owner never sent.
    pub fn cancelled(&mut self, id: u64) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// Records the dispatch and the end of a finished request.
    pub fn observe(&mut self, observation: &Observation, baseline: &Baseline) {
        let id = u64::MAX;
        self.started(id, observation.start);
        let now = observation.start.at + observation.latency;
        self.finished(id, now, observation.success, baseline);
    }

    /// Returns the suspicion with the highest severity, or `None` when the server is not suspected.
    /// The ages of requests in flight are counted first.
    ///
    /// The owner calls this after each request and every 50 ms while requests are in flight.
    pub fn suspicion(&mut self, now: Time, baseline: &Baseline) -> Option<Suspicion> {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        for request in &mut in_flight {
            if let Some(peers) = baseline.peers(request.start.class) {
                self.add_age_evidence(request, now, &peers);
            }
        }
        self.in_flight = in_flight;
        let mut worst: Option<Suspicion> = None;
        let all_classes = self.all_classes.verdicts(self.threshold);
        for class in Class::ALL {
            let state = &self.classes[class.index()];
            let (failing, slow) = state.evidence.verdicts(self.threshold);
            let mut found = Vec::new();
            if failing || (all_classes.0 && state.failure_share > 0.0) {
                let severity = scaled_severity(400.0, state.failure_share);
                found.push(Suspicion { kind: Kind::Failing, severity });
            }
            let evidence = if slow { &state.evidence } else { &self.all_classes };
            if (slow || all_classes.1)
                && let Some(peers) = baseline.peers(class)
                && slowness_confidence(&peers) > 0.5
                && evidence
                    .slow_since
                    .is_some_and(|at| baseline.is_fresh(class, at + SLOWNESS_CONFIRMATION_DELAY))
            {
                let ratio = state.latency / peers.median.as_secs_f64().max(1e-6);
                let severity = scaled_severity(10.0, ratio.clamp(1.0, 20.0));
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

    /// Clears all evidence, for example after an ejection or for a new incarnation. Requests in
    /// flight are still tracked.
    pub fn reset(&mut self) {
        for state in &mut self.classes {
            state.evidence.reset();
            state.failure_share = 0.0;
            state.latency = 0.0;
        }
        self.all_classes.reset();
    }

    /// Adds the evidence of the ages that a request has exceeded since the last call: the median,
    /// then multiples of the 90th percentile.
    fn add_age_evidence(&mut self, request: &mut InFlight, now: Time, peers: &Peers) {
        let age = now.saturating_sub(request.start.at);
        let mut sum = 0.0;
        while request.age_level <= AGE_MULTIPLES.len() {
            let limit = match request.age_level {
                0 => peers.median,
                age_level => peers.p90.mul_f64(AGE_MULTIPLES[age_level - 1]),
            };
            if age <= limit {
                break;
            }
            sum += age_passed_ratio(request.age_level);
            request.age_level += 1;
        }
        if sum == 0.0 {
            return;
        }
        self.add_slowness(request, sum * slowness_confidence(peers), now);
        let state = &mut self.classes[request.start.class.index()];
        state.latency = state.latency.max(age.as_secs_f64().min(20.0 * state.latency));
    }

    fn record_end(&mut self, request: &InFlight, now: Time, success: bool, peers: Option<&Peers>) {
        self.count_request(now);
        let limit = self.threshold * SUM_LIMIT_FACTOR;
        let group = Group::of(request.start.caller, request.start.route);
        let state = &mut self.classes[request.start.class.index()];
        state.evidence.group_counts.add(group);
        self.all_classes.group_counts.add(group);
        let healthy = peers.map_or(MIN_HEALTHY_FAILURE_SHARE, |peers| {
            MIN_HEALTHY_FAILURE_SHARE.max(1.5 * peers.failed)
        });
        let unhealthy = MIN_UNHEALTHY_FAILURE_SHARE.max(f64::midpoint(1.0, healthy));
        if healthy < 0.9 {
            let ratio = if success {
                log_likelihood_ratio(1.0 - unhealthy, 1.0 - healthy)
            } else {
                log_likelihood_ratio(unhealthy, healthy)
            };
            state.evidence.failure.add(ratio, group, limit);
            self.all_classes.failure.add(ratio, group, limit);
        }
        let failed = if success { 0.0 } else { 1.0 };
        state.failure_share += RECENT_WEIGHT * (failed - state.failure_share);
        if !success {
            return;
        }
        let latency = now.saturating_sub(request.start.at);
        let seconds = latency.as_secs_f64();
        state.latency = if state.latency == 0.0 {
            seconds
        } else {
            state.latency + RECENT_WEIGHT * (seconds - state.latency)
        };
        let Some(peers) = peers else { return };
        let ratio = age_not_passed_ratio(request.age_level);
        self.add_slowness(request, ratio * slowness_confidence(peers), now);
    }

    fn add_slowness(&mut self, request: &InFlight, ratio: f64, now: Time) {
        if self.is_warming_up {
            return;
        }
        let limit = self.threshold * SUM_LIMIT_FACTOR;
        let group = Group::of(request.start.caller, request.start.route);
        for evidence in
            [&mut self.classes[request.start.class.index()].evidence, &mut self.all_classes]
        {
            evidence.add_slowness(ratio, group, limit, now);
        }
    }

    /// Counts a request for the request rate and adjusts the threshold to the rate.
    fn count_request(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        self.request_count = self.request_count * (-elapsed / RATE_TIME_CONSTANT_S).exp() + 1.0;
        self.threshold =
            self.base_threshold + (self.request_count / RATE_TIME_CONSTANT_S).max(MIN_RATE).ln();
    }
}

fn base_threshold(preference: Preference) -> f64 {
    match preference {
        Preference::FastDetection => BASE_THRESHOLD_FAST,
        Preference::FewFalseEjections => BASE_THRESHOLD_FEW_FALSE,
    }
}

fn scaled_severity(factor: f64, value: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "0 to 400")]
    let severity = (factor * value).round() as u32;
    severity
}

//! The health of a backend server as its owner sees it, and the work that it may therefore take.
//!
//! Traffic threads report every dispatch here; the control thread judges the evidence and claims
//! an ejection permit. No server is ejected without a permit.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_catalogue::entry::{Class, Preference};
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Clock;
use arbutuslane_health::detector::{Detector, Observation, Start, Suspicion};
use arbutuslane_health::ejection::{Permission, Stage, StageEvent, TrialResult};
use arbutuslane_health::peers::{Baseline, Summary};
use arbutuslane_health::streak::{Change, Streak};

/// The time in which the load share of a new server rises to its full load.
const COLD_RAMP: Duration = Duration::from_secs(5);

/// A request that is cancelled, or whose time ends, counts as failed if it ran for longer than this
/// multiple of the mean latency.
const HANG_LATENCY_FACTOR: u32 = 4;

/// The shortest time after which such a request may count as failed.
const MIN_HANG_TIME: Duration = Duration::from_millis(400);

/// The inverse of the weight that the newest latency has in the moving mean.
const LATENCY_SMOOTHING: u32 = 8;

/// The health of one backend server.
#[derive(Debug)]
pub(crate) struct ServerHealth {
    /// The name of the server, for the log.
    server: ServerId,
    clock: Clock,
    /// Whether a server that fails most requests is tried last. Where permits are granted, such a
    /// server is ejected instead, and gets its usual work until then, which yields the evidence.
    tries_suspects_last: bool,
    state: Mutex<State>,
}

/// A request that runs at the server. A drop without a result counts it as cancelled.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    health: Arc<ServerHealth>,
    id: u64,
    start: Start,
    trial: bool,
    finished: bool,
}

#[derive(Debug)]
struct State {
    detector: Detector,
    baseline: Baseline,
    stage: Stage,
    streak: Streak,
    /// How often the server became a suspect.
    suspicions: u64,
    /// The requests whose outcome is evidence against the server.
    failures: u64,
    /// The moving mean latency of successful requests by class.
    mean_latency: [Option<Duration>; Class::COUNT],
    next_id: u64,
}

impl ServerHealth {
    /// Returns the health of a server that has just announced itself.
    pub(crate) fn new(server: &str, clock: Clock, tries_suspects_last: bool) -> Arc<Self> {
        let now = clock.now();
        let mut detector = Detector::new(Preference::FewFalseEjections);
        detector.set_warming(true);
        let stage = Stage::after_cold_start(now, COLD_RAMP);
        let state = State {
            detector,
            baseline: Baseline::default(),
            stage,
            streak: Streak::default(),
            suspicions: 0,
            failures: 0,
            mean_latency: [None; Class::COUNT],
            next_id: 0,
        };
        let server = server.to_string();
        Arc::new(Self { server, clock, tries_suspects_last, state: Mutex::new(state) })
    }

    /// Sets the time from now in which the load share of the server rises to its full load.
    pub(crate) fn set_ramp(&self, ramp: Duration) {
        let now = self.clock.now();
        self.lock().stage = Stage::after_cold_start(now, ramp);
    }

    /// Records the health of the server's peers as seen by the traffic thread `source` of an entry.
    pub(crate) fn record(&self, source: u64, summary: Summary) {
        let now = self.clock.now();
        self.lock().baseline.record(source, summary, now);
    }

    /// Records the dispatch of a request, or returns `None` when the server may not run it.
    pub(crate) fn begin(
        self: &Arc<Self>,
        class: Class,
        offered_as_trial: bool,
        route: u64,
        caller: u64,
    ) -> Option<RunningRequest> {
        let now = self.clock.now();
        let mut state = self.lock();
        let permission = state.stage.admit(class, offered_as_trial, now);
        if permission == Permission::Refused {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let start = Start { class, route, caller, at: now };
        state.detector.started(id, start);
        let trial = permission == Permission::Trial;
        Some(RunningRequest { health: Arc::clone(self), id, start, trial, finished: false })
    }

    /// Judges the evidence; returns the suspicion while the server awaits a permit.
    pub(crate) fn judge(&self, preference: Preference) -> Option<Suspicion> {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { detector, baseline, stage, .. } = &mut *state;
        detector.set_preference(preference);
        baseline.expire(now);
        let suspicion = detector.suspicion(now, baseline);
        *stage = stage.step(StageEvent::Evaluated(suspicion), now);
        detector.set_warming(stage.ramp_percent(now) < 100);
        stage.claim()
    }

    /// Applies a change of the permit: granted or lost.
    pub(crate) fn apply_permit(&self, event: StageEvent) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.stage = state.stage.step(event, now);
        if matches!(event, StageEvent::PermitGranted) {
            state.detector.reset();
        }
    }

    /// Accepts a request that other servers could run. A suspect server accepts one occasionally, and
    /// more often one that would be repeated if it failed.
    ///
    /// # Errors
    ///
    /// Returns the time until the server may accept such a request.
    pub(crate) fn try_accept(&self, repeatable: bool) -> Result<(), Duration> {
        let now = self.clock.now();
        let streak = &mut self.lock().streak;
        match self.tries_suspects_last && streak.is_suspect() {
            true => streak.try_start_trial(now, repeatable),
            false => Ok(()),
        }
    }

    /// Returns whether the server fails most requests.
    pub(crate) fn is_suspect(&self) -> bool {
        self.tries_suspects_last && self.lock().streak.is_suspect()
    }

    /// Returns how often the server became a suspect.
    pub(crate) fn suspicions(&self) -> u64 {
        self.lock().suspicions
    }

    /// Returns the number of requests whose outcome is evidence against the server.
    pub(crate) fn failures(&self) -> u64 {
        self.lock().failures
    }

    /// Returns whether the server is ejected, and the percentage of its full load that it takes.
    pub(crate) fn availability(&self) -> (bool, u32) {
        let now = self.clock.now();
        let state = self.lock();
        (state.stage.is_ejected(), state.stage.ramp_percent(now))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningRequest {
    /// Records the end of the request or the arrival of its response head.
    pub(crate) fn finish(&mut self, success: bool) {
        self.finished = true;
        let now = self.health.clock.now();
        let mut state = self.health.lock();
        let latency = now.saturating_sub(self.start.at);
        state.record_outcome(&self.health, self.start.class, success.then_some(latency));
        let State { detector, baseline, stage, .. } = &mut *state;
        detector.finished(self.id, now, success, baseline);
        if !self.trial {
            return;
        }
        let p90 = baseline.peers(self.start.class).map(|peers| peers.p90);
        let slow = p90.is_some_and(|p90| now.saturating_sub(self.start.at) > p90);
        let result = match (success, slow) {
            (false, _) => TrialResult::Failed,
            (true, true) => TrialResult::Slow,
            (true, false) => TrialResult::Good,
        };
        *stage = stage.step(StageEvent::TrialEnded(result), now);
    }

    /// Records an end that is no evidence about the server, such as the failure of a request
    /// because of a failed call to another service.
    pub(crate) fn cancel(&mut self) {
        self.finished = true;
        let mut state = self.health.lock();
        state.detector.cancelled(self.id);
        if self.trial {
            let now = self.health.clock.now();
            state.stage = state.stage.step(StageEvent::TrialEnded(TrialResult::Cancelled), now);
        }
    }

    /// Records that the time of the request ended before the server responded.
    ///
    /// The caller or the operator sets that time. A server that needs no longer than usual is not at
    /// fault when the time is too short.
    pub(crate) fn run_out_of_time(&mut self) {
        let has_hung = self.has_hung(&self.health.lock());
        match has_hung {
            true => self.finish(false),
            false => self.cancel(),
        }
    }

    /// Returns whether the request has run for several times the usual latency.
    fn has_hung(&self, state: &State) -> bool {
        let mean = state.mean_latency[self.start.class.index()].unwrap_or_default();
        let elapsed = self.health.clock.now().saturating_sub(self.start.at);
        elapsed > (mean * HANG_LATENCY_FACTOR).max(MIN_HANG_TIME)
    }

    /// Records that the body broke off after a successful response head.
    pub(crate) fn record_broken_body(&self) {
        let latency = self.health.clock.now().saturating_sub(self.start.at);
        let observation = Observation { start: self.start, success: false, latency };
        let mut state = self.health.lock();
        state.record_outcome(&self.health, self.start.class, None);
        let State { detector, baseline, .. } = &mut *state;
        detector.observe(&observation, baseline);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now = self.health.clock.now();
        let mut state = self.health.lock();
        state.detector.cancelled(self.id);
        if self.has_hung(&state) {
            state.record_outcome(&self.health, self.start.class, None);
        }
        if self.trial {
            state.stage = state.stage.step(StageEvent::TrialEnded(TrialResult::Cancelled), now);
        }
    }
}

impl State {
    /// Records a success with its latency, or a failure when `success` is `None`.
    fn record_outcome(&mut self, health: &ServerHealth, class: Class, success: Option<Duration>) {
        if let Some(latency) = success {
            let mean = &mut self.mean_latency[class.index()];
            *mean = Some(mean.map_or(latency, |mean| {
                (mean * (LATENCY_SMOOTHING - 1) + latency) / LATENCY_SMOOTHING
            }));
        }
        self.failures += u64::from(success.is_none());
        let change = self.streak.observe(success.is_some());
        if let Some(change) = change.filter(|_| health.tries_suspects_last) {
            let (suspect, evidence) = (change == Change::Suspected, self.streak.evidence());
            self.suspicions += u64::from(suspect);
            tracing::info!(event = "server-judged", server = health.server, suspect, evidence);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a failing server that is ejected without a permit, or never claims one.
    #[test]
    fn judge_failing() {
        let health = ServerHealth::new("s", Clock::start(), false);
        // The threshold rises with the rate of requests, and these requests all come at once.
        for caller in 0..200 {
            let mut running = health.begin(Class::Idempotent, false, 1, caller).unwrap();
            running.finish(false);
        }
        let mut claim = health.judge(Preference::FastDetection);
        claim = claim.or_else(|| health.judge(Preference::FastDetection));
        assert!(claim.is_some());
        assert!(!health.availability().0);
        health.apply_permit(StageEvent::PermitGranted);
        assert!(health.availability().0);
        assert!(health.begin(Class::Idempotent, false, 1, 1).is_none());
        health.apply_permit(StageEvent::PermitLost);
        assert!(health.begin(Class::Idempotent, false, 1, 1).is_some());
    }

    /// Guards against a server that is suspected because requests with little time, such as those of a
    /// route with a short timeout, end before it can respond.
    #[test]
    fn run_out_of_time_short() {
        let health = ServerHealth::new("s", Clock::start(), true);
        let begin = || health.begin(Class::Idempotent, false, 1, 1).unwrap();
        begin().run_out_of_time();
        assert!(!health.is_suspect());
        let mut hung = begin();
        hung.start.at = Duration::ZERO;
        std::thread::sleep(MIN_HANG_TIME + Duration::from_millis(20));
        hung.run_out_of_time();
        assert!(health.is_suspect());
    }

    /// Guards against early cancellations by callers that count as failures of the server.
    #[test]
    fn begin_cancelled() {
        let health = ServerHealth::new("s", Clock::start(), false);
        for caller in 0..200 {
            drop(health.begin(Class::Idempotent, false, 1, caller));
        }
        assert!(health.judge(Preference::FastDetection).is_none());
    }
}

//! What the owner knows of a backend server's health, and what work it lets through.
//!
//! Traffic threads report every dispatch here; the control thread judges the evidence and claims
//! an ejection permit. Nothing is ejected without one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_catalogue::entry::{Class, Preference};
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Clock;
use arbutuslane_health::detector::{Detector, Observation, Start, Suspicion};
use arbutuslane_health::ejection::{Input, Permission, Stage, TrialResult};
use arbutuslane_health::peers::{Baseline, Summary};
use arbutuslane_health::streak::{Change, Streak};

/// The time in which a server that announced itself takes a rising share of its load.
const COLD_RAMP: Duration = Duration::from_secs(5);

/// A request that is given up counts as failed when it had run for this many times the mean latency.
const HANGS: u32 = 4;

/// The shortest time after which a request that is given up may count as failed.
const SHORTEST_HANG: Duration = Duration::from_millis(400);

/// The weight of the newest latency in the mean is one in this many.
const SMOOTHING: u32 = 8;

/// The health of one backend server.
#[derive(Debug)]
pub(crate) struct Condition {
    /// The server, for the log.
    server: ServerId,
    clock: Clock,
    /// Whether a server that fails most requests is tried last. Where permits are granted, such a
    /// server is ejected instead, and keeps its work until then because the evidence comes from it.
    suspects: bool,
    state: Mutex<State>,
}

/// A request that the server runs; dropped without a result it counts as cancelled.
#[derive(Debug)]
pub(crate) struct Running {
    condition: Arc<Condition>,
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
    /// The mean latency of successful requests by class.
    latency: [Option<Duration>; 3],
    next: u64,
}

impl Condition {
    /// Returns the condition of a server that has just announced itself.
    pub(crate) fn new(server: &str, clock: Clock, suspects: bool) -> Arc<Self> {
        let now = clock.now();
        let mut detector = Detector::new(Preference::FewFalseEjections);
        detector.set_warming(true);
        let stage = Stage::cold(now, COLD_RAMP);
        let state = State {
            detector,
            baseline: Baseline::default(),
            stage,
            streak: Streak::default(),
            suspicions: 0,
            latency: [None; 3],
            next: 0,
        };
        let server = server.to_string();
        Arc::new(Self { server, clock, suspects, state: Mutex::new(state) })
    }

    /// Sets the time in which the server takes a rising share of its load, counted from now.
    pub(crate) fn set_ramp(&self, ramp: Duration) {
        let now = self.clock.now();
        self.lock().stage = Stage::cold(now, ramp);
    }

    /// Takes in what the entry with the hash `entry` sees of the server's peers.
    pub(crate) fn record(&self, entry: u64, summary: Summary) {
        let now = self.clock.now();
        self.lock().baseline.record(entry, summary, now);
    }

    /// Takes in the dispatch of a request, or returns nothing when the server may not run it.
    pub(crate) fn begin(
        self: &Arc<Self>,
        class: Class,
        offered_as_trial: bool,
        route: u64,
        caller: u64,
    ) -> Option<Running> {
        let now = self.clock.now();
        let mut state = self.lock();
        let permission = state.stage.permit(class, offered_as_trial, now);
        if permission == Permission::Refused {
            return None;
        }
        let id = state.next;
        state.next += 1;
        let start = Start { class, route, caller, at: now };
        state.detector.started(id, start);
        let trial = permission == Permission::Trial;
        Some(Running { condition: Arc::clone(self), id, start, trial, finished: false })
    }

    /// Judges the evidence and returns that for a claim while the server awaits a permit.
    pub(crate) fn judge(&self, preference: Preference) -> Option<Suspicion> {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { detector, baseline, stage, .. } = &mut *state;
        detector.set_preference(preference);
        baseline.expire(now);
        let suspicion = detector.suspicion(now, baseline);
        *stage = stage.step(Input::Judged(suspicion), now);
        detector.set_warming(stage.ramp_percent(now) < 100);
        stage.claim()
    }

    /// Applies what became of a permit: granted, or lost.
    pub(crate) fn apply(&self, input: Input) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.stage = state.stage.step(input, now);
        if matches!(input, Input::Granted) {
            state.detector.reset();
        }
    }

    /// Returns whether the server should take a request that other servers may take. A suspect takes
    /// one now and then, more often one that would be repeated if it failed.
    pub(crate) fn prefers(&self, repeatable: bool) -> bool {
        let now = self.clock.now();
        let streak = &mut self.lock().streak;
        !self.suspects || !streak.is_suspect() || streak.try_now(now, repeatable)
    }

    /// Returns whether the server fails most requests.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspects && self.lock().streak.is_suspect()
    }

    /// Returns how often the server became a suspect.
    pub(crate) fn suspicions(&self) -> u64 {
        self.lock().suspicions
    }

    /// Returns whether the server is ejected, and the share of its load that it takes in percent.
    pub(crate) fn view(&self) -> (bool, u32) {
        let now = self.clock.now();
        let state = self.lock();
        (state.stage.is_ejected(), state.stage.ramp_percent(now))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running {
    /// Takes in the end of the request, or of its response head.
    pub(crate) fn finish(&mut self, success: bool) {
        self.finished = true;
        let now = self.condition.clock.now();
        let mut state = self.condition.lock();
        let taken = now.saturating_sub(self.start.at);
        state.judge(&self.condition, self.start.class, success.then_some(taken));
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
        *stage = stage.step(Input::Tried(result), now);
    }

    /// Takes in a failure that says nothing about the server, such as that of a request that needed
    /// another one.
    pub(crate) fn excuse(&mut self) {
        self.finished = true;
        let mut state = self.condition.lock();
        state.detector.cancelled(self.id);
        if self.trial {
            let now = self.condition.clock.now();
            state.stage = state.stage.step(Input::Tried(TrialResult::Cancelled), now);
        }
    }

    /// Takes in that the body broke off after a response head that looked well.
    pub(crate) fn broke(&self) {
        let latency = self.condition.clock.now().saturating_sub(self.start.at);
        let observation = Observation { start: self.start, success: false, latency };
        let mut state = self.condition.lock();
        state.judge(&self.condition, self.start.class, None);
        let State { detector, baseline, .. } = &mut *state;
        detector.observe(&observation, baseline);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now = self.condition.clock.now();
        let mut state = self.condition.lock();
        state.detector.cancelled(self.id);
        let usual = state.latency[index(self.start.class)].unwrap_or_default() * HANGS;
        if now.saturating_sub(self.start.at) > usual.max(SHORTEST_HANG) {
            state.judge(&self.condition, self.start.class, None);
        }
        if self.trial {
            state.stage = state.stage.step(Input::Tried(TrialResult::Cancelled), now);
        }
    }
}

impl State {
    /// Takes in a success with its latency, or a failure.
    fn judge(&mut self, condition: &Condition, class: Class, success: Option<Duration>) {
        if let Some(taken) = success {
            let mean = &mut self.latency[index(class)];
            *mean = Some(mean.map_or(taken, |mean| (mean * (SMOOTHING - 1) + taken) / SMOOTHING));
        }
        let change = self.streak.observe(success.is_some());
        if let Some(change) = change.filter(|_| condition.suspects) {
            let (suspect, evidence) = (change == Change::Suspected, self.streak.evidence());
            self.suspicions += u64::from(suspect);
            tracing::info!(event = "server-judged", server = condition.server, suspect, evidence);
        }
    }
}

fn index(class: Class) -> usize {
    match class {
        Class::NonIdempotent => 0,
        Class::Idempotent => 1,
        Class::Download => 2,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a failing server that is ejected without a permit, or never claims one.
    #[test]
    fn judge_failing() {
        let condition = Condition::new("s", Clock::start(), false);
        // The threshold rises with the rate of requests, and these all come at once.
        for caller in 0..200 {
            let mut running = condition.begin(Class::Idempotent, false, 1, caller).unwrap();
            running.finish(false);
        }
        let mut claim = condition.judge(Preference::FastDetection);
        claim = claim.or_else(|| condition.judge(Preference::FastDetection));
        assert!(claim.is_some());
        assert!(!condition.view().0);
        condition.apply(Input::Granted);
        assert!(condition.view().0);
        assert!(condition.begin(Class::Idempotent, false, 1, 1).is_none());
        condition.apply(Input::Lost);
        assert!(condition.begin(Class::Idempotent, false, 1, 1).is_some());
    }

    /// Guards against requests that callers gave up and that count against the server.
    #[test]
    fn begin_cancelled() {
        let condition = Condition::new("s", Clock::start(), false);
        for caller in 0..200 {
            drop(condition.begin(Class::Idempotent, false, 1, caller));
        }
        assert!(condition.judge(Preference::FastDetection).is_none());
    }
}

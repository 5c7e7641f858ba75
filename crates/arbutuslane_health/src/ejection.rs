//! The life cycle of an ejection: serving, awaiting a permit, ejected, in trial, returning.
//!
//! A transition that is not part of the life cycle does not compile: only an [`Ejection<Awaiting>`]
//! can be granted a permit, and only an [`Ejection<Ejected>`] can start trials. [`Stage`] holds the
//! current state of a server and applies the transitions that inputs cause.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::detector::Suspicion;

/// The server accepts all requests.
#[derive(Debug, Clone, Copy)]
pub struct Serving;

/// The server is suspected but still accepts all requests, and its owner claims a permit.
#[derive(Debug, Clone, Copy)]
pub struct Awaiting {
    suspicion: Suspicion,
}

/// The owner has a permit, and the server accepts no requests until the hold time is over.
#[derive(Debug, Clone, Copy)]
pub struct Ejected {
    until: Time,
}

/// The owner has a permit, and the server accepts trial requests only.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// The earliest time of the next trial request.
    next_trial_at: Time,
    /// When the last trial request started, or the trials if none has.
    waiting_since: Time,
    is_running: bool,
    /// The number of good trials since the last slow one.
    good_trials: u32,
    /// The number of slow trials since the last good one.
    slow_trials: u32,
}

/// The server is back in use with a rising share of its full load.
#[derive(Debug, Clone, Copy)]
pub struct Returning {
    since: Time,
    ramp: Duration,
    /// Whether no trial request has run, as in a service with non-idempotent requests only.
    is_untried: bool,
}

/// One server's ejection in the state `S`.
#[derive(Debug, Clone, Copy)]
pub struct Ejection<S> {
    state: S,
    /// The number of times that the hold time of the next ejection is doubled.
    hold_doublings: u32,
    /// The time from which the next halving of the hold time is counted.
    halving_counted_from: Time,
}

/// The hold time of a first ejection; it doubles with each further one.
const FIRST_HOLD_TIME: Duration = Duration::from_secs(5);

/// The longest hold time.
const MAX_HOLD_TIME: Duration = Duration::from_secs(300);

/// The time without an ejection after which the hold time is halved.
const HOLD_HALVING_INTERVAL: Duration = Duration::from_secs(600);

/// The least time between the starts of two trial requests at the owner.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The number of consecutive good trials after which a server returns.
const GOOD_TRIALS_TO_RETURN: u32 = 5;

/// The number of consecutive slow trials after which a server is ejected for another hold time.
const SLOW_TRIALS_TO_EJECT: u32 = 5;

/// The time without a trial request after which a server returns without one. Its service then has
/// no idempotent requests, and the detector monitors the server during the ramp-up instead.
const UNTRIED_RETURN_DELAY: Duration = Duration::from_secs(10);

/// The time in which a returning server's share of its full load rises from `RAMP_START_PERCENT` to
/// 100%.
const RAMP_DURATION: Duration = Duration::from_secs(5);

/// The share of its full load that a returning server accepts at first, in percent.
const RAMP_START_PERCENT: u32 = 20;

/// The result of a trial request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialResult {
    /// The request succeeded within the peers' 90th percentile of latency.
    Good,
    /// The request succeeded, but took longer.
    Slow,
    /// The request failed.
    Failed,
    /// The caller cancelled the request, so the result is not counted.
    Cancelled,
}

impl Ejection<Serving> {
    /// Returns the state of a server that has never been ejected.
    pub fn new(now: Time) -> Self {
        Self { state: Serving, hold_doublings: 0, halving_counted_from: now }
    }

    /// Starts to claim a permit.
    pub fn suspect(self, suspicion: Suspicion) -> Ejection<Awaiting> {
        self.with_state(Awaiting { suspicion })
    }
}

impl Ejection<Awaiting> {
    /// Returns the evidence for the claim.
    pub fn suspicion(&self) -> Suspicion {
        self.state.suspicion
    }

    /// Replaces the evidence by newer evidence.
    pub fn update(self, suspicion: Suspicion) -> Self {
        self.with_state(Awaiting { suspicion })
    }

    /// Drops the claim, because the server is no longer suspected.
    pub fn clear(self) -> Ejection<Serving> {
        self.with_state(Serving)
    }

    /// Ejects the server under a granted permit.
    pub fn grant(self, now: Time) -> Ejection<Ejected> {
        let mut ejection = self.with_state(Ejected { until: now });
        ejection.apply_hold_halvings(now);
        ejection.start_hold(now)
    }
}

impl Ejection<Ejected> {
    /// Returns the end of the hold time.
    pub fn until(&self) -> Time {
        self.state.until
    }

    /// Starts trials when the hold time is over.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state while the hold time lasts.
    pub fn start_trials(self, now: Time) -> Result<Ejection<Trial>, Self> {
        if now < self.state.until {
            return Err(self);
        }
        let trial = Trial {
            next_trial_at: now,
            waiting_since: now,
            is_running: false,
            good_trials: 0,
            slow_trials: 0,
        };
        Ok(self.with_state(trial))
    }

    fn start_hold(mut self, now: Time) -> Self {
        let hold_time = (FIRST_HOLD_TIME * (1 << self.hold_doublings.min(10))).min(MAX_HOLD_TIME);
        self.hold_doublings = (self.hold_doublings + 1).min(10);
        self.halving_counted_from = now + hold_time;
        self.state.until = now + hold_time;
        self
    }
}

impl Ejection<Trial> {
    /// Returns whether a request may run as a trial now, and marks the trial as running if so.
    ///
    /// Downloads count as idempotent, because a service of downloads has no other requests for a
    /// trial.
    pub fn try_start_trial(&mut self, class: Class, now: Time) -> bool {
        if !class.is_repeatable() || self.state.is_running || now < self.state.next_trial_at {
            return false;
        }
        self.state.is_running = true;
        self.state.waiting_since = now;
        self.state.next_trial_at = now + MIN_TRIAL_INTERVAL;
        true
    }

    /// Starts the ramp-up without a trial when no trial request has started for 10 s.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state while a trial is running or the 10 s have not passed.
    pub fn return_untried(self, now: Time) -> Result<Ejection<Returning>, Self> {
        if self.state.is_running
            || now.saturating_sub(self.state.waiting_since) < UNTRIED_RETURN_DELAY
        {
            return Err(self);
        }
        Ok(self.with_state(Returning { since: now, ramp: RAMP_DURATION, is_untried: true }))
    }

    /// Records the result of the running trial request and returns the next stage.
    pub fn finish_trial(mut self, result: TrialResult, now: Time) -> Stage {
        self.state.is_running = false;
        match result {
            TrialResult::Good => {
                self.state.good_trials += 1;
                self.state.slow_trials = 0;
            }
            TrialResult::Slow => {
                self.state.good_trials = 0;
                self.state.slow_trials += 1;
            }
            TrialResult::Failed => {
                return Stage::Ejected(self.with_state(Ejected { until: now }).start_hold(now));
            }
            TrialResult::Cancelled => {}
        }
        if self.state.slow_trials >= SLOW_TRIALS_TO_EJECT {
            return Stage::Ejected(self.with_state(Ejected { until: now }).start_hold(now));
        }
        if self.state.good_trials >= GOOD_TRIALS_TO_RETURN {
            return Stage::Returning(self.with_state(Returning {
                since: now,
                ramp: RAMP_DURATION,
                is_untried: false,
            }));
        }
        Stage::Trial(self)
    }
}

impl Ejection<Returning> {
    /// Returns the share of its full load that the server accepts, in percent.
    pub fn ramp_percent(&self, now: Time) -> u32 {
        let elapsed = now.saturating_sub(self.state.since).as_millis();
        let risen =
            elapsed * u128::from(100 - RAMP_START_PERCENT) / self.state.ramp.as_millis().max(1);
        RAMP_START_PERCENT + u32::try_from(risen).unwrap_or(100).min(100 - RAMP_START_PERCENT)
    }

    /// Returns whether non-idempotent requests are accepted. They are accepted only at the end of
    /// the ramp-up, unless the server returned without a trial.
    pub fn accepts_non_idempotent(&self, now: Time) -> bool {
        self.state.is_untried || self.ramp_percent(now) >= 100
    }

    /// Ends the ramp-up when it is complete.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state during the ramp-up.
    pub fn complete(self, now: Time) -> Result<Ejection<Serving>, Self> {
        if now.saturating_sub(self.state.since) < self.state.ramp {
            return Err(self);
        }
        Ok(self.with_state(Serving))
    }

    /// Starts to claim a permit again.
    pub fn suspect(self, suspicion: Suspicion) -> Ejection<Awaiting> {
        self.with_state(Awaiting { suspicion })
    }
}

impl<S> Ejection<S> {
    fn with_state<T>(self, state: T) -> Ejection<T> {
        Ejection {
            state,
            hold_doublings: self.hold_doublings,
            halving_counted_from: self.halving_counted_from,
        }
    }

    fn apply_hold_halvings(&mut self, now: Time) {
        while self.hold_doublings > 0
            && now.saturating_sub(self.halving_counted_from) >= HOLD_HALVING_INTERVAL
        {
            self.hold_doublings -= 1;
            self.halving_counted_from += HOLD_HALVING_INTERVAL;
        }
    }
}

/// The state of one server's ejection.
#[derive(Debug, Clone, Copy)]
pub enum Stage {
    /// The server accepts all requests.
    Serving(Ejection<Serving>),
    /// The server is suspected and accepts all requests.
    Awaiting(Ejection<Awaiting>),
    /// The server accepts no requests.
    Ejected(Ejection<Ejected>),
    /// The server accepts trial requests only.
    Trial(Ejection<Trial>),
    /// The server accepts a rising share of its full load, and non-idempotent requests at the end
    /// of the ramp-up.
    Returning(Ejection<Returning>),
}

/// An event that may change the [`Stage`] of a server.
#[derive(Debug, Clone, Copy)]
pub enum StageEvent {
    /// The detector's current verdict; also the event by which time-dependent changes are applied.
    Evaluated(Option<Suspicion>),
    /// A permit was granted.
    PermitGranted,
    /// The permit was lost, because it was not renewed or was released for a more unhealthy server.
    PermitLost,
    /// A trial request ended.
    TrialEnded(TrialResult),
}

/// Whether the owner may dispatch a request in the current stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// The request is dispatched as ordinary work.
    Work,
    /// The request is dispatched as a trial; its result is reported by [`StageEvent::TrialEnded`].
    Trial,
    /// The request is refused as not run.
    Refused,
}

impl Stage {
    /// Returns the stage of a server that has never been ejected.
    pub fn new(now: Time) -> Self {
        Self::Serving(Ejection::new(now))
    }

    /// Returns the stage of a server after a cold start, which accepts its full load after `ramp`.
    pub fn after_cold_start(now: Time, ramp: Duration) -> Self {
        let returning = Returning { since: now, ramp, is_untried: true };
        Self::Returning(Ejection::new(now).with_state(returning))
    }

    /// Applies an event and returns the next stage. Events without effect in this stage are
    /// ignored.
    #[must_use]
    pub fn step(self, event: StageEvent, now: Time) -> Self {
        match (self, event) {
            (Self::Serving(state), StageEvent::Evaluated(Some(suspicion))) => {
                Self::Awaiting(state.suspect(suspicion))
            }
            (Self::Awaiting(state), StageEvent::Evaluated(Some(suspicion))) => {
                Self::Awaiting(state.update(suspicion))
            }
            (Self::Awaiting(state), StageEvent::Evaluated(None)) => Self::Serving(state.clear()),
            (Self::Awaiting(state), StageEvent::PermitGranted) => Self::Ejected(state.grant(now)),
            (Self::Ejected(state), StageEvent::Evaluated(_)) => match state.start_trials(now) {
                Ok(trial) => Self::Trial(trial),
                Err(state) => Self::Ejected(state),
            },
            (Self::Ejected(state), StageEvent::PermitLost) => {
                Self::Serving(state.with_state(Serving))
            }
            (Self::Trial(state), StageEvent::PermitLost) => {
                Self::Serving(state.with_state(Serving))
            }
            (Self::Trial(state), StageEvent::Evaluated(_)) => match state.return_untried(now) {
                Ok(returning) => Self::Returning(returning),
                Err(state) => Self::Trial(state),
            },
            (Self::Trial(state), StageEvent::TrialEnded(result)) => state.finish_trial(result, now),
            (Self::Returning(state), StageEvent::Evaluated(Some(suspicion))) => {
                Self::Awaiting(state.suspect(suspicion))
            }
            (Self::Returning(state), StageEvent::Evaluated(None)) => match state.complete(now) {
                Ok(serving) => Self::Serving(serving),
                Err(state) => Self::Returning(state),
            },
            (stage, _) => stage,
        }
    }

    /// Returns whether a request may be dispatched, and marks a trial as running if it is one.
    ///
    /// `offered_as_trial` is whether the entry marked the request as a trial.
    pub fn admit(&mut self, class: Class, offered_as_trial: bool, now: Time) -> Permission {
        match self {
            Self::Serving(_) | Self::Awaiting(_) => Permission::Work,
            Self::Returning(state) => {
                if !class.is_repeatable() && !state.accepts_non_idempotent(now) {
                    return Permission::Refused;
                }
                Permission::Work
            }
            Self::Ejected(_) => Permission::Refused,
            Self::Trial(state) => {
                if offered_as_trial && state.try_start_trial(class, now) {
                    return Permission::Trial;
                }
                Permission::Refused
            }
        }
    }

    /// Returns whether the server is out of ordinary use, which requires a permit.
    pub fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected(_) | Self::Trial(_))
    }

    /// Returns the evidence for a permit claim, or `None` when no permit is awaited.
    pub fn claim(&self) -> Option<Suspicion> {
        match self {
            Self::Awaiting(state) => Some(state.suspicion()),
            _ => None,
        }
    }

    /// Returns the share of its full load that the server accepts while it returns, in percent; 100
    /// in all other stages.
    pub fn ramp_percent(&self, now: Time) -> u32 {
        match self {
            Self::Returning(state) => state.ramp_percent(now),
            _ => 100,
        }
    }
}

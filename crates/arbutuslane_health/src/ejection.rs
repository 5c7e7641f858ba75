//! The life cycle of an ejection: serving, awaiting a permit, ejected, in trial, returning.
//!
//! A transition that the life cycle does not have does not compile: only an
//! [`Ejection<Awaiting>`] can be granted a permit, only an [`Ejection<Ejected>`] goes into trial.
//! [`Stage`] holds whichever state a server is in and applies the transitions that an input causes.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::detector::Suspicion;

/// The server takes all work.
#[derive(Debug, Clone, Copy)]
pub struct Serving;

/// The server is suspected, still takes all work, and its owner claims a permit.
#[derive(Debug, Clone, Copy)]
pub struct Awaiting {
    suspicion: Suspicion,
}

/// The owner holds a permit; the server takes no work until the hold time is over.
#[derive(Debug, Clone, Copy)]
pub struct Ejected {
    until: Time,
}

/// The owner holds a permit; the server takes trial requests only.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    next: Time,
    waiting_since: Time,
    running: bool,
    successes: u32,
    slow: u32,
}

/// The server is back in use with a rising share of its load.
#[derive(Debug, Clone, Copy)]
pub struct Returning {
    since: Time,
    ramp: Duration,
    /// Whether no trial request was offered, as in a service of non-idempotent work only.
    untried: bool,
}

/// One server's ejection in the state `S`.
#[derive(Debug, Clone, Copy)]
pub struct Ejection<S> {
    state: S,
    repeats: u32,
    repeats_at: Time,
}

/// The hold time of a first ejection; it doubles with each further one.
const HOLD_FIRST: Duration = Duration::from_secs(5);

/// The longest hold time.
const HOLD_MAX: Duration = Duration::from_secs(300);

/// The hold time is halved each time this passes without an ejection.
const FORGIVE_AFTER: Duration = Duration::from_secs(600);

/// Trial requests are at least this far apart at the owner.
const TRIAL_EVERY: Duration = Duration::from_millis(500);

/// Consecutive successful trials after which a server returns.
const TRIALS: u32 = 5;

/// Slow trials in a row after which a server stays out for another hold time.
const SLOW_TRIALS: u32 = 5;

/// A server that is offered no trial request for this long returns without one: its service has no
/// idempotent work, and the detector watches the ramp-up instead.
const UNTRIED_AFTER: Duration = Duration::from_secs(10);

/// The time in which a returning server's share rises from `RAMP_FIRST` to all of its load.
const RAMP: Duration = Duration::from_secs(5);

/// The share of its load that a returning server takes first, in percent.
const RAMP_FIRST: u32 = 20;

/// What became of a trial request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialResult {
    /// Answered as fast as the peers' 90th percentile.
    Good,
    /// Answered, but slower.
    Slow,
    /// Failed.
    Failed,
    /// Cancelled by its caller, so it says nothing.
    Cancelled,
}

impl Ejection<Serving> {
    /// Returns the state of a server that has never been ejected.
    pub fn new(now: Time) -> Self {
        Self { state: Serving, repeats: 0, repeats_at: now }
    }

    /// Starts to claim a permit.
    pub fn suspect(self, suspicion: Suspicion) -> Ejection<Awaiting> {
        self.with(Awaiting { suspicion })
    }
}

impl Ejection<Awaiting> {
    /// Returns the evidence for the claim.
    pub fn suspicion(&self) -> Suspicion {
        self.state.suspicion
    }

    /// Takes in newer evidence.
    pub fn update(self, suspicion: Suspicion) -> Self {
        self.with(Awaiting { suspicion })
    }

    /// Gives up the claim, because the evidence has gone.
    pub fn clear(self) -> Ejection<Serving> {
        self.with(Serving)
    }

    /// Ejects the server under a granted permit.
    pub fn grant(self, now: Time) -> Ejection<Ejected> {
        let mut ejection = self.with(Ejected { until: now });
        ejection.forgive(now);
        ejection.hold(now)
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
    pub fn try_out(self, now: Time) -> Result<Ejection<Trial>, Self> {
        if now < self.state.until {
            return Err(self);
        }
        let trial = Trial { next: now, waiting_since: now, running: false, successes: 0, slow: 0 };
        Ok(self.with(trial))
    }

    fn hold(mut self, now: Time) -> Self {
        let hold = (HOLD_FIRST * (1 << self.repeats.min(10))).min(HOLD_MAX);
        self.repeats = (self.repeats + 1).min(10);
        self.repeats_at = now + hold;
        self.state.until = now + hold;
        self
    }
}

impl Ejection<Trial> {
    /// Takes the place of a trial request and returns whether one may run now.
    ///
    /// Downloads count as idempotent: in a service of downloads there is nothing else to try.
    pub fn admit(&mut self, class: Class, now: Time) -> bool {
        if class == Class::NonIdempotent || self.state.running || now < self.state.next {
            return false;
        }
        self.state.running = true;
        self.state.waiting_since = now;
        self.state.next = now + TRIAL_EVERY;
        true
    }

    /// Starts the ramp-up when no trial request was offered for 10 s.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state otherwise.
    pub fn give_up(self, now: Time) -> Result<Ejection<Returning>, Self> {
        if self.state.running || now.saturating_sub(self.state.waiting_since) < UNTRIED_AFTER {
            return Err(self);
        }
        Ok(self.with(Returning { since: now, ramp: RAMP, untried: true }))
    }

    /// Takes in the result of the running trial request.
    pub fn conclude(mut self, result: TrialResult, now: Time) -> Stage {
        self.state.running = false;
        match result {
            TrialResult::Good => {
                self.state.successes += 1;
                self.state.slow = 0;
            }
            TrialResult::Slow => {
                self.state.successes = 0;
                self.state.slow += 1;
            }
            TrialResult::Failed => {
                return Stage::Ejected(self.with(Ejected { until: now }).hold(now));
            }
            TrialResult::Cancelled => {}
        }
        if self.state.slow >= SLOW_TRIALS {
            return Stage::Ejected(self.with(Ejected { until: now }).hold(now));
        }
        if self.state.successes >= TRIALS {
            return Stage::Returning(self.with(Returning {
                since: now,
                ramp: RAMP,
                untried: false,
            }));
        }
        Stage::Trial(self)
    }
}

impl Ejection<Returning> {
    /// Returns the share of its load that the server takes, in percent.
    pub fn ramp_percent(&self, now: Time) -> u32 {
        let elapsed = now.saturating_sub(self.state.since).as_millis();
        let risen = elapsed * u128::from(100 - RAMP_FIRST) / self.state.ramp.as_millis().max(1);
        RAMP_FIRST + u32::try_from(risen).unwrap_or(100).min(100 - RAMP_FIRST)
    }

    /// Returns whether non-idempotent work is taken, which is so only at the end of the ramp-up
    /// unless there is no other work to try the server with.
    pub fn takes_non_idempotent(&self, now: Time) -> bool {
        self.state.untried || self.ramp_percent(now) >= 100
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
        Ok(self.with(Serving))
    }

    /// Starts to claim a permit again.
    pub fn suspect(self, suspicion: Suspicion) -> Ejection<Awaiting> {
        self.with(Awaiting { suspicion })
    }
}

impl<S> Ejection<S> {
    fn with<T>(self, state: T) -> Ejection<T> {
        Ejection { state, repeats: self.repeats, repeats_at: self.repeats_at }
    }

    fn forgive(&mut self, now: Time) {
        while self.repeats > 0 && now.saturating_sub(self.repeats_at) >= FORGIVE_AFTER {
            self.repeats -= 1;
            self.repeats_at += FORGIVE_AFTER;
        }
    }
}

/// The state of one server's ejection.
#[derive(Debug, Clone, Copy)]
pub enum Stage {
    /// Takes all work.
    Serving(Ejection<Serving>),
    /// Suspected; takes all work.
    Awaiting(Ejection<Awaiting>),
    /// Takes no work.
    Ejected(Ejection<Ejected>),
    /// Takes trial requests.
    Trial(Ejection<Trial>),
    /// Takes a rising share of its load; non-idempotent work at the end of the ramp-up.
    Returning(Ejection<Returning>),
}

/// What moves a [`Stage`].
#[derive(Debug, Clone, Copy)]
pub enum Input {
    /// The detector's current judgement, also when time has passed.
    Judged(Option<Suspicion>),
    /// A permit was granted.
    Granted,
    /// The permit was lost: not renewed, or released for a more unhealthy server.
    Lost,
    /// A trial request ended.
    Tried(TrialResult),
}

/// Whether the owner may dispatch a request in the current stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// As ordinary work.
    Work,
    /// As a trial, whose result is reported by [`Input::Tried`].
    Trial,
    /// Not at all; it is refused as not run.
    Refused,
}

impl Stage {
    /// Returns the stage of a server that has never been ejected.
    pub fn new(now: Time) -> Self {
        Self::Serving(Ejection::new(now))
    }

    /// Returns the stage of a server that started cold and takes its full load after `ramp`.
    pub fn cold(now: Time, ramp: Duration) -> Self {
        let returning = Returning { since: now, ramp, untried: true };
        Self::Returning(Ejection::new(now).with(returning))
    }

    /// Applies an input; inputs that the stage does not have are ignored.
    #[must_use]
    pub fn step(self, input: Input, now: Time) -> Self {
        match (self, input) {
            (Self::Serving(state), Input::Judged(Some(suspicion))) => {
                Self::Awaiting(state.suspect(suspicion))
            }
            (Self::Awaiting(state), Input::Judged(Some(suspicion))) => {
                Self::Awaiting(state.update(suspicion))
            }
            (Self::Awaiting(state), Input::Judged(None)) => Self::Serving(state.clear()),
            (Self::Awaiting(state), Input::Granted) => Self::Ejected(state.grant(now)),
            (Self::Ejected(state), Input::Judged(_)) => match state.try_out(now) {
                Ok(trial) => Self::Trial(trial),
                Err(state) => Self::Ejected(state),
            },
            (Self::Ejected(state), Input::Lost) => Self::Serving(state.with(Serving)),
            (Self::Trial(state), Input::Lost) => Self::Serving(state.with(Serving)),
            (Self::Trial(state), Input::Judged(_)) => match state.give_up(now) {
                Ok(returning) => Self::Returning(returning),
                Err(state) => Self::Trial(state),
            },
            (Self::Trial(state), Input::Tried(result)) => state.conclude(result, now),
            (Self::Returning(state), Input::Judged(Some(suspicion))) => {
                Self::Awaiting(state.suspect(suspicion))
            }
            (Self::Returning(state), Input::Judged(None)) => match state.complete(now) {
                Ok(serving) => Self::Serving(serving),
                Err(state) => Self::Returning(state),
            },
            (stage, _) => stage,
        }
    }

    /// Returns whether a request may be dispatched, and takes the place of a trial request.
    ///
    /// `offered_as_trial` is whether the entry marked the request as a trial.
    pub fn permit(&mut self, class: Class, offered_as_trial: bool, now: Time) -> Permission {
        match self {
            Self::Serving(_) | Self::Awaiting(_) => Permission::Work,
            Self::Returning(state) => {
                if class == Class::NonIdempotent && !state.takes_non_idempotent(now) {
                    return Permission::Refused;
                }
                Permission::Work
            }
            Self::Ejected(_) => Permission::Refused,
            Self::Trial(state) => {
                if offered_as_trial && state.admit(class, now) {
                    return Permission::Trial;
                }
                Permission::Refused
            }
        }
    }

    /// Returns whether the owner holds, or must hold, a permit in this stage.
    pub fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected(_) | Self::Trial(_))
    }

    /// Returns the evidence for a claim while the stage awaits a permit.
    pub fn claim(&self) -> Option<Suspicion> {
        match self {
            Self::Awaiting(state) => Some(state.suspicion()),
            _ => None,
        }
    }

    /// Returns the share of its load that the server takes, in percent.
    pub fn ramp_percent(&self, now: Time) -> u32 {
        match self {
            Self::Returning(state) => state.ramp_percent(now),
            _ => 100,
        }
    }
}

//! The retry budget limits retries and hedges to a share of first requests.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// Whether a request is new work or a caller's resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A request that the caller sends for the first time.
    First,
    /// A resend by the caller, recognized by its key or fingerprint.
    Resend,
}

/// Limits retries and hedges of one service at one entry.
///
/// At any time, `spent <= percent / 100 * first requests + reserve`. The saved credit is capped, so
/// that a burst of failures after a quiet period causes at most `max_saved` retries beyond the
/// share. Callers' resends earn no credit: in a retry storm they would otherwise raise the budget.
/// A budget with a [refill interval](RetryBudget::with_refill_interval) also earns one retry in
/// each interval.
///
/// ```
/// use arbutuslane_limit::budget::{Origin, RetryBudget};
///
/// let mut budget = RetryBudget::new(10, 0, 20);
/// for _ in 0..10 {
///     assert!(!budget.spend());
///     budget.earn(Origin::First);
/// }
/// assert!(budget.spend());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// The credit that a first request earns.
    percent: f64,
    max_credit: f64,
    /// Negative after repeats that were charged although there was no credit for them.
    credit: f64,
    /// The interval in which one retry is earned without requests.
    refill_interval: Option<Duration>,
    /// The time up to which credit earned by time has been added.
    refilled_at: Time,
}

/// A limit on the repeats that one service gets from all nodes together: in any `window`, a share
/// `ratio` of the first requests in it and `slack` more.
///
/// The limit is divided among the owners of the servers. Each keeps to its part by itself, so that it
/// holds while nodes cannot talk to each other. Repeats that were not asked for, such as the calls of
/// a request that is run again, are [charged](RetryBudget::charge) as well.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimit {
    /// The allowed repeats as a share of first requests.
    pub ratio: f64,
    /// The repeats in each window that are allowed beyond the share.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The part of a [`FleetLimit`] that owners use. The rest covers repeats that are charged too late to
/// prevent others, and owners that know of fewer servers than there are.
const USED_SHARE: f64 = 0.9;

/// The credit that one retry costs; a first request earns `percent` credits.
const CREDIT_PER_RETRY: f64 = 100.0;

impl Default for RetryBudget {
    /// Returns the fleet's budget: 10% of first requests, one retry at the start, at most 5 saved.
    ///
    /// With 20 retries saved by each of six entries, the retry share of a small service was 13.5%
    /// over the 60 s after half of its servers were lost.
    fn default() -> Self {
        Self::new(10, 1, 5)
    }
}

impl RetryBudget {
    /// Returns a budget of `percent` of first requests, with `reserve` retries at the start and at
    /// most `max_saved` retries saved.
    pub fn new(percent: u32, reserve: u32, max_saved: u32) -> Self {
        let max_credit = f64::from(max_saved) * CREDIT_PER_RETRY;
        let credit = (f64::from(reserve) * CREDIT_PER_RETRY).min(max_credit);
        let percent = f64::from(percent);
        Self { percent, max_credit, credit, refill_interval: None, refilled_at: Time::ZERO }
    }

    /// Returns a budget that allows every retry, because the owners of the servers limit them.
    pub fn unlimited() -> Self {
        let credit = f64::INFINITY;
        let (percent, refill_interval) = (0.0, None);
        Self { percent, max_credit: credit, credit, refill_interval, refilled_at: Time::ZERO }
    }

    /// Returns the budget changed to earn one retry per `interval`, also without requests.
    #[must_use]
    pub fn with_refill_interval(mut self, interval: Duration, now: Time) -> Self {
        self.refill_interval = Some(interval.max(Duration::from_millis(1)));
        self.refilled_at = now;
        self
    }

    /// Adds the credit earned by time up to `now`.
    pub fn refill(&mut self, now: Time) {
        let Some(interval) = self.refill_interval else { return };
        let elapsed = now.saturating_sub(self.refilled_at);
        self.add(elapsed.as_secs_f64() / interval.as_secs_f64() * CREDIT_PER_RETRY);
        self.refilled_at = now;
    }

    /// Adds the credit for a request that arrived from a caller.
    pub fn earn(&mut self, origin: Origin) {
        if origin == Origin::First {
            self.add(self.percent);
        }
    }

    /// Charges a repeat that was sent without asking this budget; later ones wait until it is earned.
    pub fn charge(&mut self) {
        self.credit -= CREDIT_PER_RETRY;
    }

    fn add(&mut self, credit: f64) {
        self.credit = (self.credit + credit).min(self.max_credit);
    }

    /// Spends one retry or hedge and returns whether the budget allowed it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= CREDIT_PER_RETRY;
        if allowed {
            self.credit -= CREDIT_PER_RETRY;
        }
        allowed
    }

    /// Returns the number of retries or hedges that are allowed now, or `None` if it is not limited.
    pub fn available(&self) -> Option<u32> {
        if self.credit.is_infinite() {
            return None;
        }
        let retries = Duration::try_from_secs_f64(self.credit / CREDIT_PER_RETRY);
        Some(u32::try_from(retries.unwrap_or_default().as_secs()).unwrap_or(u32::MAX))
    }

    /// Returns whether a retry or hedge is allowed now.
    pub fn is_available(&self) -> bool {
        self.credit >= CREDIT_PER_RETRY
    }

    /// Restores the credit of a retry that was charged but not sent.
    pub fn refund(&mut self) {
        self.add(CREDIT_PER_RETRY);
    }
}

impl FleetLimit {
    /// Returns the budget of one of `parts` owners. It starts empty, so that owners which restart do
    /// not get their part of the slack again.
    pub fn budget(&self, parts: usize, now: Time) -> RetryBudget {
        let mut budget = RetryBudget::new(0, 0, 0);
        budget.refilled_at = now;
        self.update(&mut budget, parts);
        budget
    }

    /// Changes `budget` to that of one of `parts` owners.
    pub fn update(&self, budget: &mut RetryBudget, parts: usize) {
        let parts = u32::try_from(parts.max(1)).unwrap_or(u32::MAX);
        let slack = self.slack * USED_SHARE / f64::from(parts);
        // What may be saved up counts in every window, and so does what is earned in it. An owner
        // cannot admit a part of a retry, so it may save at least one.
        let saved = (slack / 2.0).max(1.0);
        let interval = self.window.as_secs_f64() / (slack - saved).max(1e-3);
        budget.percent = self.ratio * USED_SHARE * CREDIT_PER_RETRY;
        budget.max_credit = saved * CREDIT_PER_RETRY;
        budget.credit = budget.credit.min(budget.max_credit);
        budget.refill_interval = Duration::try_from_secs_f64(interval).ok();
    }
}

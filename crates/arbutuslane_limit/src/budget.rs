//! The retry budget: retries and hedges as a share of first requests.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// Whether a request is new work or a caller's resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A request that the caller sends for the first time.
    First,
    /// A resend by the caller, known by its key or fingerprint.
    Resend,
}

/// Limits retries and hedges of one service at one entry.
///
/// At any time, `spent <= percent / 100 * first requests + reserve`. The credit that a quiet time
/// can save up is capped, so a burst of failures causes at most `cap` retries beyond the share.
/// Callers' resends add nothing: in a retry storm they would otherwise raise the budget. A budget that
/// is also [refilled](RetryBudget::refilled_every) adds one retry for each such time.
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
    percent: u32,
    cap: u32,
    credit: u32,
    /// The time in which one retry is earned without requests.
    refill: Option<Duration>,
    /// Up to when such credit is counted.
    refilled: Time,
}

/// The credit that one retry costs; a first request earns `percent`.
const COST: u32 = 100;

impl Default for RetryBudget {
    /// Returns the fleet's budget: 10% of first requests, one retry in reserve, at most 5 saved.
    ///
    /// With 20 saved by each of six entries, retries of a small service were 13.5% over the 60 s after
    /// half of its servers were lost.
    fn default() -> Self {
        Self::new(10, 1, 5)
    }
}

impl RetryBudget {
    /// Returns a budget of `percent` of first requests with `reserve` retries at the start and at
    /// most `cap` saved up.
    pub fn new(percent: u32, reserve: u32, cap: u32) -> Self {
        let cap = cap.saturating_mul(COST);
        let credit = reserve.saturating_mul(COST).min(cap);
        Self { percent, cap, credit, refill: None, refilled: Time::ZERO }
    }

    /// Lets the budget earn one retry in each `every` without requests.
    #[must_use]
    pub fn refilled_every(mut self, every: Duration, now: Time) -> Self {
        self.refill = Some(every.max(Duration::from_millis(1)));
        self.refilled = now;
        self
    }

    /// Counts what the passing of time has earned up to `now`.
    pub fn refill(&mut self, now: Time) {
        let Some(every) = self.refill else { return };
        let unit = every / COST;
        let earned = now.saturating_sub(self.refilled).as_nanos() / unit.as_nanos().max(1);
        let earned = u32::try_from(earned).unwrap_or(u32::MAX).min(self.cap);
        if earned == 0 {
            return;
        }
        self.credit = self.credit.saturating_add(earned).min(self.cap);
        self.refilled = now;
    }

    /// Counts a request that arrived from a caller.
    pub fn earn(&mut self, origin: Origin) {
        if origin == Origin::First {
            self.credit = self.credit.saturating_add(self.percent).min(self.cap);
        }
    }

    /// Spends one retry or hedge and returns whether the budget allowed it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= COST;
        if allowed {
            self.credit -= COST;
        }
        allowed
    }

    /// Returns the retries or hedges that would be allowed now.
    pub fn available(&self) -> u32 {
        self.credit / COST
    }

    /// Returns whether a retry or hedge would be allowed.
    pub fn is_available(&self) -> bool {
        self.credit >= COST
    }

    /// Returns a retry that was not sent after all.
    pub fn refund(&mut self) {
        self.credit = self.credit.saturating_add(COST).min(self.cap);
    }
}

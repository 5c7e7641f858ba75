//! The retry budget limits retries to a share of first requests.

use std::time::Duration;

/// Whether a request is new work or a caller's resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A request that the caller sends for the first time.
    First,
    /// A resend by the caller, recognized by its key or fingerprint.
    Resend,
}

/// Limits retries of one service at one entry.
///
/// At any time, `spent <= percent / 100 * first requests + reserve`. The saved credit is capped, so
/// that a burst of failures after a quiet period causes at most `max_saved` retries beyond the
/// share. Callers' resends earn no credit: in a retry storm they would otherwise raise the budget.
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
    credit: f64,
}

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
        Self { percent, max_credit, credit }
    }

    /// Returns a budget that allows every retry, because the owners of the servers limit them.
    pub fn unlimited() -> Self {
        Self { percent: 0.0, max_credit: f64::INFINITY, credit: f64::INFINITY }
    }

    /// Adds the credit for a request that arrived from a caller.
    pub fn earn(&mut self, origin: Origin) {
        if origin == Origin::First {
            self.add(self.percent);
        }
    }

    fn add(&mut self, credit: f64) {
        self.credit = (self.credit + credit).min(self.max_credit);
    }

    /// Spends one retry and returns whether the budget allowed it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= CREDIT_PER_RETRY;
        if allowed {
            self.credit -= CREDIT_PER_RETRY;
        }
        allowed
    }

    /// Returns the number of retries that are allowed now, or `None` if it is not limited.
    pub fn available(&self) -> Option<u32> {
        if self.credit.is_infinite() {
            return None;
        }
        let retries = Duration::try_from_secs_f64(self.credit / CREDIT_PER_RETRY);
        Some(u32::try_from(retries.unwrap_or_default().as_secs()).unwrap_or(u32::MAX))
    }

    /// Returns whether a retry is allowed now.
    pub fn is_available(&self) -> bool {
        self.credit >= CREDIT_PER_RETRY
    }

    /// Restores the credit of a retry that was charged but not sent.
    pub fn refund(&mut self) {
        self.add(CREDIT_PER_RETRY);
    }
}

//! The tokens that a node lends.

use std::collections::HashMap;
use std::time::Duration;

use arbutuslane_core::time::Time;

use super::{Bounds, LENT_SHARE, Quota, count, time_to_earn, whole};

/// The answer of a lender to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// The lent tokens, possibly fewer than wanted.
    pub tokens: u32,
    /// The time before which the lender has no token, if `tokens` is 0.
    pub retry_after: Duration,
}

/// Lends the part of each quota that belongs to one lender.
///
/// A balance fills at the instance's part of the rate, from the start of the lender on. It starts
/// empty, so that a lender that restarts does not lend the same tokens twice.
#[derive(Debug, Clone)]
pub struct Lender {
    bounds: Bounds,
    started_at: Time,
    /// A sorted vector would move some megabytes for each new workspace among 100,000.
    balances: HashMap<String, Balance>,
    /// The number of balances at which those that need not be kept are removed.
    cleanup_at: usize,
}

#[derive(Debug, Clone, Copy)]
struct Balance {
    tokens: f64,
    filled_at: Time,
    /// Tokens earned in a second, and the most that are saved, as of the last loan.
    rate: f64,
    capacity: f64,
}

/// The smallest number of balances at which unneeded ones are removed.
pub(super) const MIN_CLEANUP_SIZE: usize = 64;

impl Lender {
    /// Returns a lender with empty balances.
    pub fn new(bounds: Bounds, now: Time) -> Self {
        let balances = HashMap::new();
        Self { bounds, started_at: now, balances, cleanup_at: MIN_CLEANUP_SIZE }
    }

    /// Lends up to `wanted` tokens of the lender's part, one of `parts`, of the workspace's quota.
    pub fn lend(
        &mut self,
        workspace: &str,
        quota: Quota,
        parts: usize,
        wanted: u32,
        now: Time,
    ) -> Loan {
        if !quota.is_limited() {
            return Loan { tokens: wanted, retry_after: Duration::ZERO };
        }
        let parts = count(parts);
        let rate = quota.rate * LENT_SHARE / parts;
        // Below one token, nothing would ever be lent.
        let capacity = (self.bounds.lent_burst(quota) / parts).max(1.0);
        let balance = self.balance(workspace, rate, capacity, now);
        balance.fill(rate, capacity, now);
        let tokens = whole(balance.tokens).min(wanted);
        balance.tokens -= f64::from(tokens);
        if tokens > 0 {
            return Loan { tokens, retry_after: Duration::ZERO };
        }
        Loan { tokens, retry_after: time_to_earn(1.0 - balance.tokens, rate) }
    }

    /// Returns the number of workspaces with a balance that is not known to be full.
    pub fn workspaces(&self) -> usize {
        self.balances.len()
    }

    fn balance(&mut self, workspace: &str, rate: f64, capacity: f64, now: Time) -> &mut Balance {
        if !self.balances.contains_key(workspace) {
            self.clean_up(now);
            let balance = Balance { tokens: 0.0, filled_at: self.started_at, rate, capacity };
            self.balances.insert(workspace.to_string(), balance);
        }
        self.balances.get_mut(workspace).expect("the balance was inserted")
    }

    /// Removes full balances when their number has doubled, so that those of removed workspaces do
    /// not stay. A workspace without a balance has a full one since the start of the lender.
    fn clean_up(&mut self, now: Time) {
        if self.balances.len() < self.cleanup_at {
            return;
        }
        self.balances.retain(|_, balance| !balance.is_full(now));
        self.cleanup_at = (self.balances.len() * 2).max(MIN_CLEANUP_SIZE);
    }
}

impl Balance {
    /// Adds what was earned at the previous rate, and changes the rate and the capacity.
    fn fill(&mut self, rate: f64, capacity: f64, now: Time) {
        self.tokens = self.tokens_at(now).min(capacity);
        self.filled_at = self.filled_at.max(now);
        (self.rate, self.capacity) = (rate, capacity);
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at);
        (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.capacity)
    }

    fn is_full(&self, now: Time) -> bool {
        self.tokens_at(now) >= self.capacity
    }
}

//! Quotas of workspaces: lenders lend tokens, entries spend them.
//!
//! A few nodes of the fleet have a [`Lender`] for each workspace, chosen by [`lenders`]. Each lends its
//! part of the quota independently of the others. Each entry has a [`Ledger`], which decides whether a request runs. In any window, no more
//! than (rate x window + burst) x (1 + overshoot) + slack requests of a workspace are admitted by all
//! entries together. No lender needs to agree with another one, so this holds in any partition.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_limit::allowance::{Bounds, Decision, Ledger, Lender, Quota};
//!
//! let (bounds, quota, now) = (Bounds::default(), Quota { rate: 10.0, burst: 5.0 }, Duration::ZERO);
//! let mut lender = Lender::new(bounds, now);
//! let mut ledger = Ledger::new(bounds, 1, now);
//! let (now, lenders) = (Duration::from_secs(2), ["10.0.0.1:7000".parse().unwrap()]);
//! let Decision::Ask { lender: id, wanted } = ledger.decide("shop", quota, &lenders, 68, now) else {
//!     panic!("an entry starts without tokens")
//! };
//! let loan = lender.lend("shop", quota, 5, wanted, now);
//! ledger.record_loan("shop", id, loan, now, now);
//! assert_eq!(ledger.decide("shop", quota, &lenders, 68, now), Decision::Admit);
//! ```

mod base_share;
mod demand;
mod ledger;
mod lender;
mod placement;

use std::net::SocketAddr;
use std::time::Duration;

pub use ledger::{Decision, Ledger, LenderState};
pub use lender::{Lender, Loan};
pub use placement::lenders;

/// The address of a node that lends tokens.
pub type LenderId = SocketAddr;

/// The limit on the requests of one workspace, over all entries of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The requests a second; 0 means no limit.
    pub rate: f64,
    /// The requests that may arrive at once after a quiet period.
    pub burst: f64,
}

/// How far the admitted requests may exceed a [`Quota`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The length of the windows in which requests are counted.
    pub window: Duration,
    /// The excess as a share of the quota.
    pub overshoot: f64,
    /// The requests in each window that are allowed beyond the quota and its share of excess.
    pub slack: f64,
}

/// The share of the rate that lenders lend. The rest is the base shares of the entries.
///
/// Lenders cannot know which entries are cut off, so what they lend and what entries use without them
/// must not exceed the bound together. A workspace usually uses 1/1.6 of its quota; with this share,
/// the lenders that are left after the loss of one of five lend 0.72 of it.
const LENT_SHARE: f64 = 0.9;

/// The base tokens of all entries in a window are a sum of independent parts. The sum stays below its
/// mean and this many standard deviations.
const BASE_DEVIATIONS: f64 = 4.0;

impl Quota {
    /// Returns whether the requests of the workspace are limited at all.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }
}

impl Default for Bounds {
    /// Returns windows of 5 s with an excess of 10% and 20 requests.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 }
    }
}

impl Bounds {
    /// Returns the number of requests that may be admitted in any window.
    pub fn max_admitted(&self, quota: Quota) -> f64 {
        let within = quota.rate * self.window.as_secs_f64() + quota.burst;
        within * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the time for which a lent token is valid after it was requested.
    ///
    /// At most the tokens that were lent in this time before a window are spent in the window.
    pub fn loan_lifetime(&self) -> Duration {
        self.window.mul_f64(self.overshoot)
    }

    /// Returns the tokens that all lenders together may have saved.
    fn lent_burst(&self, quota: Quota) -> f64 {
        quota.burst + self.slack / 2.0
    }

    /// Returns the time for which a token of a base share is valid after it was earned.
    ///
    /// Without an end, each entry would save one, and some hundred entries together more than the
    /// bound allows.
    fn base_lifetime(&self) -> Duration {
        self.window / 2
    }

    /// Returns the base tokens that one of `nodes` entries earns in a second.
    ///
    /// All entries together may admit what the lenders leave of the bound. An entry admits whole
    /// requests: in a window at most one more than its mean, and all entries together at most
    /// [`BASE_DEVIATIONS`] more than theirs, because each earns its tokens at times of its own.
    fn base_rate(&self, quota: Quota, nodes: usize) -> f64 {
        let lent_window = (self.window + self.loan_lifetime()).as_secs_f64();
        let lent = quota.rate * LENT_SHARE * lent_window + self.lent_burst(quota);
        let left = (self.max_admitted(quota) - lent).max(0.0);
        let nodes = count(nodes);
        // The mean m for which m + d * sqrt(m) is what is left.
        let half = BASE_DEVIATIONS / 2.0;
        let spread = ((left + half * half).sqrt() - half).powi(2);
        let mean = spread.max(left - nodes);
        let usable = (self.window + self.base_lifetime()).as_secs_f64();
        (mean / usable).min(quota.rate) / nodes
    }
}

/// Converts a number of processes, at least one.
fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number.max(1)).unwrap_or(u32::MAX))
}

/// Returns the whole number of tokens in `tokens`.
fn whole(tokens: f64) -> u32 {
    let seconds = Duration::try_from_secs_f64(tokens).map_or(0, |whole| whole.as_secs());
    u32::try_from(seconds).unwrap_or(u32::MAX)
}

/// Returns the time in which `tokens` are earned at `rate` a second, rounded up.
fn time_to_earn(tokens: f64, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(tokens.max(0.0) / rate).unwrap_or(Duration::MAX);
    time.saturating_add(Duration::from_nanos(1))
}

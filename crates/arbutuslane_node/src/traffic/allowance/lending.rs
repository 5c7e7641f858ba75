//! Lends tokens of workspaces' allowances to other nodes.
//!
//! Each lender of a workspace lends its own part, so that lenders need not agree on a loan.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arbutuslane_core::time::Clock;
use arbutuslane_item::prelude::Key;
use arbutuslane_limit::allowance::{Bounds, Lender, Loan, Quota};
use arbutuslane_wire::peer::{AllowanceLoan, AllowanceRequest};

use crate::shared::Shared;

use super::fleet::Fleet;

/// The wait that a node states which is not a lender of the workspace. The node that asked has another
/// view of the members, which gossip corrects in about this time.
const NOT_LENDER_WAIT: Duration = Duration::from_millis(500);

/// The lender of a node, with its counters.
#[derive(Debug)]
pub(super) struct Lending {
    lender: Mutex<Lender>,
    clock: Clock,
    /// Tokens that were lent.
    pub(super) tokens_lent: AtomicU64,
    /// Tokens that were requested and not lent.
    pub(super) tokens_refused: AtomicU64,
}

impl Lending {
    /// Returns a lender without tokens, so that a restarted node does not lend tokens again that it
    /// lent before.
    pub(super) fn new(bounds: Bounds) -> Self {
        let clock = Clock::start_counting_suspension();
        Self {
            lender: Mutex::new(Lender::new(bounds, clock.now())),
            clock,
            tokens_lent: AtomicU64::new(0),
            tokens_refused: AtomicU64::new(0),
        }
    }

    /// Returns the loans for `requests`, in the same order.
    pub(super) fn lend(
        &self,
        shared: &Shared,
        fleet: &Fleet,
        requests: Vec<AllowanceRequest>,
    ) -> Vec<AllowanceLoan> {
        let mut loans = Vec::with_capacity(requests.len());
        for AllowanceRequest { workspace, tokens: wanted } in requests {
            let loan = self.loan(shared, fleet, &workspace, wanted);
            let Loan { tokens, retry_after } = loan;
            self.tokens_lent.fetch_add(u64::from(tokens), Ordering::Relaxed);
            let refused = u64::from(wanted.saturating_sub(tokens));
            self.tokens_refused.fetch_add(refused, Ordering::Relaxed);
            let retry_ms = u64::try_from(retry_after.as_micros().div_ceil(1_000));
            let retry_ms = retry_ms.unwrap_or(u64::MAX);
            loans.push(AllowanceLoan { workspace, tokens, retry_ms });
        }
        loans
    }

    fn loan(&self, shared: &Shared, fleet: &Fleet, workspace: &str, wanted: u32) -> Loan {
        let nothing = Loan { tokens: 0, retry_after: NOT_LENDER_WAIT };
        let Some(parts) = fleet.lending_parts(workspace) else { return nothing };
        let Some(quota) = declared_quota(shared, workspace) else { return nothing };
        let mut lender = self.lender.lock().unwrap_or_else(PoisonError::into_inner);
        lender.lend(workspace, quota, parts, wanted, self.clock.now())
    }
}

/// Returns the quota of a workspace, or `None` if no item declares the workspace.
fn declared_quota(shared: &Shared, workspace: &str) -> Option<Quota> {
    let configuration = shared.configuration();
    let item = configuration.items().get(&Key::Workspace(workspace.to_string()))?;
    item.workspace().map(|declared| Quota {
        rate: declared.millirate as f64 / 1_000.0,
        burst: declared.milliburst as f64 / 1_000.0,
    })
}

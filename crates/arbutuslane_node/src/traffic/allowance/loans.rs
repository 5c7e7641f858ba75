//! Messages to lenders about tokens, which waiting requests share.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared as SharedFuture};

use arbutuslane_limit::allowance::{LenderId, Loan};
use arbutuslane_wire::peer::{AllowanceRequest, Answer, Message};

use crate::metrics::count;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;
use crate::traffic::worker::Worker;

/// The longest wait for the response of a lender: many times the round trip between failure
/// domains (6 ms), and short enough to ask three of them within the longest wait of a request.
const LENDER_TIMEOUT: Duration = Duration::from_millis(100);

/// A message to a lender that all requests of a workspace wait for.
pub(super) type Exchange = SharedFuture<LocalBoxFuture<'static, ()>>;

/// The requests of one traffic thread that wait for tokens, in ascending order of their workspaces.
#[derive(Debug, Default)]
pub(crate) struct PendingLoans(RefCell<Vec<PendingLoan>>);

#[derive(Debug)]
struct PendingLoan {
    workspace: String,
    waiting: u32,
    exchange: Option<Exchange>,
}

/// A waiting request, which is counted until this value is dropped.
pub(super) struct Waiting {
    loans: Rc<PendingLoans>,
    workspace: String,
}

impl PendingLoans {
    /// Returns the message that requests of `workspace` wait for, if there is one.
    pub(super) fn exchange(&self, workspace: &str) -> Option<Exchange> {
        let pending = self.0.borrow();
        let index = find(&pending, workspace).ok()?;
        pending[index].exchange.clone()
    }

    /// Counts a request that waits for a token.
    pub(super) fn wait(self: &Rc<Self>, workspace: &str) -> Waiting {
        self.entry(workspace, |pending| pending.waiting += 1);
        Waiting { loans: Rc::clone(self), workspace: workspace.to_string() }
    }

    /// Sends a message for `wanted` tokens, or for as many as requests wait for.
    pub(super) fn start(
        self: &Rc<Self>,
        worker: &Worker,
        workspace: &str,
        lender: LenderId,
        wanted: u32,
    ) -> Exchange {
        let mut tokens = wanted;
        self.entry(workspace, |pending| tokens = tokens.max(pending.waiting));
        let request = AllowanceRequest { workspace: workspace.to_string(), tokens };
        let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
        let loans = Rc::clone(self);
        let exchange = async move {
            let workspace = request.workspace.clone();
            borrow_tokens(&shared, &pool, lender, request).await;
            loans.entry(&workspace, |pending| pending.exchange = None);
        };
        let exchange = exchange.boxed_local().shared();
        self.entry(workspace, |pending| pending.exchange = Some(exchange.clone()));
        // The message is not given up with the request that caused it, since others wait for it.
        let _task = ntex::rt::spawn(exchange.clone());
        exchange
    }

    /// Changes the entry of `workspace`; adds it if it is missing, and removes it if it is not needed
    /// afterwards.
    fn entry(&self, workspace: &str, change: impl FnOnce(&mut PendingLoan)) {
        let mut pending = self.0.borrow_mut();
        let index = find(&pending, workspace).unwrap_or_else(|index| {
            let workspace = workspace.to_string();
            pending.insert(index, PendingLoan { workspace, waiting: 0, exchange: None });
            index
        });
        change(&mut pending[index]);
        if pending[index].waiting == 0 && pending[index].exchange.is_none() {
            pending.remove(index);
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.loans.entry(&self.workspace, |pending| pending.waiting -= 1);
    }
}

/// Sends a message for `wanted` tokens to a lender that may be unreachable. Other requests do not wait
/// for it.
pub(super) fn probe(worker: &Worker, workspace: &str, lender: LenderId, wanted: u32) -> Exchange {
    let request = AllowanceRequest { workspace: workspace.to_string(), tokens: wanted };
    let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
    let exchange = async move { borrow_tokens(&shared, &pool, lender, request).await };
    let exchange = exchange.boxed_local().shared();
    let _task = ntex::rt::spawn(exchange.clone());
    exchange
}

/// Requests tokens from a lender, which may be this node, and records the result.
async fn borrow_tokens(
    shared: &Shared,
    pool: &Rc<Pool>,
    lender: LenderId,
    request: AllowanceRequest,
) {
    let Some(allowances) = &shared.allowances else { return };
    let workspace = request.workspace.clone();
    let asked_at = allowances.clock.now();
    let loans = match lender == shared.settings.advertised() {
        true => allowances.lend(shared, vec![request]),
        false => {
            let message = Message::BorrowAllowance { requests: vec![request] };
            match peers::send(shared, pool, lender, &message, LENDER_TIMEOUT).await {
                Ok(Answer::Allowance { loans }) => loans,
                Ok(_) => Vec::new(),
                Err(error) => {
                    tracing::debug!(event = "peer-unreachable", peer = %lender, error);
                    Vec::new()
                }
            }
        }
    };
    let loan = loans.into_iter().find(|loan| loan.workspace == workspace);
    let loan = loan.map(|loan| Loan {
        tokens: loan.tokens,
        retry_after: Duration::from_millis(loan.retry_ms),
    });
    let metrics = &shared.metrics;
    match loan {
        Some(loan) => {
            count(&metrics.loans);
            metrics.add_borrowed_tokens(loan.tokens);
        }
        None => count(&metrics.failed_loans),
    }
    allowances.record(&workspace, lender, loan, asked_at);
}

/// Returns the index of a workspace, or as an error the index to insert it at.
fn find(pending: &[PendingLoan], workspace: &str) -> Result<usize, usize> {
    pending.binary_search_by(|known| known.workspace.as_str().cmp(workspace))
}

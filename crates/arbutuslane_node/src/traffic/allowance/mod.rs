//! Limits the requests of a workspace to its allowance.
//!
//! A request needs a token, which this node borrows from a lender or earns itself. The lenders of a
//! workspace are nodes, one in each failure domain, this one perhaps among them. Requests of one
//! workspace that wait at the same time share one message to a lender.

mod fleet;
mod lending;
mod loans;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::http::StatusCode;
use rand::RngExt;

use arbutuslane_core::hash;
use arbutuslane_core::time::{Clock, Time, millis};
use arbutuslane_limit::allowance::{Bounds, Decision, Ledger, LenderId, LenderState, Loan, Quota};
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_wire::allowance::AllowanceSettings;
use arbutuslane_wire::peer::{AllowanceLoan, AllowanceRequest};

use crate::configuration::Workspace;
use crate::metrics::count;
use crate::shared::Shared;
use crate::timeout::within;

use super::refusal::{Refusal, RefusalCause};
use super::worker::Worker;

use fleet::Fleet;
use lending::Lending;
pub(crate) use loans::PendingLoans;

/// The longest time for which a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// How long the known nodes are used.
const FLEET_MAX_AGE: Duration = Duration::from_millis(500);

/// The longest stated wait where the balances of lenders are not known.
const UNKNOWN_BALANCE_WAIT: Duration = Duration::from_secs(1);

/// The longest stated wait. A quota may change earlier.
const MAX_STATED_WAIT: Duration = Duration::from_secs(3_600);

/// The time over which refused callers that may return at the same time are spread.
const RETRY_SPREAD_S: f64 = 1.0;

/// The allowances of workspaces at this node as an entry.
#[derive(Debug)]
pub(crate) struct Allowances {
    ledger: Mutex<Ledger>,
    clock: Clock,
    fleet: Mutex<(Time, Arc<Fleet>)>,
    /// The lenders that did not respond to the last message, in ascending order.
    silent: Mutex<Vec<LenderId>>,
    /// What this node lends to others.
    lending: Lending,
}

impl Allowances {
    /// Returns the allowances of the node `node`, which holds no tokens when it starts.
    pub(crate) fn new(settings: AllowanceSettings, node: &str, incarnation: u64) -> Self {
        let bounds = Bounds {
            window: Duration::from_secs_f64(settings.window_s),
            overshoot: settings.overshoot,
            slack: settings.slack,
        };
        let clock = Clock::start_counting_suspension();
        let seed = hash::of_bytes(format!("{node} {incarnation}").as_bytes());
        let ledger = Mutex::new(Ledger::new(bounds, seed, clock.now()));
        let lending = Lending::new(bounds);
        Self { ledger, clock, fleet: Mutex::default(), silent: Mutex::default(), lending }
    }

    /// Returns the loans for the `requests` of a node.
    pub(crate) fn lend(
        &self,
        shared: &Shared,
        requests: Vec<AllowanceRequest>,
    ) -> Vec<AllowanceLoan> {
        self.lending.lend(shared, &self.fleet(shared), requests)
    }

    /// Returns the numbers of tokens that this node lent and that it refused to lend.
    pub(crate) fn lent_tokens(&self) -> (u64, u64) {
        let Lending { tokens_lent, tokens_refused, .. } = &self.lending;
        (tokens_lent.load(Ordering::Relaxed), tokens_refused.load(Ordering::Relaxed))
    }

    /// Returns the number of borrowed tokens that expired.
    pub(crate) fn expired_tokens(&self) -> u64 {
        self.ledger().expired_tokens()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known of the fleet, which is read again every [`FLEET_MAX_AGE`].
    fn fleet(&self, shared: &Shared) -> Arc<Fleet> {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        if fleet.1.nodes == 0 || now.saturating_sub(fleet.0) >= FLEET_MAX_AGE {
            *fleet = (now, Arc::new(Fleet::known(shared, shared.clock.now())));
        }
        Arc::clone(&fleet.1)
    }

    fn silent(&self) -> MutexGuard<'_, Vec<LenderId>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether `lender` did not respond to the last message. It then counts as unreachable
    /// until it responds to the next one, so that requests use other lenders meanwhile.
    fn is_silent(&self, lender: LenderId) -> bool {
        let is_silent = self.silent().binary_search(&lender).is_ok();
        if is_silent {
            self.ledger().record_failure(lender, self.clock.now());
        }
        is_silent
    }

    /// Records what a lender responded to a message that was sent at the time `asked_at`.
    fn record(&self, workspace: &str, lender: LenderId, loan: Option<Loan>, asked_at: Time) {
        let now = self.clock.now();
        let mut silent = self.silent();
        match (silent.binary_search(&lender), &loan) {
            (Ok(index), Some(_)) => {
                silent.remove(index);
            }
            (Err(index), None) => silent.insert(index, lender),
            _ => {}
        }
        drop(silent);
        match loan {
            Some(loan) => self.ledger().record_loan(workspace, lender, loan, asked_at, now),
            None => self.ledger().record_failure(lender, now),
        }
    }
}

/// Admits a request of `workspace`, or refuses it because no token can be had in time.
pub(super) async fn admit(
    worker: &Worker,
    request: &str,
    workspace: &Workspace,
    deadline: Deadline,
) -> Result<(), Refusal> {
    let shared = &worker.shared;
    let quota = quota(workspace);
    let Some(allowances) = shared.allowances.as_ref().filter(|_| quota.is_limited()) else {
        return Ok(());
    };
    let name = workspace.name.as_str();
    let fleet = allowances.fleet(shared);
    let lenders = fleet.lenders(name, &shared.settings.node);
    let decide = |lenders: &[LenderId]| {
        allowances.ledger().decide(name, quota, lenders, fleet.nodes, allowances.clock.now())
    };
    let started_at = shared.clock.now();
    let limit = MAX_WAIT.min(deadline.remaining(started_at));
    let mut waiting = None;
    let (mut asked, mut probes) = (Vec::new(), Vec::new());
    loop {
        let exchange = match worker.loans.exchange(name) {
            Some(exchange) => exchange,
            None => match decide(&lenders) {
                Decision::Admit => return Ok(()),
                // Other requests took what the lender lent.
                Decision::Ask { lender, .. } if asked.contains(&lender) => break,
                Decision::Ask { lender, wanted } => {
                    asked.push(lender);
                    if allowances.is_silent(lender) {
                        probes.push(loans::probe(worker, name, lender, wanted));
                        continue;
                    }
                    worker.loans.start(worker, name, lender, wanted)
                }
                Decision::Refuse { retry_after } => match probes.pop() {
                    // The lenders that did not respond may be back.
                    Some(probe) => probe,
                    None => {
                        let states = lender_states(allowances, name, &lenders);
                        return Err(refuse(worker, request, name, states, retry_after));
                    }
                },
            },
        };
        waiting.get_or_insert_with(|| worker.loans.wait(name));
        let waited = shared.clock.now().saturating_sub(started_at);
        if within(limit.saturating_sub(waited), exchange).await.is_err() {
            break;
        }
    }
    drop(waiting);
    // The entry's own share needs no lender.
    let own_wait = match decide(&[]) {
        Decision::Admit => return Ok(()),
        Decision::Refuse { retry_after } => retry_after,
        Decision::Ask { .. } => UNKNOWN_BALANCE_WAIT,
    };
    let states = lender_states(allowances, name, &lenders);
    let waits = states.iter().filter_map(|(_, state)| match state {
        LenderState::Empty(wait) => Some(*wait),
        LenderState::Ready | LenderState::Unreachable(_) => None,
    });
    let wait = waits.min().unwrap_or(UNKNOWN_BALANCE_WAIT).min(own_wait);
    Err(refuse(worker, request, name, states, wait))
}

fn quota(workspace: &Workspace) -> Quota {
    Quota {
        rate: workspace.millirate as f64 / 1_000.0,
        burst: workspace.milliburst as f64 / 1_000.0,
    }
}

/// Returns the refusal of a request for which no token is expected before `wait` has passed.
fn refuse(
    worker: &Worker,
    request: &str,
    workspace: &str,
    states: Vec<(LenderId, LenderState)>,
    wait: Duration,
) -> Refusal {
    let shared = &worker.shared;
    let wait = wait.min(MAX_STATED_WAIT);
    let is_reached = states.iter().any(|(_, state)| !matches!(state, LenderState::Unreachable(_)));
    count(match is_reached {
        true => &shared.metrics.allowance_refused,
        false => &shared.metrics.base_share_refused,
    });
    let states: Vec<String> =
        states.into_iter().map(|(lender, state)| format!("{lender} {}", describe(state))).collect();
    tracing::info!(
        event = "allowance-refused",
        request,
        workspace,
        lenders = states.join(", "),
        wait_ms = millis(wait)
    );
    let spread = worker.rng.borrow_mut().random_range(0.0..RETRY_SPREAD_S);
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        retry_after: Some(retry_seconds(wait, spread)),
        try_other_server: false,
        cause: RefusalCause::Allowance,
        ..Refusal::not_run("the allowance of the workspace is used up")
    }
}

fn lender_states(
    allowances: &Allowances,
    workspace: &str,
    lenders: &[LenderId],
) -> Vec<(LenderId, LenderState)> {
    let (ledger, now) = (allowances.ledger(), allowances.clock.now());
    let state = |lender: &LenderId| (*lender, ledger.lender_state(workspace, *lender, now));
    lenders.iter().map(state).collect()
}

fn describe(state: LenderState) -> String {
    match state {
        LenderState::Ready => "ready".to_string(),
        LenderState::Empty(wait) => format!("empty for {} ms", wait.as_millis()),
        LenderState::Unreachable(wait) => format!("unreachable for {} ms", wait.as_millis()),
    }
}

/// Returns the whole seconds after which a caller may return: `wait` and a random `spread`, rounded
/// up.
fn retry_seconds(wait: Duration, spread: f64) -> u32 {
    let seconds = (wait.as_secs_f64() + spread).ceil();
    let seconds = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_STATED_WAIT).as_secs();
    u32::try_from(seconds).unwrap_or(u32::MAX).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a stated wait that ends before a token is expected.
    #[test]
    fn retry_seconds_rounding() {
        for (wait_ms, spread, seconds) in
            [(0, 0.0, 1), (40, 0.2, 1), (40, 0.97, 2), (3_000, 0.1, 4)]
        {
            assert_eq!(retry_seconds(Duration::from_millis(wait_ms), spread), seconds, "{wait_ms}");
        }
        assert_eq!(retry_seconds(MAX_STATED_WAIT, 0.5), 3_601);
    }
}

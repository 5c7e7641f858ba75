//! One attempt to run a request on one server.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::{Time, millis};
use arbutuslane_limit::attempts::Effort;

use crate::timeout::{Elapsed, within};

use super::answer::ServerResponse;
use super::entry::is_failure;
use super::owner::{self, Repeat, ServerRequest};
use super::refusal::{Outcome, Refusal, RefusalCause};
use super::remote;
use super::route::RoutedRequest;
use super::services::{self, AttemptGuard, Avoidance, ServerLocation};
use super::silent::{AttemptFuture, SendResult, SilentAttempt};
use super::worker::Worker;

/// A server counts as silent after this many times the mean latency of the route.
const SILENCE_LATENCY_MULTIPLE: u32 = 3;

/// The minimum time without a response after which a server counts as silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(20);

/// How an attempt is made.
#[derive(Debug, Clone)]
pub(super) struct AttemptPlan {
    pub(super) effort: Effort,
    /// The server to use, if one is known to be better than the others.
    pub(super) server: Option<ServerId>,
    /// Whether the attempt counts as a repeat.
    pub(super) repeat: Repeat,
}

/// Sends `routed` to the best server that is not in `tried`, and adds that server to `tried`.
pub(super) async fn send<'a>(
    worker: &'a Worker,
    routed: &'a RoutedRequest,
    tried: &mut Vec<ServerId>,
    plan: AttemptPlan,
) -> SendResult<'a> {
    let effort = plan.effort;
    let service = &routed.service;
    let chosen =
        services::select_server(worker, service, routed.class, tried, plan.server.as_ref());
    let Some((selected, attempt_guard)) = chosen else {
        let error = format!("no server of {service} accepts requests");
        let refusal = Refusal { try_other_server: false, ..Refusal::not_run(error) };
        return SendResult::Ended(Box::new(Err(refusal)));
    };
    let server = selected.server.clone();
    tried.push(server.clone());
    // The node of another server may be stopping as well, and that server would run for nothing.
    let may_switch =
        routed.class.is_repeatable() && effort == Effort::Ordinary && !worker.shared.is_stopping();
    let abandons_silent = may_switch && Mechanism::SilentAttempts.is_on();
    let silence_timeout = abandons_silent.then(|| silence_timeout(worker, routed));
    let started_at = worker.shared.clock.now();
    let load_age = services::load_age(worker, service, &server, started_at);
    let outcome_cell = attempt_guard.outcome_cell();
    let attempt = AttemptLog { server: server.clone(), effort, load_age, started_at };
    let attempt_log = attempt.clone();
    let mut running: AttemptFuture<'a> = Box::pin(async move {
        let result = run_on_server(worker, routed, selected, plan, may_switch).await;
        record_result(worker, routed, &attempt_log, attempt_guard, result)
    });
    let Some(silence_timeout) = silence_timeout else {
        return SendResult::Ended(Box::new(running.await));
    };
    if let Ok(result) = within(silence_timeout, running.as_mut()).await {
        return SendResult::Ended(Box::new(result));
    }
    // The response may still arrive in time, and no other attempt can be made.
    if !services::has_retry_budget(worker, service)
        || !services::untried(worker, service, tried).any
    {
        return SendResult::Ended(Box::new(running.await));
    }
    log_failure(worker, routed, &attempt, &silence_refusal());
    services::avoid_server(worker, service, &server, Avoidance::Overloaded);
    let clock = worker.shared.clock;
    SendResult::Silent(SilentAttempt {
        server,
        running,
        outcome_cell,
        started_at,
        clock,
        has_ended: false,
    })
}

/// Returns the refusal for an attempt whose server is silent.
pub(super) fn silence_refusal() -> Refusal {
    let error = "no response in several times the usual latency";
    let refusal = Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error);
    Refusal { cause: RefusalCause::Silent, ..refusal }
}

/// The log fields of an attempt.
#[derive(Debug, Clone)]
struct AttemptLog {
    server: ServerId,
    effort: Effort,
    /// The age of the last load report of the server.
    load_age: Option<Duration>,
    started_at: Time,
}

/// Sends `routed` to the selected server. `may_switch` states whether another server may be tried
/// if this one is silent.
async fn run_on_server(
    worker: &Worker,
    routed: &RoutedRequest,
    selected: services::SelectedServer,
    AttemptPlan { effort, repeat, .. }: AttemptPlan,
    may_switch: bool,
) -> Result<ServerResponse, Refusal> {
    let service = &routed.service;
    let server = selected.server.clone();
    let server_request = ServerRequest {
        service: service.clone(),
        server: selected.server,
        incarnation: match &selected.location {
            ServerLocation::Local(server) => server.incarnation,
            ServerLocation::Remote { incarnation, .. } => *incarnation,
        },
        class: routed.class,
        importance: routed.importance,
        is_call: routed.is_call,
        due: routed.due,
        is_trial: selected.is_trial,
        retryable: may_switch && services::has_retry_budget(worker, service),
        must_accept: matches!(effort, Effort::Insist | Effort::Suspect),
        is_offered: false,
        repeat,
        known_limit: selected.known_limit,
        summary: selected.summary.map(|summary| (worker.thread_id, summary)),
        deadline: routed.deadline,
        identity: routed.identity,
        request: routed.request.clone(),
    };
    match selected.location {
        ServerLocation::Local(local) => {
            let result = owner::dispatch(worker, server_request).await;
            services::record_load(worker, service, &server, &local.report());
            result
        }
        ServerLocation::Remote { owner, address, .. } => {
            forward_with_deadline(worker, server_request, (&owner, address)).await
        }
    }
}

/// Records the result of an attempt in the statistics of its server.
fn record_result(
    worker: &Worker,
    routed: &RoutedRequest,
    attempt: &AttemptLog,
    mut attempt_guard: AttemptGuard,
    result: Result<ServerResponse, Refusal>,
) -> Result<ServerResponse, Refusal> {
    let accepted = match &result {
        Ok(_) => Some(true),
        Err(refusal) => (refusal.cause == RefusalCause::Full).then_some(false),
    };
    if let Some(accepted) = accepted.filter(|_| !matches!(attempt.effort, Effort::Insist)) {
        services::record_acceptance(worker, &routed.service, accepted);
    }
    let elapsed = worker.shared.clock.now().saturating_sub(attempt.started_at);
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            log_failure(worker, routed, attempt, &refusal);
            // A server that refuses or fails requests quickly must not look idle because of that. A
            // request that did not run is not counted as a failure, because that would hide real
            // failures from the comparison with the server's peers.
            match refusal.cause {
                RefusalCause::Stale
                | RefusalCause::Limited
                | RefusalCause::Suspect
                | RefusalCause::RepeatLimit
                | RefusalCause::Trial => {}
                RefusalCause::Full | RefusalCause::Shed => attempt_guard.record_refusal(),
                _ if refusal.outcome == Outcome::NotRun => {}
                _ => {
                    attempt_guard.record(elapsed, false);
                }
            }
            let avoidance = match refusal.cause {
                RefusalCause::Stale => Some(Avoidance::Gone),
                RefusalCause::Shed => Some(Avoidance::Overloaded),
                RefusalCause::Limited => Some(Avoidance::Limited(refusal.wait.unwrap_or_default())),
                RefusalCause::Suspect => Some(Avoidance::Suspect(refusal.wait.unwrap_or_default())),
                _ => None,
            };
            if let Some(avoidance) = avoidance {
                services::avoid_server(worker, &routed.service, &attempt.server, avoidance);
            }
            return Err(refusal);
        }
    };
    attempt_guard.record(response.latency, !is_failure(&response));
    if !is_failure(&response) {
        // The silence of a server is measured here as well, with the time on the links.
        worker.routes.borrow_mut().record_latency(&routed.route, elapsed);
    }
    response.body.attach_guard(attempt_guard);
    Ok(response)
}

/// Logs an attempt that brought no response, with the age of the load report that the selection
/// used.
fn log_failure(worker: &Worker, routed: &RoutedRequest, attempt: &AttemptLog, refusal: &Refusal) {
    worker.shared.metrics.count_failed_attempt(&routed.service, refusal.reason());
    let now = worker.shared.clock.now();
    tracing::info!(
        event = "attempt",
        request = owner::request_id(worker.shared.interface.dialect(), &routed.request.headers),
        service = routed.service,
        server = attempt.server,
        effort = ?attempt.effort,
        outcome = ?refusal.outcome,
        choice = ?refusal.cause,
        reason = refusal.error,
        known_ms = attempt.load_age.map(millis),
        wait_ms = refusal.wait.map(millis),
        left_ms = routed.deadline.remaining_ms(now),
        took_ms = millis(now.saturating_sub(attempt.started_at))
    );
}

/// Returns how long an attempt may go without a response before another server is tried.
///
/// A small multiple of the mean latency of the route distinguishes a hung server from a slow
/// request. The timeout is at most half of the remaining time, so that the other server has as much
/// time.
fn silence_timeout(worker: &Worker, routed: &RoutedRequest) -> Duration {
    let remaining = routed.deadline.remaining(worker.shared.clock.now());
    let mean_latency = worker.routes.borrow().latency(&routed.route);
    mean_latency.map_or(remaining / 2, |mean_latency| {
        (mean_latency * SILENCE_LATENCY_MULTIPLE).max(MIN_SILENCE_TIMEOUT).min(remaining / 2)
    })
}

/// Forwards the request to the owner of its server and gives up at the deadline.
async fn forward_with_deadline(
    worker: &Worker,
    server_request: ServerRequest,
    owner_address: (&str, SocketAddr),
) -> Result<ServerResponse, Refusal> {
    let limit = server_request.deadline.remaining(worker.shared.clock.now());
    let forwarding = remote::forward(worker, server_request, owner_address);
    match within(limit, forwarding).await {
        Ok(result) => result,
        Err(Elapsed) => {
            worker.pool.purge(owner_address.1);
            let error = "no response within the deadline";
            Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error))
        }
    }
}

//! The stages of a request on the entry node: routing, rate limits, deadline, selection of a
//! server, forwarding and retries.

use std::rc::Rc;

use futures_util::future::Either;
use ntex::http::{self, Method, Response, StatusCode, Version};
use ntex::io::IoRef;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_limit::attempts::{AttemptFailure, Attempts, Effort};
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::retry;
use arbutuslane_limit::tried::TriedServers;
use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_wire::header;

use crate::cluster::keyed::{self, KeyClaim, KeyedResponse};
use crate::metrics::{Destination, count};

use super::answer::ServerResponse;
use super::attempt::{self, AttemptPlan};
use super::fields;
use super::hedge::Hedge;
use super::intake;
use super::outcome;
use super::owner::{self, Repeat};
use super::protocol;
use super::refusal::{Outcome, Refusal, RefusalCause};
use super::relay::{Delivery, InFlight};
use super::resume;
use super::route::{IncomingRequest, RoutedRequest, route};
use super::services;
use super::silent::SendResult;
use super::worker::Worker;

/// Responds to a caller's request that is not pipelined.
pub(crate) async fn handle(
    worker: Rc<Worker>,
    mut request: http::Request,
    counted: Option<CountedRequest>,
) -> Response {
    let is_http2 = request.version() == Version::HTTP_2;
    if is_http2 && worker.shared.is_stopping() {
        request.io().into_iter().for_each(protocol::send_go_away);
    }
    // A truncated body resets its HTTP/2 stream, but has to close an HTTP/1.1 connection.
    let io = request.io().filter(|_| !is_http2).cloned();
    let incoming = IncomingRequest { counted, is_http2, ..IncomingRequest::from(&mut request) };
    respond(worker, incoming, io).await
}

/// Responds to a caller's request; closes the connection `io` if the response body is cut off.
pub(crate) async fn respond(
    worker: Rc<Worker>,
    mut incoming: IncomingRequest,
    io: Option<IoRef>,
) -> Response {
    let in_flight = InFlight::begin(&worker.shared);
    let started_at = worker.shared.clock.now();
    let dialect = worker.shared.interface.dialect();
    let id = owner::request_id(dialect, &incoming.headers).to_string();
    let mut destination = Destination::default();
    let response = process_request(&worker, &mut incoming, &mut destination);
    let response = worker.shared.stop.unless_given_up(response).await;
    let counted = incoming.counted.take();
    let result = response.unwrap_or_else(|| Err(Refusal::unanswered_at_stop()));
    let elapsed = worker.shared.clock.now().saturating_sub(started_at);
    outcome::record_failed_call(&worker, &id, &result);
    outcome::record(&worker, &id, &destination, &result, elapsed);
    let (routed, response, tried) = match result {
        Ok(FinalResponse::Relayed(relayed)) => *relayed,
        Ok(FinalResponse::Complete(response)) => {
            in_flight.finish();
            return response;
        }
        Err(refusal) => {
            in_flight.finish();
            return refusal.response();
        }
    };
    let source = worker.shared.settings.source;
    let deadline = response.body_deadline(routed.class, source, routed.deadline);
    let delivery = Delivery::new(&worker.shared, in_flight, &id)
        .with_counted(counted)
        .with_io(io)
        .with_pipeline()
        .with_deadline(deadline)
        .with_idempotent(routed.class.is_repeatable());
    if routed.class == Class::Download && response.head_content_length.is_none() {
        let (status, headers) = (response.status, response.headers.clone());
        let source = resume::body_source(&worker, routed, response, tried);
        return delivery.respond_with(status, &headers, source);
    }
    delivery.respond(response)
}

/// The response to send to the caller.
pub(super) enum FinalResponse {
    /// A server's response that is streamed to the caller, with its request and the servers that
    /// were tried.
    Relayed(Box<(RoutedRequest, ServerResponse, Vec<ServerId>)>),
    /// A complete response.
    Complete(Response),
}

/// Routes a request, claims its idempotency key and runs its attempts. Sets `destination` to its
/// route and service.
async fn process_request(
    worker: &Worker,
    incoming: &mut IncomingRequest,
    destination: &mut Destination,
) -> Result<FinalResponse, Refusal> {
    let routed = match worker.shared.stop.has_intake_ended() {
        true => Err(Refusal::not_run("this node is about to stop")),
        false => route(worker, incoming).await,
    };
    let routed = match routed {
        Ok(routed) => routed,
        Err(refusal) => {
            incoming.counted.iter().for_each(CountedRequest::reject);
            // A stream of HTTP/2 ends without its connection.
            if !incoming.is_http2 {
                intake::discard(&mut incoming.payload).await;
            }
            return Err(refusal);
        }
    };
    let (route, service) = (routed.route.clone(), routed.service.clone());
    *destination = Destination { route, service };
    let claim = match keyed::claim_key(worker, &routed).await? {
        KeyClaim::Replay(response) => return Ok(FinalResponse::Complete(response)),
        KeyClaim::Held(claim) => Some(claim),
        KeyClaim::Free => None,
    };
    let (result, tried) = run_attempts(worker, &routed).await;
    if result.is_err() {
        routed.request.upload.discard_rest().await;
    }
    let Some(claim) = claim else {
        return result.map(|response| FinalResponse::Relayed(Box::new((routed, response, tried))));
    };
    match claim.finish(worker, result).await? {
        KeyedResponse::Whole(response) => Ok(FinalResponse::Complete(response)),
        KeyedResponse::Relayed(response) => {
            Ok(FinalResponse::Relayed(Box::new((routed, *response, tried))))
        }
    }
}

/// Makes attempts until one succeeds or no other one may follow; returns the result and the servers
/// that were tried.
async fn run_attempts(
    worker: &Worker,
    routed: &RoutedRequest,
) -> (Result<ServerResponse, Refusal>, Vec<ServerId>) {
    let shared = &worker.shared;
    let id = resend_id(routed);
    let origin = worker.shared.failures().origin(id, worker.shared.clock.now());
    // The request that made a call has already earned retry budget.
    if routed.parent.is_none() {
        let earn = |budget: &mut RetryBudget| budget.earn(origin);
        worker.services.borrow_mut().with_budget(shared, &routed.service, earn);
    }
    let is_repeated =
        routed.parent.as_ref().is_some_and(|parent| shared.repeated_runs.contains(parent));
    let first_send = if is_repeated { Repeat::Consequence } else { Repeat::First };
    let max_attempts = u32::try_from(routed.attempts).unwrap_or(u32::MAX);
    let mut attempts = Attempts::new(routed.class, max_attempts, routed.deadline)
        .with_max_owners(services::max_owners(worker, &routed.service));
    let mut effort = attempts.first_effort();
    let mut tried = TriedServers::default();
    let mut at_work = Hedge::default();
    let mut earlier_response = None;
    loop {
        let server = tried.shortest_wait(effort);
        let repeat = match attempts.is_repeat() {
            true => Repeat::Retry,
            false => first_send,
        };
        let plan = AttemptPlan { effort, server, repeat };
        let sent = attempt::send(worker, routed, tried.exclusions(effort), plan);
        let result = match at_work.race(sent).await {
            Either::Left(SendResult::Ended(result)) => *result,
            Either::Left(SendResult::Silent(silent)) => {
                at_work.add(silent);
                Err(attempt::silence_refusal())
            }
            Either::Right((server, earlier)) => return (Ok(earlier), tried.with_last(server)),
        };
        let failure = attempt_failure(&result);
        let next = failure.and_then(|failure| {
            let exclusions = tried.exclusions(effort);
            next_effort(worker, routed, &mut attempts, failure, exclusions)
        });
        tried.record_failure(effort, failure);
        tried.record_wait(failure, result.as_ref().err().and_then(|refusal| refusal.wait));
        let Some(next) = next else {
            let is_unsuccessful = result.as_ref().map_or(true, is_failure);
            if is_unsuccessful && let Some((server, response)) = at_work.first_answer().await {
                return (Ok(response), tried.with_last(server));
            }
            if is_unsuccessful {
                worker.shared.failures().record(id, worker.shared.clock.now());
            }
            // A server's own response says more than the refusal of a later attempt.
            let result = match (result, earlier_response) {
                (Err(_), Some(response)) => Ok(response),
                (result, _) => final_result(result, attempts.may_have_run()),
            };
            return (result, tried.all);
        };
        if let Ok(response) = result {
            earlier_response = Some(response);
        }
        effort = next;
        let metrics = &worker.shared.metrics;
        count(match failure {
            Some(AttemptFailure::Busy | AttemptFailure::Suspect | AttemptFailure::RepeatLimit) => {
                &metrics.rejected_by_owner
            }
            Some(AttemptFailure::Unavailable) => &metrics.stale_retries,
            _ => &metrics.retries,
        });
    }
}

/// Returns the effort of the next attempt, or `None` if the request ends here.
fn next_effort(
    worker: &Worker,
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    failure: AttemptFailure,
    tried: &[ServerId],
) -> Option<Effort> {
    let replayable = routed.request.upload.is_replayable();
    let others = services::untried(worker, &routed.service, tried);
    let now = worker.shared.clock.now();
    let decide = |budget: &mut RetryBudget| {
        let next = match replayable {
            true => attempts.next_effort(failure, others, budget, now),
            false => None,
        };
        (next, budget.available())
    };
    let (next, budget_left) =
        worker.services.borrow_mut().with_budget(&worker.shared, &routed.service, decide);
    // A refusal before dispatch costs no budget, and has its own log line with `event=attempt`.
    if let AttemptFailure::Sent(outcome) = failure {
        if let Some(budget_left) = budget_left {
            let metrics = &worker.shared.metrics;
            metrics.record_retry_budget(&routed.service, worker.thread_id, budget_left);
        }
        tracing::info!(
            event = "retry-decided",
            request = owner::request_id(worker.shared.interface.dialect(), &routed.request.headers),
            service = routed.service,
            retried = next.is_some(),
            outcome = ?outcome,
            class = ?routed.class,
            replayable,
            others = others.any,
            budget_left,
            left_ms = routed.deadline.remaining_ms(now)
        );
    }
    next
}

/// Returns how an attempt failed, or `None` if its response can be passed on to the caller.
fn attempt_failure(result: &Result<ServerResponse, Refusal>) -> Option<AttemptFailure> {
    let refusal = match result {
        Ok(head) if is_failure(head) => return Some(AttemptFailure::Sent(retry::Outcome::Failed)),
        Ok(_) => return None,
        Err(refusal) => refusal,
    };
    if !refusal.try_other_server {
        return Some(AttemptFailure::Final);
    }
    Some(match (refusal.cause, refusal.outcome) {
        (RefusalCause::Stale | RefusalCause::Trial, _) => AttemptFailure::Unavailable,
        (RefusalCause::Full | RefusalCause::Limited, _) => AttemptFailure::Busy,
        (RefusalCause::Suspect, _) => AttemptFailure::Suspect,
        (RefusalCause::RepeatLimit, _) => AttemptFailure::RepeatLimit,
        (_, Outcome::NotRun) => AttemptFailure::Sent(retry::Outcome::NotRun),
        (_, Outcome::Unknown) => AttemptFailure::Sent(retry::Outcome::Unknown),
    })
}

/// Returns the final result of a request. If an earlier attempt may have run, a refusal of the last
/// one does not prove that the request did not run.
fn final_result(
    result: Result<ServerResponse, Refusal>,
    may_have_run: bool,
) -> Result<ServerResponse, Refusal> {
    result.map_err(|refusal| match refusal.outcome {
        Outcome::NotRun if may_have_run => {
            let cause = refusal.cause;
            Refusal { cause, ..Refusal::unknown(StatusCode::BAD_GATEWAY, refusal.error) }
        }
        _ => refusal,
    })
}

/// Returns a hash that the first request and the caller's resends of it have in common: of the
/// caller, the service, and the idempotency key or, without one, the content.
fn resend_id(routed: &RoutedRequest) -> u64 {
    let headers = &routed.request.headers;
    let caller = fields::text(headers, "x-forwarded-for").unwrap_or_default();
    let request = match fields::text(headers, header::IDEMPOTENCY_KEY) {
        Some(key) => key.to_string(),
        None => format!("{:016x}", routed.identity.request),
    };
    hash::of_bytes(format!("{caller} {} {request}", routed.service).as_bytes())
}

/// Returns whether the status reports a failure of the server.
pub(super) fn is_failure(response: &ServerResponse) -> bool {
    response.status.is_server_error() || response.status == StatusCode::TOO_MANY_REQUESTS
}

/// Returns whether the response to a request with `method` can be resumed from another server.
pub(crate) fn is_resumable(method: &Method) -> bool {
    owner::is_get(method)
}

//! One attempt to run a request on one server.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::time::timeout_checked;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;
use arbutuslane_limit::attempts::Effort;

use super::answer::Answer;
use super::entry::failed;
use super::owner::{self, Work};
use super::refusal::{Choice, Outcome, Refusal};
use super::remote;
use super::route::Routed;
use super::services::{self, Ongoing, Place};
use super::silent::{Running, Sent, Silent};
use super::worker::Worker;

/// A server counts as silent after this many times the mean latency of the route.
const SILENT: u32 = 3;

/// The minimum time without a response after which a server counts as silent.
const SHORTEST: Duration = Duration::from_millis(20);

/// Sends `routed` to the best server that is not in `tried`, and adds that server to `tried`.
pub(super) async fn send<'a>(
    worker: &'a Worker,
    routed: &'a Routed,
    tried: &mut Vec<ServerId>,
    effort: Effort,
) -> Sent<'a> {
    let service = &routed.service;
    let chosen = services::choose(worker, service, routed.class, tried);
    let Some((choice, ongoing)) = chosen else {
        let error = format!("no server of {service} takes work");
        return Sent::Ended(Err(Refusal { elsewhere: false, ..Refusal::not_run(error) }));
    };
    let server = choice.server.clone();
    tried.push(server.clone());
    let may_change = routed.class != Class::NonIdempotent && effort == Effort::Ordinary;
    let patience = may_change.then(|| patience(worker, routed));
    let began = worker.shared.clock.now();
    let known = services::age(worker, service, &server, began);
    let note = ongoing.outcome();
    let attempt = Attempt { server: server.clone(), effort, known, began };
    let concluding = attempt.clone();
    let mut running: Running<'a> = Box::pin(async move {
        let result = run(worker, routed, choice, effort, may_change).await;
        conclude(worker, routed, &concluding, ongoing, result)
    });
    let Some(patience) = patience else { return Sent::Ended(running.await) };
    if let Ok(result) = timeout_checked(patience, running.as_mut()).await {
        return Sent::Ended(result);
    }
    // The response may still arrive in time, and no other attempt can be made.
    if !services::may_repeat(worker, service) || !services::has_other(worker, service, tried) {
        return Sent::Ended(running.await);
    }
    record(worker, routed, &attempt, &silent());
    services::avoid(worker, service, &server, false);
    let clock = worker.shared.clock;
    Sent::Silent(Silent { server, running, note, began, clock, ended: false })
}

/// Returns the refusal for an attempt whose server is silent.
pub(super) fn silent() -> Refusal {
    let error = "no response in several times the usual latency";
    let refusal = Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error);
    Refusal { choice: Choice::Silent, ..refusal }
}

/// The log fields of an attempt.
#[derive(Debug, Clone)]
struct Attempt {
    server: ServerId,
    effort: Effort,
    /// The age of the last load report of the server.
    known: Option<Duration>,
    began: Time,
}

/// Sends `routed` to the selected server. `may_switch` states whether another server may be tried
/// if this one is silent.
async fn run(
    worker: &Worker,
    routed: &Routed,
    choice: services::Choice,
    effort: Effort,
    may_change: bool,
) -> Result<Answer, Refusal> {
    let service = &routed.service;
    let server = choice.server.clone();
    let work = Work {
        service: service.clone(),
        server: choice.server,
        incarnation: match &choice.place {
            Place::Local(server) => server.incarnation,
            Place::Remote { incarnation, .. } => *incarnation,
        },
        class: routed.class,
        rank: routed.rank,
        due: routed.due,
        trial: choice.trial,
        repeatable: may_change && services::may_repeat(worker, service),
        insist: matches!(effort, Effort::Insist | Effort::Suspect),
        summary: choice.summary.map(|summary| (worker.source, summary)),
        deadline: routed.deadline,
        fingerprint: routed.fingerprint,
        request: routed.request.clone(),
    };
    match choice.place {
        Place::Local(local) => {
            let result = owner::dispatch(worker, work).await;
            services::report(worker, service, &server, &local.report());
            result
        }
        Place::Remote { owner, address, .. } => {
            forward_in_time(worker, work, (&owner, address)).await
        }
    }
}

/// Records the result of an attempt in the statistics of its server.
fn conclude(
    worker: &Worker,
    routed: &Routed,
    attempt: &Attempt,
    mut ongoing: Ongoing,
    result: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            record(worker, routed, attempt, &refusal);
            // A server that refuses or fails requests quickly must not look idle because of that. A
            // request that did not run is not counted as a failure, because that would hide real
            // failures from the comparison with the server's peers.
            match refusal.choice {
                Choice::Stale | Choice::Suspect => {}
                Choice::Full | Choice::Shed => ongoing.refuse(),
                _ if refusal.outcome == Outcome::NotRun => {}
                _ => {
                    let took = worker.shared.clock.now().saturating_sub(attempt.began);
                    ongoing.note(took, false);
                }
            }
            if matches!(refusal.choice, Choice::Stale | Choice::Shed | Choice::Suspect) {
                let gone = refusal.choice == Choice::Stale;
                services::avoid(worker, &routed.service, &attempt.server, gone);
            }
            return Err(refusal);
        }
    };
    ongoing.note(answer.took, !failed(&answer));
    if !failed(&answer) {
        worker.routes.borrow_mut().observe(&routed.route, answer.took);
    }
    answer.body.hold(ongoing);
    Ok(answer)
}

/// Logs an attempt that brought no response, with the age of the load report that the selection
/// used.
fn record(worker: &Worker, routed: &Routed, attempt: &Attempt, refusal: &Refusal) {
    worker.shared.metrics.attempt_failed(&routed.service, refusal.reason());
    let now = worker.shared.clock.now();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    tracing::info!(
        event = "attempt",
        request = owner::request_id(worker.shared.interface.dialect(), &routed.request.headers),
        service = routed.service,
        server = attempt.server,
        effort = ?attempt.effort,
        outcome = ?refusal.outcome,
        choice = ?refusal.choice,
        reason = refusal.error,
        known_ms = attempt.known.map(millis),
        left_ms = routed.deadline.remaining_ms(now),
        took_ms = millis(now.saturating_sub(attempt.began))
    );
}

/// Returns how long an attempt may go without a response before another server is tried.
///
/// A small multiple of the mean latency of the route distinguishes a hung server from a slow
/// request. The timeout is at most half of the remaining time, so that the other server has as much
/// time.
fn patience(worker: &Worker, routed: &Routed) -> Duration {
    let remaining = routed.deadline.remaining(worker.shared.clock.now());
    let usual = worker.routes.borrow().latency(&routed.route);
    usual.map_or(remaining / 2, |usual| (usual * SILENT).max(SHORTEST).min(remaining / 2))
}

/// Forwards the request to the owner of its server and gives up at the deadline.
async fn forward_in_time(
    worker: &Worker,
    work: Work,
    place: (&str, SocketAddr),
) -> Result<Answer, Refusal> {
    let limit = work.deadline.remaining(worker.shared.clock.now());
    let forwarding = remote::forward(worker, work, place);
    match timeout_checked(limit.max(Duration::from_millis(1)), forwarding).await {
        Ok(result) => result,
        Err(()) => {
            worker.pool.purge(place.1);
            let error = "no response within the deadline";
            Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error))
        }
    }
}

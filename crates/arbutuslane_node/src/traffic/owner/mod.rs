//! The stages of a request on the owner node: lease check, admission and dispatch to the server.

mod admission;
mod bodies;
mod exchange;
mod execution;
mod repeats;
mod statement;
mod work;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::http::{self, HeaderMap, Method, Response, StatusCode};

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::hash;
use arbutuslane_core::time::millis;
use arbutuslane_limit::gate::Arrival;
use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_wire::dialect::{Dialect, ResponseMatching};
use arbutuslane_wire::header;

use crate::announce::Server;
use crate::cluster::strikes::{self, ExclusiveClaim};
use crate::cluster::trials;
use crate::metrics::{Stage, count};
use crate::settings;

use super::answer::ServerResponse;
use super::client::{Failure, Request};
use super::refusal::{Outcome, Refusal, RefusalCause};
use super::relay::{Delivery, InFlight};
use super::worker::Worker;
use super::workspace::Importance;
use super::{deadline, fields, http1_pipeline};

use admission::{admission_refusal, log_refusal};
pub(crate) use exchange::count_connection;
use exchange::{implies_not_run, send, shed_refusal};
pub(crate) use execution::Execution;
pub(crate) use repeats::{Repeat, Repeats};
pub(crate) use statement::parse_limit;
pub(crate) use work::ServerRequest;
use work::{parse_request, receive_request};

/// The path prefix of forwarded requests.
pub(crate) const FORWARD: &str = "/v1/forward";

/// A server that responds 504 when less than this is left of a request's time has stopped because of
/// that time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// The path prefix of offers: heads of requests whose bodies follow if the offer is accepted.
pub(crate) const OFFER: &str = "/v1/offer";

/// Responds to an offer of a request: whether its server would admit the request.
///
/// A refused body would have crossed the links of two machines for nothing, and a refusal that is
/// sent before the body was read may be lost with the connection.
pub(crate) fn handle_offer(worker: &Worker, incoming: &http::Request) -> Response {
    let result = parse_request(worker, incoming).and_then(|server_request| {
        let (server, arrival) = check(worker, &server_request)?;
        if !server_request.must_accept && server.bodies.as_ref().is_some_and(|b| b.is_used_up()) {
            return Err(bodies::refusal());
        }
        match server.admission.refusal(&arrival, server_request.must_accept) {
            Some(refusal) => Err(admission_refusal(refusal)),
            None => Ok(()),
        }
    });
    let response = match result {
        Ok(()) => Response::new(StatusCode::NO_CONTENT),
        Err(refusal) => {
            count(&worker.shared.metrics.offers_refused);
            refusal.response()
        }
    };
    with_load(worker, incoming.headers(), response)
}

/// Adds the exchange id and the load of the server to a response to an entry.
fn with_load(worker: &Worker, request: &HeaderMap, mut response: Response) -> Response {
    let headers = response.headers_mut();
    if let Some(exchange) = fields::text(request, header::EXCHANGE) {
        fields::set(headers, header::EXCHANGE, exchange);
    }
    let server = fields::text(request, header::SERVER).unwrap_or_default();
    if let Some(server) = worker.shared.servers.get(server) {
        fields::set(headers, header::LOAD, &server.report().encode());
        if let Some(limit) = server.stated_limit() {
            fields::set(headers, header::LIMIT, &limit.to_string());
        }
    }
    response
}

/// Responds to a request that an entry forwarded.
pub(crate) async fn handle(
    worker: Rc<Worker>,
    mut incoming: http::Request,
    counted: Option<CountedRequest>,
) -> Response {
    let in_flight = InFlight::begin(&worker.shared);
    let io = incoming.io().cloned();
    let request_id = request_id(worker.shared.interface.dialect(), incoming.headers()).to_string();
    let mut delivery = Delivery::new(&worker.shared, in_flight, &request_id).with_io(io);
    http1_pipeline::meter(counted.as_ref(), &mut incoming);
    let received = receive_request(&worker, &mut incoming, counted.as_ref()).await;
    delivery = delivery.with_counted(counted);
    let result = match received {
        Ok(server_request) => {
            let (class, deadline) = (server_request.class, server_request.deadline);
            delivery = delivery.with_idempotent(class.is_repeatable());
            let result = run(&worker, server_request).await;
            let source = worker.shared.settings.source;
            result.map(|response| (response.body_deadline(class, source, deadline), response))
        }
        Err(refusal) => Err(refusal),
    };
    let latency =
        result.as_ref().ok().map(|(_, response)| response.latency.as_micros().to_string());
    let response = match result {
        Ok((deadline, response)) => delivery.with_deadline(deadline).respond(response),
        Err(refusal) => refusal.response(),
    };
    let mut response = with_load(&worker, incoming.headers(), response);
    if let Some(latency) = latency {
        fields::set(response.headers_mut(), header::LATENCY_US, &latency);
    }
    response
}

/// Dispatches a forwarded request, and reads the rest of its body if it is refused.
async fn run(worker: &Worker, server_request: ServerRequest) -> Result<ServerResponse, Refusal> {
    let upload = server_request.request.upload.clone();
    let result = dispatch(worker, server_request).await;
    if result.as_ref().is_err_and(|refusal| refusal.outcome == Outcome::NotRun) {
        let bytes = upload.length().unwrap_or_default();
        worker.shared.metrics.refused_body_bytes.fetch_add(bytes, Ordering::Relaxed);
        upload.discard_rest().await;
    }
    result
}

/// Makes the checks that come before the queue of the server; returns the server and the request as
/// it arrives at the queue.
fn check(
    worker: &Worker,
    server_request: &ServerRequest,
) -> Result<(Arc<Server>, Arrival), Refusal> {
    let server = find_server(worker, server_request)?;
    if let Some(limit) = server_request.known_limit {
        server.learn_limit(limit);
    }
    trials::check(worker, &server, server_request.identity)?;
    if server_request.repeat == Repeat::Retry
        && !repeats::admits(worker, &server.service, server_request)
    {
        return Err(Refusal::repeat_limit());
    }
    // The trial of a suspect server was decided with the offer.
    let must_accept = server_request.must_accept || server_request.is_offered;
    if !must_accept {
        server.health.try_accept(server_request.retryable).map_err(Refusal::suspect)?;
    }
    let (kind, _) = evidence_sources(worker, &server_request.request);
    let precedence = precedence(worker, &server_request.request.headers);
    let ServerRequest { importance, is_call, due, deadline, .. } = *server_request;
    let Importance { rank, workspace } = importance;
    let weight = worker.shared.configuration().workspace_weight(workspace);
    Ok((server, Arrival { kind, rank, precedence, due, deadline, workspace, weight, is_call }))
}

/// Dispatches a request to its server, which this node owns.
pub(crate) async fn dispatch(
    worker: &Worker,
    server_request: ServerRequest,
) -> Result<ServerResponse, Refusal> {
    let clock = &worker.shared.clock;
    let (server, arrival) = check(worker, &server_request)?;
    let was_suspect = server.health.is_suspect();
    let (route, caller) = evidence_sources(worker, &server_request.request);
    let deadline = server_request.deadline;
    let arrived_at = clock.now();
    let may_wait = server_request.must_accept || server_request.is_offered;
    let _stream = bodies::enter_stream(&server, &server_request.request.upload)?;
    let body_permit = bodies::enter(worker, &server, &server_request, may_wait).await?;
    let predicted_wait = server.admission.predicted_wait(&arrival);
    let permit = match may_wait {
        true => server.admission.enter(arrival).await,
        false => server.admission.enter_now(arrival).await,
    };
    let waited = clock.now().saturating_sub(arrived_at);
    let permit = permit.map_err(|refusal| {
        if may_wait {
            log_refusal(worker, &server, &server_request, &refusal, waited);
        }
        admission_refusal(refusal)
    })?;
    let permit = permit.with_body(body_permit);
    let metrics = &worker.shared.metrics;
    metrics.record_stage(Stage::Queue, waited);
    if !may_wait && !was_suspect {
        server.health.try_accept(server_request.retryable).map_err(Refusal::suspect)?;
    }
    // Checked after the queue, because another run of the request may have crashed a server
    // meanwhile.
    let remaining = deadline.remaining(clock.now());
    let trial = trials::begin(worker, &server, server_request.identity, remaining).await?;
    let mut claim =
        strikes::claim_exclusive_run(worker, &server.service, server_request.identity, remaining)
            .await?;
    if let Some((source, summary)) = &server_request.summary {
        server.health.record(*source, *summary);
    }
    let running = server.health.begin(server_request.class, server_request.is_trial, route, caller);
    let Some(running) = running else {
        return Err(Refusal::stale("the server is ejected and accepts trial requests only"));
    };
    if let Some(claim) = &mut claim {
        claim.dispatch();
    }
    remember_run(worker, &server_request);
    repeats::count(worker, &server.service, &server_request);
    let identity = server_request.identity;
    let mut execution = Execution::new(worker, &server, identity, running, permit);
    execution.begin_trial(trial);
    let dispatched_at = clock.now();
    let dialect = worker.shared.interface.dialect();
    let received = match send(worker, &server, &server_request).await {
        Ok(received) => received,
        Err(failure) => return Err(exchange_refusal(worker, failure, execution, claim).await),
    };
    statement::apply(worker, &server, &received.headers);
    let latency = clock.now().saturating_sub(dispatched_at);
    server.record_latency(latency);
    metrics.record_stage(Stage::Server, latency);
    let id = request_id(dialect, &server_request.request.headers);
    tracing::info!(
        event = "dispatched",
        request = id,
        server = server.id,
        status = received.status.as_u16(),
        suspect = was_suspect,
        insisted = server_request.must_accept,
        call_failed = received.status.is_server_error() && worker.shared.failed_calls.contains(id),
        rank = server_request.importance.rank,
        predicted_ms = millis(predicted_wait),
        waited_ms = millis(waited),
        took_ms = millis(latency)
    );
    if received.echoed {
        server.set_echoes_ids();
    }
    if let Some(refusal) = shed_refusal(dialect, &received.headers, received.status) {
        if let Some(claim) = claim {
            claim.release();
        }
        execution.end_trial();
        return Err(refusal);
    }
    if dialect.statuses_guarantee_not_run && implies_not_run(received.status) {
        execution.running().finish(false);
        let error = format!(
            "the server responded with {} without stating that it did not run the request",
            received.status
        );
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, error));
    }
    execution.hold_claim(claim);
    let running = execution.running();
    let is_failed = received.status.is_server_error();
    let is_timeout = received.status == StatusCode::GATEWAY_TIMEOUT
        && deadline.remaining(clock.now()) < RESPONSE_MARGIN;
    if is_failed && worker.shared.failed_calls.contains(id) {
        running.cancel();
    } else if is_timeout {
        running.run_out_of_time();
    } else {
        running.finish(!is_failed);
    }
    Ok(ServerResponse {
        latency,
        ..ServerResponse::new(received, &server_request.request.method, Some(execution))
    })
}

/// Remembers what the calls of a request need to know of it: its importance, and whether it is a
/// repeat, because the calls of a repeat are repeats too.
fn remember_run(worker: &Worker, server_request: &ServerRequest) {
    let shared = &worker.shared;
    let id = request_id(shared.interface.dialect(), &server_request.request.headers);
    let inherits = shared.settings.admission == settings::Admission::LeastCost;
    if inherits || shared.requires_keys(&shared.configuration()) {
        shared.dispatched_ids.insert(id, server_request.importance);
    }
    if server_request.repeat != Repeat::First {
        shared.repeated_runs.add(id);
    }
}

/// Returns the refusal for an exchange that failed before the response head; records a strike against
/// the request if it crashed the server.
async fn exchange_refusal(
    worker: &Worker,
    failure: Failure,
    mut execution: Execution,
    claim: Option<ExclusiveClaim>,
) -> Refusal {
    match failure {
        Failure::Deadline => execution.running().run_out_of_time(),
        _ if failure.blames_server() => execution.running().finish(false),
        _ => {}
    }
    if matches!(failure, Failure::WrongExchange) {
        count(&worker.shared.metrics.wrong_exchange);
    }
    tracing::debug!(event = "dispatch-failed", ?execution, %failure);
    let refusal = Refusal::from_failure(&failure);
    if refusal.outcome == Outcome::NotRun {
        if let Some(claim) = claim {
            claim.release();
        }
        execution.end_trial();
        return refusal;
    }
    match execution.fail(&failure).await {
        true => Refusal { cause: RefusalCause::Final, try_other_server: false, ..refusal },
        false => refusal,
    }
}

/// Returns the server of a request, or the refusal if the server cannot run the request.
fn find_server(worker: &Worker, server_request: &ServerRequest) -> Result<Arc<Server>, Refusal> {
    let now = worker.shared.clock.now();
    if deadline::has_passed(server_request.deadline, now) {
        return Err(Refusal::not_run("the deadline passed before dispatch"));
    }
    if worker.shared.stop.has_intake_ended() {
        return Err(Refusal::stale("the owner of the server is about to stop"));
    }
    let server = worker.shared.servers.get(&server_request.server);
    let server = server.filter(|server| server.incarnation == server_request.incarnation);
    let server = server.ok_or_else(|| Refusal::stale("this node does not own the server"))?;
    match server.is_open(now) {
        true => Ok(server),
        false => Err(Refusal::stale("the server left or takes no new work")),
    }
}

/// Returns the precedence of a request, which is the same at all owners for the calls of one
/// request.
fn precedence(worker: &Worker, headers: &HeaderMap) -> u64 {
    let dialect = worker.shared.interface.dialect();
    let parent = dialect.parent_id(request_id(dialect, headers));
    let parent = parent.filter(|_| Mechanism::CallPrecedence.is_on());
    parent.map_or(0, |parent| hash::of_bytes(parent.as_bytes()))
}

/// Returns the id that the caller gave its request, or an empty string.
pub(crate) fn request_id<'a>(dialect: &Dialect, headers: &'a HeaderMap) -> &'a str {
    let field = match dialect.response_matching {
        ResponseMatching::EndToEnd(field) => field,
        ResponseMatching::PerHop(_) => header::IDEMPOTENCY_KEY,
    };
    fields::text(headers, field).unwrap_or_default()
}

/// Returns the hashes of the route and the caller. The detector caps the share of the evidence that
/// comes from one route or caller.
fn evidence_sources(worker: &Worker, request: &Request) -> (u64, u64) {
    let host = fields::text(&request.headers, "host");
    let path = request.target.split('?').next().unwrap_or_default();
    let configuration = worker.shared.configuration();
    let route = configuration.route(host, path).map_or("", |rule| rule.prefix.as_str());
    let caller = fields::text(&request.headers, "x-forwarded-for").unwrap_or_default();
    (hash::of_bytes(route.as_bytes()), hash::of_bytes(caller.as_bytes()))
}

/// Returns whether the response to a request with `method` can be resumed by another request.
pub(crate) fn is_get(method: &Method) -> bool {
    method == Method::GET
}

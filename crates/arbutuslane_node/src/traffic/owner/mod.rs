//! The stages of a request on the owner node: lease check, admission and dispatch to the server.

mod exchange;
mod work;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::{self, HeaderMap, Method, Response, StatusCode};

use arbutuslane_core::hash;
use arbutuslane_limit::gate::{self, Arrival, Reason};
use arbutuslane_wire::dialect::{Dialect, Exchange};
use arbutuslane_wire::header;

use crate::announce::Server;
use crate::cluster::strikes::{self, Alone};
use crate::condition::Running;
use crate::metrics::{Stage, count};

use super::answer::Answer;
use super::client::{Failure, Request};
use super::refusal::{Choice, Outcome, Refusal};
use super::relay::{InFlight, Relay};
use super::worker::Worker;
use super::{deadline, fields};

pub(crate) use exchange::count_connection;
use exchange::{promises, send, shed};
pub(crate) use work::Work;
use work::read;

/// The path prefix of forwarded requests.
pub(crate) const FORWARD: &str = "/v1/forward";

/// Responds to a request that an entry forwarded.
pub(crate) async fn handle(worker: Rc<Worker>, mut incoming: http::Request) -> Response {
    let in_flight = InFlight::begin(&worker.shared);
    let exchange = fields::text(incoming.headers(), header::EXCHANGE).map(str::to_string);
    let server = fields::text(incoming.headers(), header::SERVER).unwrap_or_default().to_string();
    let io = incoming.io().cloned();
    let result = match read(&worker, &mut incoming) {
        Ok(work) => dispatch(&worker, work).await,
        Err(refusal) => Err(refusal),
    };
    let load = worker.shared.servers.get(&server).map(|server| server.report().encode());
    let took = result.as_ref().ok().map(|answer| answer.took.as_micros().to_string());
    let mut response = match result {
        Ok(answer) => Relay::respond(&worker.shared, answer, io, in_flight, None),
        Err(refusal) => refusal.response(),
    };
    let headers = response.headers_mut();
    if let Some(exchange) = exchange {
        fields::set(headers, header::EXCHANGE, &exchange);
    }
    if let Some(load) = load {
        fields::set(headers, header::LOAD, &load);
    }
    if let Some(took) = took {
        fields::set(headers, header::TOOK_US, &took);
    }
    response
}

/// Dispatches a request to its server, which this node owns.
pub(crate) async fn dispatch(worker: &Worker, work: Work) -> Result<Answer, Refusal> {
    let clock = &worker.shared.clock;
    let server = find(worker, &work)?;
    strikes::check(worker, work.fingerprint)?;
    let was_suspect = server.condition.is_suspect();
    if !work.insist && !server.condition.prefers(work.repeatable) {
        return Err(Refusal::suspect());
    }
    let Work { rank, due, deadline, .. } = work;
    let (route, caller) = evidence(worker, &work.request);
    let precedence = precedence(worker, &work.request.headers);
    let arrival = Arrival { kind: route, rank, precedence, due, deadline };
    let arrived = clock.now();
    let permit = match work.insist {
        true => server.admission.enter(arrival).await,
        false => server.admission.enter_now(arrival).await,
    };
    let permit = permit.map_err(denied)?;
    let metrics = &worker.shared.metrics;
    metrics.stage(Stage::Queue, clock.now().saturating_sub(arrived));
    if !work.insist && !was_suspect && server.condition.is_suspect() {
        return Err(Refusal::suspect());
    }
    // Checked after the queue, because another run of the request may have crashed a server
    // meanwhile.
    let remaining = deadline.remaining(clock.now());
    let mut alone = strikes::admit(worker, &server.service, work.fingerprint, remaining).await?;
    if let Some((source, summary)) = &work.summary {
        server.condition.record(*source, *summary);
    }
    let running = server.condition.begin(work.class, work.trial, route, caller);
    let Some(mut running) = running else {
        return Err(Refusal::stale("the server is ejected and takes trial requests only"));
    };
    if let Some(alone) = &mut alone {
        alone.dispatch();
    }
    let started = clock.now();
    let dialect = worker.shared.interface.dialect();
    let reply = match send(worker, &server, &work).await {
        Ok(reply) => reply,
        Err(failure) => return Err(failed(worker, &server, &work, failure, running, alone).await),
    };
    let took = clock.now().saturating_sub(started);
    server.note_latency(took);
    metrics.stage(Stage::Server, took);
    let id = request_id(dialect, &work.request.headers);
    tracing::info!(
        event = "dispatched",
        request = id,
        server = server.id,
        status = reply.status.as_u16(),
        suspect = was_suspect,
        insisted = work.insist,
        call_failed = reply.status.is_server_error() && worker.shared.call_failed(id),
        took_ms = millis(took)
    );
    if reply.echoed {
        server.set_echoes();
    }
    if let Some(refusal) = shed(dialect, &reply.headers, reply.status) {
        if let Some(alone) = alone {
            alone.release();
        }
        return Err(refusal);
    }
    if dialect.statuses_promise && promises(reply.status) {
        running.finish(false);
        let error =
            format!("the server answered {} without saying that it ran nothing", reply.status);
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, error));
    }
    if let Some(alone) = alone {
        strikes::passed(worker, &server.service, work.fingerprint);
        alone.release();
    }
    match reply.status.is_server_error() && worker.shared.call_failed(id) {
        true => running.excuse(),
        false => running.finish(!reply.status.is_server_error()),
    }
    Ok(Answer { took, ..Answer::new(reply, &work.request.method, Some((permit, running))) })
}

/// Returns the refusal for a failed exchange; records a strike against the request if it crashed
/// the server.
async fn failed(
    worker: &Worker,
    server: &Server,
    work: &Work,
    failure: Failure,
    mut running: Running,
    alone: Option<Alone>,
) -> Refusal {
    if failure.blames_server() {
        running.finish(false);
    }
    if matches!(failure, Failure::WrongExchange) {
        count(&worker.shared.metrics.wrong_exchange);
    }
    tracing::debug!(event = "dispatch-failed", server = server.id, %failure);
    let refusal = Refusal::from_failure(&failure);
    if refusal.outcome == Outcome::NotRun {
        if let Some(alone) = alone {
            alone.release();
        }
        return refusal;
    }
    let broke = matches!(failure, Failure::Closed(_));
    match broke && strikes::crashed(worker, server, work.fingerprint).await {
        true => Refusal { choice: Choice::Final, elsewhere: false, ..refusal },
        false => refusal,
    }
}

fn find(worker: &Worker, work: &Work) -> Result<Arc<Server>, Refusal> {
    let now = worker.shared.clock.now();
    if deadline::passed(work.deadline, now) {
        return Err(Refusal::not_run("the deadline passed before dispatch"));
    }
    if worker.shared.intake_ended() {
        return Err(Refusal::stale("the node beside the server is about to stop"));
    }
    let server = worker.shared.servers.get(&work.server);
    let server = server.filter(|server| server.incarnation == work.incarnation);
    let server = server.ok_or_else(|| Refusal::stale("this node does not own the server"))?;
    match server.open(now) {
        true => Ok(server),
        false => Err(Refusal::stale("the server left or takes no new work")),
    }
}

/// Returns the precedence of a request, which is the same at all owners for the calls of one
/// request.
fn precedence(worker: &Worker, headers: &HeaderMap) -> u64 {
    let dialect = worker.shared.interface.dialect();
    let parent = dialect.parent(request_id(dialect, headers));
    parent.map_or(0, |parent| hash::of_bytes(parent.as_bytes()))
}

fn denied(refusal: gate::Refusal) -> Refusal {
    let error = match refusal.reason {
        Reason::Expired => "the deadline passed before dispatch",
        Reason::TooLate => "no slot becomes free within the deadline",
        Reason::Full => "all slots and the queue of the server are taken",
        Reason::Closed => return Refusal::stale("the server takes no new work"),
    };
    let seconds = u32::try_from(refusal.retry_after.as_secs()).unwrap_or(u32::MAX);
    let retry_after = Some(seconds.saturating_add(1).min(60));
    Refusal { choice: Choice::Full, retry_after, ..Refusal::not_run(error) }
}

/// Returns the id that the caller gave its request, or an empty string.
pub(crate) fn request_id<'a>(dialect: &Dialect, headers: &'a HeaderMap) -> &'a str {
    let field = match dialect.exchange {
        Exchange::OfCaller(field) => field,
        Exchange::PerHop(_) => header::IDEMPOTENCY_KEY,
    };
    fields::text(headers, field).unwrap_or_default()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the hashes of the route and the caller. The detector caps the share of the evidence that
/// comes from one route or caller.
fn evidence(worker: &Worker, request: &Request) -> (u64, u64) {
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

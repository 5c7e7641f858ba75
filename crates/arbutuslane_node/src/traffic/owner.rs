//! The owner's stages: lease, admission, dispatch to the backend server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::{self, HeaderMap, Method, Response, StatusCode};
use ntex::util::Bytes;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::{Incarnation, ServerId, ServiceName};
use arbutuslane_core::time::Time;
use arbutuslane_health::peers::Summary;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::gate::{self, Arrival, Reason};
use arbutuslane_wire::dialect::{Dialect, Exchange};
use arbutuslane_wire::header;

use crate::announce::Server;
use crate::cluster::strikes::{self, Alone};
use crate::condition::Running;
use crate::metrics::{Stage, count};

use super::answer::Answer;
use super::client::{Connection, Echo, Failure, Reply, Request, Terms, Upload};
use super::refusal::{Choice, Outcome, Refusal};
use super::relay::{InFlight, Relay};
use super::worker::{Worker, new_exchange};
use super::{deadline, fields};

/// The start of the paths by which entries forward requests.
pub(crate) const FORWARD: &str = "/v1/forward";

/// The longest wait for a connection to a backend server; a new one takes about 1 ms.
const CONNECT: Duration = Duration::from_secs(1);

/// A request for one backend server.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// The service of the server.
    pub(crate) service: ServiceName,
    /// The server that the entry chose.
    pub(crate) server: ServerId,
    /// The incarnation that the entry knows.
    pub(crate) incarnation: Incarnation,
    /// The class of the request.
    pub(crate) class: Class,
    /// Its rank; 0 goes first.
    pub(crate) rank: u8,
    /// Until when its response is worth most.
    pub(crate) due: Time,
    /// Whether an ejected server may run the request as a trial.
    pub(crate) trial: bool,
    /// Whether the entry would repeat the request elsewhere if it failed.
    pub(crate) repeatable: bool,
    /// Whether the request may wait for a slot, and a suspect must take it, because no other server
    /// does.
    pub(crate) insist: bool,
    /// How the server's peers perform, with the entry thread that saw it.
    pub(crate) summary: Option<(u64, Summary)>,
    /// When the response is of no use any more.
    pub(crate) deadline: Deadline,
    /// Tells requests apart that crash servers.
    pub(crate) fingerprint: u64,
    /// The request with its end-to-end header fields.
    pub(crate) request: Request,
}

/// Answers a request that an entry forwarded.
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

/// Sends `work` to its server, which this node owns.
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
    // Decided after the queue, in which the request may have been struck.
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

/// Returns what a failed exchange means for the entry, after the strike when the server crashed.
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

fn read(worker: &Worker, incoming: &mut http::Request) -> Result<Work, Refusal> {
    let bad = |what: &str| {
        let remedy = "check that all nodes run compatible releases";
        Refusal::rejected(StatusCode::BAD_REQUEST, what, remedy)
    };
    let headers = incoming.headers();
    let server = fields::text(headers, header::SERVER).ok_or_else(|| bad("no server"))?;
    let incarnation = fields::text(headers, header::INCARNATION);
    let incarnation = incarnation.and_then(|text| text.parse().ok());
    let incarnation = incarnation.ok_or_else(|| bad("no incarnation"))?;
    let class = match fields::text(headers, header::CLASS) {
        Some("idempotent") => Class::Idempotent,
        Some("non-idempotent") => Class::NonIdempotent,
        Some("download") => Class::Download,
        _ => return Err(bad("no class")),
    };
    let now = worker.shared.clock.now();
    let deadline = deadline::read(headers, Duration::ZERO, now);
    let rank = fields::text(headers, header::RANK).and_then(|text| text.parse().ok());
    let rank = rank.unwrap_or_else(|| Arrival::of_class(class, now, deadline).rank);
    let due = deadline::read_from(header::DUE_MS, headers, deadline.remaining(now), now);
    let due = now + due.remaining(now);
    let target = incoming.uri().path_and_query().map_or("/", |target| target.as_str());
    let target = target.strip_prefix(FORWARD).filter(|target| target.starts_with('/'));
    let target = target.ok_or_else(|| bad("no path"))?.to_string();
    let source = fields::text(headers, header::BASELINE_SOURCE);
    let source = source.and_then(|text| u64::from_str_radix(text, 16).ok());
    let summary = fields::text(headers, header::BASELINE).and_then(Summary::parse);
    let summary = source.zip(summary);
    let (server, length) = (server.to_string(), fields::length(headers));
    let (method, headers) = (incoming.method().clone(), fields::end_to_end(headers));
    // The entry has checked the limit of the service.
    let upload = match incoming.take_payload() {
        http::Payload::None => Upload::Empty,
        payload => Upload::stream(Bytes::new(), payload, length, u64::MAX),
    };
    let request = Request { method, target, headers, upload };
    let trial = incoming.headers().contains_key(header::TRIAL);
    let repeatable = incoming.headers().contains_key(header::REPEATABLE);
    let insist = incoming.headers().contains_key(header::INSIST);
    let fingerprint = fields::text(incoming.headers(), header::FINGERPRINT);
    let fingerprint = fingerprint.and_then(|text| u64::from_str_radix(text, 16).ok());
    let fingerprint = fingerprint.unwrap_or_default();
    let service = String::new();
    Ok(Work {
        service,
        server,
        incarnation,
        class,
        rank,
        due,
        trial,
        repeatable,
        insist,
        summary,
        deadline,
        fingerprint,
        request,
    })
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

async fn send(worker: &Worker, server: &Server, work: &Work) -> Result<Reply, Failure> {
    let clock = &worker.shared.clock;
    // A booking never depends on whether an idle connection is still open.
    let keep = work.class != Class::NonIdempotent;
    let dialect = worker.shared.interface.dialect();
    let always_echoes = matches!(dialect.exchange, Exchange::OfCaller(_));
    let mut idle = if keep && (always_echoes || server.echoes()) {
        worker.pool.take(server.address)
    } else {
        None
    };
    loop {
        let limit = work.deadline.remaining(clock.now());
        let connection = match idle.take() {
            Some(connection) => connection,
            None => connect(worker, server, limit.min(CONNECT)).await?,
        };
        // Checked after the last wait, so that nothing is dispatched after the lease.
        if !server.open(clock.now()) {
            return Err(Failure::Left);
        }
        let limit = work.deadline.remaining(clock.now());
        let reused = connection.reused();
        count_connection(worker, &connection);
        let echoes = always_echoes || server.echoes();
        let terms = Terms {
            id: exchange_id(dialect, &work.request.headers),
            echo: if echoes { Echo::Required } else { Echo::Unknown },
            keep,
            ends_with_connection: dialect.ends_with_connection,
            limit,
        };
        let request = request_for(dialect, work, clock.now());
        let result = connection.exchange(request, terms).await;
        match result {
            Err(Failure::ClosedUnused) if reused => {}
            Err(failure) => {
                worker.pool.purge(server.address);
                return Err(failure);
            }
            Ok(reply) => {
                count(&worker.shared.metrics.dispatched);
                return Ok(reply);
            }
        }
    }
}

/// Returns the precedence of a request: the same for the calls of one request at all owners.
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

fn request_for(dialect: &Dialect, work: &Work, now: Time) -> Request {
    let mut request = work.request.clone();
    fields::set(&mut request.headers, dialect.deadline_ms, &deadline::encode(work.deadline, now));
    if let Some(field) = dialect.expected_server {
        fields::set(&mut request.headers, field, &work.server);
    }
    request
}

/// Returns the id that the caller gave its request, or an empty one.
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

/// Returns the field and value by which the server's response is matched to the request.
fn exchange_id(dialect: &Dialect, headers: &HeaderMap) -> (&'static str, String) {
    match dialect.exchange {
        Exchange::PerHop(field) => (field, format!("{:032x}", new_exchange())),
        Exchange::OfCaller(field) => {
            (field, fields::text(headers, field).unwrap_or_default().to_string())
        }
    }
}

/// Opens a connection to a server; a refused one shows that its process is gone.
async fn connect(worker: &Worker, server: &Server, limit: Duration) -> Result<Connection, Failure> {
    let result = worker.pool.connect(server.address, limit).await;
    if let Err(Failure::Connect(error)) = &result
        && error.kind() == std::io::ErrorKind::ConnectionRefused
    {
        server.set_refusing();
    }
    result
}

/// Counts an opened or reused connection.
pub(crate) fn count_connection(worker: &Worker, connection: &Connection) {
    let metrics = &worker.shared.metrics;
    match connection.reused() {
        true => count(&metrics.connections_reused),
        false => count(&metrics.connections_opened),
    }
}

/// Returns the hashes of the route and the caller, whose shares of the evidence are capped.
fn evidence(worker: &Worker, request: &Request) -> (u64, u64) {
    let host = fields::text(&request.headers, "host");
    let path = request.target.split('?').next().unwrap_or_default();
    let configuration = worker.shared.configuration();
    let route = configuration.route(host, path).map_or("", |rule| rule.prefix.as_str());
    let caller = fields::text(&request.headers, "x-forwarded-for").unwrap_or_default();
    (hash::of_bytes(route.as_bytes()), hash::of_bytes(caller.as_bytes()))
}

/// Returns the refusal of a server that says itself that it did not run the request.
///
/// A bare 503 is no proof: a server may fail with it after it began.
fn shed(dialect: &Dialect, headers: &HeaderMap, status: StatusCode) -> Option<Refusal> {
    let stated = fields::text(headers, dialect.not_run.name);
    let stated = stated.is_some_and(|stated| dialect.not_run.value.is_none_or(|v| v == stated));
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected && dialect.expected_server.is_some() {
        return Some(Refusal::stale("another server has this address"));
    }
    let refused =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if !refused || !stated {
        return None;
    }
    let retry_after = fields::text(headers, "retry-after").and_then(|text| text.parse().ok());
    Some(Refusal {
        outcome: Outcome::NotRun,
        status,
        retry_after: retry_after.or(Some(1)),
        choice: Choice::Shed,
        ..Refusal::not_run("the server refused the request and did not run it")
    })
}

/// Returns whether a status promises callers of some dialects that the request did not run.
fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether `method` may be sent again and resumed.
pub(crate) fn is_get(method: &Method) -> bool {
    method == Method::GET
}

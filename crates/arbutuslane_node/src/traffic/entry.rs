//! The entry's stages: route, limits, deadline, choice, forwarding, retries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HOST, HeaderName};
use ntex::http::{self, HeaderMap, Method, Response, StatusCode, Version};
use ntex::time::{sleep, timeout_checked};

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::retry;
use arbutuslane_wire::header;

use crate::cluster::keyed::{self, Begun, Finished};
use crate::configuration::Configuration;
use crate::metrics::count;

use super::answer::Answer;
use super::client::Request;
use super::deadline;
use super::fields;
use super::intake;
use super::owner::{self, Work};
use super::protocol;
use super::refusal::{Choice, Outcome, Refusal};
use super::relay::{InFlight, Relay};
use super::remote;
use super::resume;
use super::services::{self, Place};
use super::worker::Worker;

/// The most servers that one request is sent to when owners refuse because servers have moved.
const STALE_ATTEMPTS: usize = 6;

/// The longest wait of a request for the first configuration of a node that has just started.
///
/// A restarted node fetches it from a peer within about 2 s. Without the wait a planned restart
/// refuses the requests of that time.
const FIRST_CONFIGURATION: Duration = Duration::from_secs(4);

/// How often a request that waits looks for the configuration.
const LOOK: Duration = Duration::from_millis(20);

/// A request of a caller after routing.
#[derive(Debug, Clone)]
pub(crate) struct Routed {
    /// The service that runs it.
    pub(crate) service: String,
    /// Its class.
    pub(crate) class: Class,
    /// When its response is of no use any more.
    pub(crate) deadline: Deadline,
    /// The most servers that it is sent to.
    pub(crate) attempts: usize,
    /// Whether a backend server sent it while it ran another request.
    pub(crate) is_call: bool,
    /// The request with its end-to-end header fields.
    pub(crate) request: Request,
    /// What tells the request from others.
    pub(crate) fingerprint: u64,
}

/// Answers a request of a caller.
pub(crate) async fn handle(worker: Rc<Worker>, mut incoming: http::Request) -> Response {
    let in_flight = InFlight::begin(&worker.shared);
    let http2 = incoming.version() == Version::HTTP_2;
    if http2 && worker.shared.stopping() {
        incoming.io().into_iter().for_each(protocol::go_away);
    }
    // A truncated body resets its stream of HTTP/2, and breaks the connection of HTTP/1.1.
    let io = incoming.io().filter(|_| !http2).cloned();
    let began = worker.shared.clock.now();
    let dialect = worker.shared.interface.dialect();
    let id = owner::request_id(dialect, incoming.headers()).to_string();
    let result = run(&worker, &mut incoming).await;
    note_call(&worker, &id, &result);
    let metrics = &worker.shared.metrics;
    let (routed, answer, tried) = match result {
        Ok(Done::Relayed(relayed)) => *relayed,
        Ok(Done::Whole(response)) => {
            in_flight.finish();
            count(&metrics.answered);
            return closing(&worker, response);
        }
        Err(refusal) => {
            in_flight.finish();
            match refusal.outcome {
                Outcome::NotRun => count(&metrics.not_run),
                Outcome::Unknown => count(&metrics.unknown),
            }
            return closing(&worker, refusal.response());
        }
    };
    count(&metrics.answered);
    let latency = worker.shared.clock.now().saturating_sub(began);
    metrics.answered_within(&routed.service, routed.class, latency);
    if routed.class == Class::Download && answer.stated.is_none() {
        let shared = Arc::clone(&worker.shared);
        let (status, headers) = (answer.status, answer.headers.clone());
        let source = resume::source(&worker, routed, answer, tried);
        return Relay::respond_with(&shared, status, &headers, source, io, in_flight, None);
    }
    let limit = routed.deadline.remaining(worker.shared.clock.now());
    Relay::respond(&worker.shared, answer, io, in_flight, Some(limit))
}

/// Notes that a call of a request that a server beside this node runs has failed: the request will
/// fail for it, which says nothing about that server.
fn note_call(worker: &Worker, id: &str, result: &Result<Done, Refusal>) {
    let Some(parent) = worker.shared.interface.dialect().parent(id) else { return };
    let failed = match result {
        Ok(Done::Relayed(relayed)) => failed(&relayed.1),
        Ok(Done::Whole(_)) => false,
        Err(_) => true,
    };
    if failed {
        worker.shared.note_failed_call(parent);
    }
}

/// Tells the caller of a stopping node to use another connection, which leads to another node.
fn closing(worker: &Worker, mut response: Response) -> Response {
    if worker.shared.stopping() {
        response.head_mut().set_connection_type(http::ConnectionType::Close);
    }
    response
}

/// How an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effort {
    /// Another attempt may follow.
    Ordinary,
    /// No other attempt follows.
    Last,
    /// No other attempt follows, and a suspect must take the request.
    Insist,
}

/// Sends `routed` to the best server that is not in `tried`, and adds that server to `tried`.
pub(crate) async fn attempt(
    worker: &Worker,
    routed: &Routed,
    tried: &mut Vec<ServerId>,
    effort: Effort,
) -> Result<Answer, Refusal> {
    let service = &routed.service;
    let chosen = services::choose(worker, service, routed.class, tried);
    let Some((choice, mut ongoing)) = chosen else {
        let error = format!("no server of {service} takes work");
        return Err(Refusal { elsewhere: false, ..Refusal::not_run(error) });
    };
    let server = choice.server;
    tried.push(server.clone());
    let remaining = routed.deadline.remaining(worker.shared.clock.now());
    // Leaves time for another server when this one or its connection is silent.
    let may_change = routed.class != Class::NonIdempotent && effort == Effort::Ordinary;
    let alternatives = may_change && services::has_other(worker, service, tried);
    let limit = if alternatives { remaining / 2 } else { remaining };
    let work = Work {
        service: service.clone(),
        server: server.clone(),
        incarnation: match &choice.place {
            Place::Local(server) => server.incarnation,
            Place::Remote { incarnation, .. } => *incarnation,
        },
        class: routed.class,
        trial: choice.trial,
        insist: effort == Effort::Insist,
        summary: choice.summary.map(|summary| (worker.source, summary)),
        deadline: routed.deadline,
        limit,
        fingerprint: routed.fingerprint,
        request: routed.request.clone(),
    };
    let began = worker.shared.clock.now();
    let result = match choice.place {
        Place::Local(local) => {
            let result = owner::dispatch(worker, work).await;
            services::report(worker, service, &server, &local.report());
            result
        }
        Place::Remote { owner, address, .. } => {
            forward_within(worker, work, (&owner, address), limit).await
        }
    };
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            // A server that refuses or fails quickly must not look idle for it. What did not run
            // is no failure, and would hide real ones from the comparison with peers.
            match refusal.choice {
                Choice::Stale | Choice::Suspect => {}
                Choice::Full | Choice::Shed => ongoing.refuse(),
                _ if refusal.outcome == Outcome::NotRun => {}
                _ => ongoing.note(worker.shared.clock.now().saturating_sub(began), false),
            }
            if matches!(refusal.choice, Choice::Stale | Choice::Shed | Choice::Suspect) {
                services::avoid(worker, service, &server);
            }
            return Err(refusal);
        }
    };
    ongoing.note(answer.took, !failed(&answer));
    answer.body.hold(ongoing);
    Ok(answer)
}

/// Forwards `work` to the owner of its server and gives up after `limit`.
async fn forward_within(
    worker: &Worker,
    work: Work,
    place: (&str, SocketAddr),
    limit: Duration,
) -> Result<Answer, Refusal> {
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

/// What to send to the caller.
enum Done {
    /// The response of a server, the request that it answers and the servers that were tried.
    Relayed(Box<(Routed, Answer, Vec<ServerId>)>),
    /// A response that is complete already.
    Whole(Response),
}

async fn run(worker: &Worker, incoming: &mut http::Request) -> Result<Done, Refusal> {
    let routed = route(worker, incoming).await?;
    let held = match keyed::begin(worker, &routed).await? {
        Begun::Replay(response) => return Ok(Done::Whole(response)),
        Begun::Held(held) => Some(held),
        Begun::Free => None,
    };
    let (result, tried) = run_routed(worker, &routed).await;
    let Some(held) = held else {
        return result.map(|answer| Done::Relayed(Box::new((routed, answer, tried))));
    };
    match held.finish(worker, result).await? {
        Finished::Whole(response) => Ok(Done::Whole(response)),
        Finished::Relayed(answer) => Ok(Done::Relayed(Box::new((routed, *answer, tried)))),
    }
}

async fn run_routed(worker: &Worker, routed: &Routed) -> (Result<Answer, Refusal>, Vec<ServerId>) {
    let id = resend_id(routed);
    let origin = worker.shared.failures().origin(id, worker.shared.clock.now());
    // A call belongs to a request that was counted; its repeats count like any others.
    let earn = |budget: &mut RetryBudget| {
        if !routed.is_call {
            budget.earn(origin);
        }
    };
    worker.services.borrow_mut().with_budget(&worker.shared, &routed.service, earn);
    let mut tried = Vec::new();
    // The servers that may have begun to run the request.
    let mut sent = 0;
    loop {
        let last = sent + 1 >= routed.attempts;
        let effort = if last { Effort::Last } else { Effort::Ordinary };
        let mut result = attempt(worker, routed, &mut tried, effort).await;
        if !turned_away(&result) {
            sent += 1;
        }
        let exhausted = tried.len() >= STALE_ATTEMPTS
            || !services::has_other(worker, &routed.service, &tried);
        if exhausted && is_suspect(&result) {
            result = attempt(worker, routed, &mut Vec::new(), Effort::Insist).await;
        }
        if !services::has_other(worker, &routed.service, &tried)
            || !may_retry(worker, routed, &result, sent, tried.len())
        {
            if result.as_ref().map_or(true, failed) {
                worker.shared.failures().record(id, worker.shared.clock.now());
            }
            return (result, tried);
        }
        let stale = matches!(&result, Err(refusal) if refusal.choice == Choice::Stale);
        let metrics = &worker.shared.metrics;
        count(if stale { &metrics.stale_retries } else { &metrics.retries });
    }
}

/// Returns what a caller's resend has in common with the first request: the caller, the service and
/// the idempotency key, or without one the request itself.
fn resend_id(routed: &Routed) -> u64 {
    let headers = &routed.request.headers;
    let caller = fields::text(headers, "x-forwarded-for").unwrap_or_default();
    let request = match fields::text(headers, header::IDEMPOTENCY_KEY) {
        Some(key) => key.to_string(),
        None => format!("{:016x}", routed.fingerprint),
    };
    hash::of_bytes(format!("{caller} {} {request}", routed.service).as_bytes())
}

/// Returns whether another server may run the request after `result`, and charges the budget.
fn may_retry(
    worker: &Worker,
    routed: &Routed,
    result: &Result<Answer, Refusal>,
    sent: usize,
    asked: usize,
) -> bool {
    let now = worker.shared.clock.now();
    if !routed.request.upload.replayable() || deadline::passed(routed.deadline, now) {
        return false;
    }
    let outcome = match result {
        Ok(answer) if failed(answer) => retry::Outcome::Failed,
        Ok(_) => return false,
        Err(refusal) if !refusal.elsewhere => return false,
        // What no server was asked adds no work; a planned drain or stop must not use up the budget
        // and then refuse requests.
        Err(_) if turned_away(result) => return asked < STALE_ATTEMPTS,
        Err(refusal) => match refusal.outcome {
            Outcome::NotRun => retry::Outcome::NotRun,
            Outcome::Unknown => retry::Outcome::Unknown,
        },
    };
    let attempt = retry::Attempt {
        class: routed.class,
        outcome,
        made: u32::try_from(sent).unwrap_or(u32::MAX),
        limit: u32::try_from(routed.attempts).unwrap_or(u32::MAX),
        response_started: false,
        deadline: routed.deadline,
    };
    let decide = |budget: &mut RetryBudget| retry::decide(&attempt, budget, now);
    let mut services = worker.services.borrow_mut();
    services.with_budget(&worker.shared, &routed.service, decide) == retry::Decision::Retry
}

/// Returns whether the owner refused a request before its server was asked.
fn turned_away(result: &Result<Answer, Refusal>) -> bool {
    let Err(refusal) = result else { return false };
    matches!(refusal.choice, Choice::Stale | Choice::Full | Choice::Suspect)
}

fn is_suspect(result: &Result<Answer, Refusal>) -> bool {
    result.as_ref().is_err_and(|refusal| refusal.choice == Choice::Suspect)
}

/// Returns whether a server says that it failed.
fn failed(answer: &Answer) -> bool {
    answer.status.is_server_error() || answer.status == StatusCode::TOO_MANY_REQUESTS
}

/// Returns the configuration in force, and waits for the first one of a node that has just started.
async fn configuration(
    worker: &Worker,
    headers: &HeaderMap,
    arrived: Time,
) -> Result<Arc<Configuration>, Refusal> {
    let field = worker.shared.interface.dialect().deadline_ms;
    let limit = deadline::read_from(field, headers, FIRST_CONFIGURATION, arrived);
    let limit = limit.remaining(arrived) / 2;
    let limit = limit.min(FIRST_CONFIGURATION);
    loop {
        let configuration = worker.shared.configuration();
        if !configuration.is_empty() {
            return Ok(configuration);
        }
        if worker.shared.clock.now().saturating_sub(arrived) >= limit {
            return Err(Refusal::not_run("this node has no configuration yet"));
        }
        sleep(LOOK).await;
    }
}

async fn route(worker: &Worker, incoming: &mut http::Request) -> Result<Routed, Refusal> {
    let now = worker.shared.clock.now();
    let configuration = configuration(worker, incoming.headers(), now).await?;
    let host = incoming.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| incoming.uri().authority().map(|authority| authority.as_str()));
    let host = host.map(str::to_string);
    let Some(rule) = configuration.route(host.as_deref(), incoming.path()) else {
        let remedy = "check host and path against the routes of the catalogue";
        return Err(Refusal::rejected(StatusCode::NOT_FOUND, "no service has this route", remedy));
    };
    // The deadline counts from the arrival of the request, before the wait for a configuration.
    let dialect = worker.shared.interface.dialect();
    let deadline =
        deadline::read_from(dialect.deadline_ms, incoming.headers(), rule.timeout, now);
    let deadline = match rule.limits {
        Some(_) => deadline,
        // An operator's timeout binds callers who would wait longer.
        None => Deadline::after(now, deadline.remaining(now).min(rule.timeout)),
    };
    let now = worker.shared.clock.now();
    if deadline::passed(deadline, now) {
        return Err(Refusal::not_run("the deadline passed before the request arrived"));
    }
    let caller = incoming.peer_addr().map(|caller| caller.ip());
    let service = worker.shares.borrow_mut().next(rule);
    if let Some(limits) = &rule.limits {
        let limiter = &worker.shared.limiter;
        limiter.take(&service, limits, &rule.prefix, caller, now).map_err(too_many)?;
    }
    let length = fields::length(incoming.headers());
    let payload = incoming.take_payload();
    let upload =
        intake::upload(rule.body_bytes, payload, length, deadline.remaining(now)).await?;
    let target = incoming.uri().path_and_query().map_or("/", |target| target.as_str());
    let mut headers = fields::end_to_end(incoming.headers());
    if !headers.contains_key(HOST) {
        fields::set(&mut headers, "host", host.as_deref().unwrap_or("localhost"));
    }
    // The caller's own statement of its address must not be trusted by servers.
    headers.remove(HeaderName::from_static("x-forwarded-for"));
    if let Some(caller) = caller {
        fields::set(&mut headers, "x-forwarded-for", &caller.to_string());
    }
    if let (Some(field), Some(service)) =
        (dialect.origin_service, &worker.shared.settings.origin_service)
    {
        fields::set(&mut headers, field, service);
    }
    let method = incoming.method().clone();
    let request = Request { method, target: target.to_string(), headers, upload };
    let fingerprint = keyed::fingerprint(&request);
    let (class, attempts) = (rule.class, rule.attempts);
    let is_call = dialect.parent(owner::request_id(dialect, &request.headers)).is_some();
    Ok(Routed { service, class, deadline, attempts, is_call, request, fingerprint })
}

fn too_many(wait: Duration) -> Refusal {
    let seconds = u32::try_from(wait.as_secs()).unwrap_or(u32::MAX).saturating_add(1);
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        retry_after: Some(seconds.min(60)),
        elsewhere: false,
        ..Refusal::not_run("the rate of the caller, the route or the service is exceeded")
    }
}

/// Returns whether a response to `method` may be continued from another server.
pub(crate) fn resumable(method: &Method) -> bool {
    owner::is_get(method)
}

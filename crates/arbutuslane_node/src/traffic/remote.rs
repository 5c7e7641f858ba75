//! Forwards a request from the entry to the owner of the selected server.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_wire::{header, load, operator};

use super::answer::ServerResponse;
use super::client::{
    Echo, ExchangeOptions, Failure, ReceivedResponse, Request, SilenceLimit, Upload,
};
use super::owner::{FORWARD, OFFER, Repeat, ServerRequest, count_connection, parse_limit};
use super::refusal::{Outcome, Refusal, RefusalCause};
use super::worker::Worker;
use super::workspace::Importance;
use super::{deadline, fields, services, status};

/// The size from which a body is offered before it is sent. A smaller one crosses a link of a few
/// megabits per second in some tens of milliseconds, which is not worth a second round trip.
const MIN_OFFERED_BYTES: u64 = 16 << 10;

/// The maximum size of a refusal in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Sends a request to the owner of its server.
pub(crate) async fn forward(
    worker: &Worker,
    server_request: ServerRequest,
    owner_address: (&str, SocketAddr),
) -> Result<ServerResponse, Refusal> {
    let (_, address) = owner_address;
    let mut server_request = server_request;
    if is_worth_offer(&server_request.request.upload) {
        server_request.is_offered = offer(worker, &server_request, owner_address).await?;
    }
    let method = server_request.request.method.clone();
    let target = format!("{FORWARD}{}", server_request.request.target);
    // A request that must not be repeated has a connection of its own, which outlasts a silence of
    // the owner's machine.
    let reuses = server_request.class.is_repeatable();
    let sent = send(worker, &server_request, target, reuses, address).await;
    let received = record_sent(worker, &server_request, owner_address, sent)
        .map_err(|failure| Refusal::from_failure(&failure))?;
    match fields::text(&received.headers, header::OUTCOME) {
        Some(header::OUTCOME_ANSWERED) => {
            let latency = fields::text(&received.headers, header::LATENCY_US);
            let latency = latency.and_then(|text| text.parse().ok()).unwrap_or_default();
            let latency = Duration::from_micros(latency);
            Ok(ServerResponse { latency, ..ServerResponse::new(received, &method, None) })
        }
        Some(header::OUTCOME_NOT_RUN) => Err(read_refusal(received, Outcome::NotRun).await),
        _ => Err(read_refusal(received, Outcome::Unknown).await),
    }
}

/// Returns whether a body is long enough to ask the owner first whether it would admit the request.
fn is_worth_offer(upload: &Upload) -> bool {
    let is_long = upload.length().is_none_or(|length| length >= MIN_OFFERED_BYTES);
    is_long && Mechanism::BodyOffers.is_on()
}

/// Offers a request to the owner of its server. Returns whether the owner accepted the offer; an
/// owner of an earlier release does not know offers.
///
/// # Errors
///
/// Returns the owner's refusal of the request, which has not run.
async fn offer(
    worker: &Worker,
    server_request: &ServerRequest,
    owner_address: (&str, SocketAddr),
) -> Result<bool, Refusal> {
    let mut head = server_request.clone();
    head.request.upload = Upload::Empty;
    let target = format!("{OFFER}{}", head.request.target);
    let sent = send(worker, &head, target, true, owner_address.1).await;
    // No server has received anything, whatever happened to the offer.
    let received = record_sent(worker, server_request, owner_address, sent)
        .map_err(|failure| Refusal::stale(failure.to_string()))?;
    if received.status == StatusCode::NO_CONTENT {
        return Ok(true);
    }
    match fields::text(&received.headers, header::OUTCOME) {
        Some(_) => Err(read_refusal(received, Outcome::NotRun).await),
        None => Ok(false),
    }
}

/// Records what an exchange with an owner says about the owner and about the load of the server.
fn record_sent(
    worker: &Worker,
    server_request: &ServerRequest,
    owner_address: (&str, SocketAddr),
    sent: Result<ReceivedResponse, Failure>,
) -> Result<ReceivedResponse, Failure> {
    let ServerRequest { service, server, .. } = server_request;
    let (owner, address) = owner_address;
    match &sent {
        Ok(received) => {
            let load = fields::text(&received.headers, header::LOAD).and_then(load::Report::parse);
            if let Some(report) = load {
                services::record_load(worker, service, server, &report);
                let limit = fields::text(&received.headers, header::LIMIT);
                services::record_limit(worker, service, server, limit.and_then(parse_limit));
            }
        }
        Err(failure) => {
            tracing::debug!(event = "forward-failed", server, %failure);
            worker.pool.purge(address);
            if !failure.sent() && !matches!(failure, Failure::Expired) {
                services::mark_owner_unreachable(worker, owner);
            }
        }
    }
    sent
}

/// Returns the request with the header fields for its owner.
fn to_owner(worker: &Worker, server_request: &ServerRequest, target: String) -> Request {
    let mut request = Request { target, ..server_request.request.clone() };
    let headers = &mut request.headers;
    fields::set(headers, header::FINGERPRINT, &server_request.identity.to_string());
    fields::set(headers, header::TOKEN, &worker.shared.token());
    fields::set(headers, header::SERVER, &server_request.server);
    fields::set(headers, header::INCARNATION, &server_request.incarnation.to_string());
    fields::set(headers, header::CLASS, server_request.class.name());
    if let Some((source, summary)) = &server_request.summary {
        fields::set(headers, header::BASELINE, &summary.encode());
        fields::set(headers, header::BASELINE_SOURCE, &format!("{source:016x}"));
    }
    let Importance { rank, workspace } = server_request.importance;
    fields::set(headers, header::RANK, &rank.to_string());
    if server_request.is_call {
        fields::set(headers, header::CALL, &format!("{workspace:016x}"));
    }
    for (name, is_set) in [
        (header::REPEATABLE, server_request.retryable),
        (header::MUST_ACCEPT, server_request.must_accept),
        (header::TRIAL, server_request.is_trial),
        (header::OFFERED, server_request.is_offered),
    ] {
        if is_set {
            fields::set(headers, name, "1");
        }
    }
    if let Some(limit) = server_request.known_limit {
        fields::set(headers, header::LIMIT, &limit.to_string());
    }
    match server_request.repeat {
        Repeat::First => {}
        Repeat::Retry => fields::set(headers, header::REPEATED, header::REPEATED_RETRY),
        Repeat::Consequence => {
            fields::set(headers, header::REPEATED, header::REPEATED_CONSEQUENCE);
        }
    }
    request
}

/// Sends a request to an owner, on a pooled connection if `keep_alive` is set. Uses a new connection
/// if the pooled one was closed before the first byte was sent.
async fn send(
    worker: &Worker,
    server_request: &ServerRequest,
    target: String,
    keep_alive: bool,
    address: SocketAddr,
) -> Result<ReceivedResponse, Failure> {
    let clock = &worker.shared.clock;
    let ServerRequest { due, deadline, .. } = *server_request;
    let request = to_owner(worker, server_request, target);
    let mut idle = if keep_alive { worker.pool.take(address) } else { None };
    loop {
        let wait = deadline.remaining(clock.now());
        let connection = match idle.take() {
            Some(connection) => connection,
            None => {
                let silence_limit = match server_request.class.is_repeatable() {
                    true => SilenceLimit::Short,
                    false => SilenceLimit::Deadline(wait),
                };
                worker.pool.connect_to_node(address, wait, silence_limit).await?
            }
        };
        if deadline::has_passed(deadline, clock.now()) {
            return Err(Failure::Expired);
        }
        let is_reused = connection.is_reused();
        count_connection(worker, &connection);
        let wait = deadline.remaining(clock.now());
        let mut request = request.clone();
        let now = clock.now();
        fields::set(&mut request.headers, header::DEADLINE_MS, &deadline::encode(deadline, now));
        let due_ms = due.saturating_sub(now).as_millis().to_string();
        fields::set(&mut request.headers, header::DUE_MS, &due_ms);
        let result = connection
            .exchange(request, ExchangeOptions::with_peer(Echo::Required, keep_alive, wait))
            .await;
        match result {
            Err(Failure::ClosedUnused) if is_reused => {}
            result => return result,
        }
    }
}

/// Returns the refusal that a response of an owner contains.
async fn read_refusal(received: ReceivedResponse, outcome: Outcome) -> Refusal {
    let status = received.status;
    let refused_status = status::of_error(status, StatusCode::SERVICE_UNAVAILABLE);
    let cause = match fields::text(&received.headers, header::REFUSAL) {
        Some(header::REFUSAL_STALE) => RefusalCause::Stale,
        Some(header::REFUSAL_SHED) => RefusalCause::Shed,
        Some(header::REFUSAL_REPEAT_LIMIT) => RefusalCause::RepeatLimit,
        Some(header::REFUSAL_FULL) => RefusalCause::Full,
        Some(header::REFUSAL_LIMITED) => RefusalCause::Limited,
        Some(header::REFUSAL_SUSPECT) => RefusalCause::Suspect,
        Some(header::REFUSAL_TRIAL) => RefusalCause::Trial,
        Some(header::REFUSAL_FINAL) => RefusalCause::Final,
        _ => RefusalCause::Sound,
    };
    let try_other_server = cause != RefusalCause::Final;
    let wait = fields::text(&received.headers, header::WAIT_MS);
    let wait = wait.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let retry_after = fields::text(&received.headers, "retry-after");
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    let body = received.body.collect(MAX_REFUSAL_BYTES).await.unwrap_or_default();
    let error = match serde_json::from_slice::<operator::Refusal>(&body) {
        Ok(refusal) => refusal.error,
        Err(_) => format!("the owner responded with status {status}"),
    };
    match outcome {
        Outcome::NotRun => {
            let refusal = Refusal { cause, try_other_server, wait, ..Refusal::not_run(error) };
            Refusal { status: refused_status, retry_after, ..refusal }
        }
        // A response without the outcome header field does not prove that the request was answered.
        Outcome::Unknown if status.is_success() => Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "the response of the owner has no outcome header field",
        ),
        Outcome::Unknown => {
            Refusal { retry_after, cause, try_other_server, ..Refusal::unknown(status, error) }
        }
    }
}

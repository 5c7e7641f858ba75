//! Forwards a request from the entry to the owner of the selected server.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_wire::{header, load, operator};

use super::answer::ServerResponse;
use super::client::{Echo, ExchangeOptions, Failure, ReceivedResponse};
use super::owner::{FORWARD, ServerRequest, count_connection};
use super::refusal::{Outcome, Refusal, RefusalCause};
use super::worker::Worker;
use super::{deadline, fields, services};

/// The connect timeout for an owner: several round trips between regions. Another owner is tried
/// after it, which is faster than waiting for the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum size of a refusal in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Sends a request to the owner of its server.
pub(crate) async fn forward(
    worker: &Worker,
    server_request: ServerRequest,
    owner_address: (&str, SocketAddr),
) -> Result<ServerResponse, Refusal> {
    let (owner, address) = owner_address;
    let (service, server) = (server_request.service.clone(), server_request.server.clone());
    let method = server_request.request.method.clone();
    let received = match send(worker, server_request, address).await {
        Ok(received) => received,
        Err(failure) => {
            tracing::debug!(event = "forward-failed", server, %failure);
            worker.pool.purge(address);
            if !failure.sent() {
                services::mark_owner_unreachable(worker, owner);
            }
            return Err(Refusal::from_failure(&failure));
        }
    };
    let load = fields::text(&received.headers, header::LOAD).and_then(load::Report::parse);
    if let Some(report) = load {
        services::record_load(worker, &service, &server, &report);
    }
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

/// Sends a request with the header fields for its owner. Uses a new connection if the pooled one
/// was closed before the first byte was sent.
async fn send(
    worker: &Worker,
    server_request: ServerRequest,
    address: SocketAddr,
) -> Result<ReceivedResponse, Failure> {
    let clock = &worker.shared.clock;
    let ServerRequest {
        server,
        incarnation,
        class,
        rank,
        due,
        deadline,
        mut request,
        is_trial,
        summary,
        retryable,
        must_accept,
        ..
    } = server_request;
    let fingerprint = format!("{:016x}", server_request.fingerprint);
    fields::set(&mut request.headers, header::FINGERPRINT, &fingerprint);
    request.target = format!("{FORWARD}{}", request.target);
    let class_name = match class {
        Class::Idempotent => "idempotent",
        Class::NonIdempotent => "non-idempotent",
        Class::Download => "download",
    };
    fields::set(&mut request.headers, header::TOKEN, &worker.shared.token());
    fields::set(&mut request.headers, header::SERVER, &server);
    fields::set(&mut request.headers, header::INCARNATION, &incarnation.to_string());
    fields::set(&mut request.headers, header::CLASS, class_name);
    if let Some((source, summary)) = summary {
        fields::set(&mut request.headers, header::BASELINE, &summary.encode());
        fields::set(&mut request.headers, header::BASELINE_SOURCE, &format!("{source:016x}"));
    }
    fields::set(&mut request.headers, header::RANK, &rank.to_string());
    if retryable {
        fields::set(&mut request.headers, header::REPEATABLE, "1");
    }
    if must_accept {
        fields::set(&mut request.headers, header::MUST_ACCEPT, "1");
    }
    if is_trial {
        fields::set(&mut request.headers, header::TRIAL, "1");
    }
    let keep_alive = class != Class::NonIdempotent;
    let mut idle = if keep_alive { worker.pool.take(address) } else { None };
    loop {
        let wait = deadline.remaining(clock.now());
        let connection = match idle.take() {
            Some(connection) => connection,
            None => worker.pool.connect(address, wait.min(CONNECT_TIMEOUT)).await?,
        };
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
    let cause = match fields::text(&received.headers, header::REFUSAL) {
        Some(header::REFUSAL_STALE) => RefusalCause::Stale,
        Some(header::REFUSAL_SHED) => RefusalCause::Shed,
        Some(header::REFUSAL_FULL) => RefusalCause::Full,
        Some(header::REFUSAL_SUSPECT) => RefusalCause::Suspect,
        Some(header::REFUSAL_FINAL) => RefusalCause::Final,
        _ => RefusalCause::Sound,
    };
    let try_other_server = cause != RefusalCause::Final;
    let retry_after = fields::text(&received.headers, "retry-after");
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    let body = received.body.collect(MAX_REFUSAL_BYTES).await.unwrap_or_default();
    let error = match serde_json::from_slice::<operator::Refusal>(&body) {
        Ok(refusal) => refusal.error,
        Err(_) => format!("the owner responded with status {status}"),
    };
    match outcome {
        Outcome::NotRun => {
            Refusal { status, retry_after, cause, try_other_server, ..Refusal::not_run(error) }
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

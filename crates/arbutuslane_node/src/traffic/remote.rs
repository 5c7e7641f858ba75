//! Forwards a request from the entry to the owner of the selected server.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::StatusCode;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_wire::{header, load, operator};

use super::answer::Answer;
use super::client::{Echo, Failure, Reply, Terms};
use super::owner::{FORWARD, Work, count_connection};
use super::refusal::{Choice, Outcome, Refusal};
use super::worker::Worker;
use super::{deadline, fields, services};

/// The connect timeout for an owner: several round trips between regions. Another owner is tried
/// after it, which is faster than waiting for the retransmission of a lost packet.
const CONNECT: Duration = Duration::from_millis(250);

/// The maximum size of a refusal in bytes.
const REFUSAL_BYTES: usize = 16 << 10;

/// Sends a request to the owner of its server.
pub(crate) async fn forward(
    worker: &Worker,
    work: Work,
    place: (&str, SocketAddr),
) -> Result<Answer, Refusal> {
    let (owner, address) = place;
    let (service, server) = (work.service.clone(), work.server.clone());
    let method = work.request.method.clone();
    let reply = match send(worker, work, address).await {
        Ok(reply) => reply,
        Err(failure) => {
            tracing::debug!(event = "forward-failed", server, %failure);
            worker.pool.purge(address);
            if !failure.sent() {
                services::unreachable(worker, owner);
            }
            return Err(Refusal::from_failure(&failure));
        }
    };
    let load = fields::text(&reply.headers, header::LOAD).and_then(load::Report::parse);
    if let Some(report) = load {
        services::report(worker, &service, &server, &report);
    }
    match fields::text(&reply.headers, header::OUTCOME) {
        Some(header::OUTCOME_ANSWERED) => {
            let took = fields::text(&reply.headers, header::TOOK_US);
            let took = took.and_then(|text| text.parse().ok()).unwrap_or_default();
            let took = Duration::from_micros(took);
            Ok(Answer { took, ..Answer::new(reply, &method, None) })
        }
        Some(header::OUTCOME_NOT_RUN) => Err(refusal(reply, Outcome::NotRun).await),
        _ => Err(refusal(reply, Outcome::Unknown).await),
    }
}

async fn send(worker: &Worker, work: Work, address: SocketAddr) -> Result<Reply, Failure> {
    let clock = &worker.shared.clock;
    let Work {
        server,
        incarnation,
        class,
        rank,
        due,
        deadline,
        mut request,
        trial,
        summary,
        repeatable,
        insist,
        ..
    } = work;
    let fingerprint = format!("{:016x}", work.fingerprint);
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
    if repeatable {
        fields::set(&mut request.headers, header::REPEATABLE, "1");
    }
    if insist {
        fields::set(&mut request.headers, header::INSIST, "1");
    }
    if trial {
        fields::set(&mut request.headers, header::TRIAL, "1");
    }
    let keep = class != Class::NonIdempotent;
    let mut idle = if keep { worker.pool.take(address) } else { None };
    loop {
        let wait = deadline.remaining(clock.now());
        let connection = match idle.take() {
            Some(connection) => connection,
            None => worker.pool.connect(address, wait.min(CONNECT)).await?,
        };
        let reused = connection.reused();
        count_connection(worker, &connection);
        let wait = deadline.remaining(clock.now());
        let mut request = request.clone();
        let now = clock.now();
        fields::set(&mut request.headers, header::DEADLINE_MS, &deadline::encode(deadline, now));
        let due_ms = due.saturating_sub(now).as_millis().to_string();
        fields::set(&mut request.headers, header::DUE_MS, &due_ms);
        let result =
            connection.exchange(request, Terms::with_peer(Echo::Required, keep, wait)).await;
        match result {
            Err(Failure::ClosedUnused) if reused => {}
            result => return result,
        }
    }
}

async fn refusal(reply: Reply, outcome: Outcome) -> Refusal {
    let status = reply.status;
    let choice = match fields::text(&reply.headers, header::REFUSAL) {
        Some(header::REFUSAL_STALE) => Choice::Stale,
        Some(header::REFUSAL_SHED) => Choice::Shed,
        Some(header::REFUSAL_FULL) => Choice::Full,
        Some(header::REFUSAL_SUSPECT) => Choice::Suspect,
        Some(header::REFUSAL_FINAL) => Choice::Final,
        _ => Choice::Sound,
    };
    let elsewhere = choice != Choice::Final;
    let retry_after = fields::text(&reply.headers, "retry-after");
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    let body = reply.body.collect(REFUSAL_BYTES).await.unwrap_or_default();
    let error = match serde_json::from_slice::<operator::Refusal>(&body) {
        Ok(refusal) => refusal.error,
        Err(_) => format!("the owner responded with status {status}"),
    };
    match outcome {
        Outcome::NotRun => {
            Refusal { status, retry_after, choice, elsewhere, ..Refusal::not_run(error) }
        }
        // A response without the outcome header field does not prove that the request was answered.
        Outcome::Unknown if status.is_success() => {
            Refusal::unknown(StatusCode::BAD_GATEWAY, "the owner stated no outcome")
        }
        Outcome::Unknown => {
            Refusal { retry_after, choice, elsewhere, ..Refusal::unknown(status, error) }
        }
    }
}

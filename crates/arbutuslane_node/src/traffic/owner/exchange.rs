//! Sends a request to its backend server and interprets refusals.

use std::time::Duration;

use ntex::http::{HeaderMap, StatusCode};

use arbutuslane_core::time::Time;
use arbutuslane_wire::dialect::{Dialect, ResponseMatching};

use super::ServerRequest;
use crate::announce::Server;
use crate::metrics::count;
use crate::traffic::client::{
    Connection, Echo, ExchangeOptions, Failure, ReceivedResponse, Request,
};
use crate::traffic::refusal::{Outcome, Refusal, RefusalCause};
use crate::traffic::worker::{Worker, new_exchange_id};
use crate::traffic::{deadline, fields};

/// The connect timeout for a backend server; a connection usually takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request to its server on a pooled or a new connection, as its class allows.
pub(super) async fn send(
    worker: &Worker,
    server: &Server,
    server_request: &ServerRequest,
) -> Result<ReceivedResponse, Failure> {
    let clock = &worker.shared.clock;
    let dialect = worker.shared.interface.dialect();
    let always_echoes = matches!(dialect.response_matching, ResponseMatching::EndToEnd(_));
    let max_idle = server.max_idle(server_request.class, clock.now());
    let id = exchange_id(dialect, &server_request.request.headers);
    let mut idle = max_idle
        .filter(|_| always_echoes || server.echoes_ids())
        .and_then(|max_idle| worker.pool.take_recent(server.address, max_idle, &id.1));
    loop {
        let limit = server_request.deadline.remaining(clock.now());
        let connection = match idle.take() {
            Some(connection) => connection,
            None => connect(worker, server, limit.min(CONNECT_TIMEOUT)).await?,
        };
        // Checked after the last wait, so that no request is dispatched after the lease or the
        // deadline has expired. Claims of a request outlast its deadline.
        if !server.is_open(clock.now()) {
            return Err(Failure::Left);
        }
        if deadline::has_passed(server_request.deadline, clock.now()) {
            return Err(Failure::Expired);
        }
        let limit = server_request.deadline.remaining(clock.now());
        let idle_time = connection.idle();
        count_connection(worker, &connection);
        let echoes_ids = always_echoes || server.echoes_ids();
        let options = ExchangeOptions {
            id: id.clone(),
            is_id_of_caller: always_echoes,
            echo: if echoes_ids { Echo::Required } else { Echo::Unknown },
            keep_alive: true,
            allows_close_delimited: dialect.allows_close_delimited,
            limit,
        };
        let request = request_for(dialect, server_request, clock.now());
        let result = connection.exchange(request, options).await;
        match result {
            Err(Failure::ClosedUnused) if idle_time.is_some() => {}
            Err(failure) => {
                server.record_failure(idle_time, &failure, clock.now());
                worker.pool.purge(server.address);
                return Err(failure);
            }
            Ok(received) => {
                if let Some(idle_time) = idle_time {
                    server.record_reuse(idle_time, clock.now());
                }
                count(&worker.shared.metrics.dispatched);
                return Ok(received);
            }
        }
    }
}

/// Returns the request with the header fields that `dialect` requires.
fn request_for(dialect: &Dialect, server_request: &ServerRequest, now: Time) -> Request {
    let mut request = server_request.request.clone();
    fields::set(
        &mut request.headers,
        dialect.deadline_ms,
        &deadline::encode(server_request.deadline, now),
    );
    if let Some(field) = dialect.expected_server {
        fields::set(&mut request.headers, field, &server_request.server);
    }
    request
}

/// Returns the header field and value by which the server's response is matched to the request.
fn exchange_id(dialect: &Dialect, headers: &HeaderMap) -> (&'static str, String) {
    match dialect.response_matching {
        ResponseMatching::PerHop(field) => (field, format!("{:032x}", new_exchange_id())),
        ResponseMatching::EndToEnd(field) => {
            (field, fields::text(headers, field).unwrap_or_default().to_string())
        }
    }
}

/// Opens a connection to a server. A refused connection shows that the server process is gone.
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
    match connection.is_reused() {
        true => count(&metrics.connections_reused),
        false => count(&metrics.connections_opened),
    }
}

/// Returns the refusal if the server states that it did not run the request, and `None` otherwise.
///
/// The status 503 alone is no proof: a server may return it after it has started to run the
/// request.
pub(super) fn shed_refusal(
    dialect: &Dialect,
    headers: &HeaderMap,
    status: StatusCode,
) -> Option<Refusal> {
    let stated = dialect.not_run.is_made_by(fields::text(headers, dialect.not_run.name));
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected && dialect.expected_server.is_some() {
        return Some(Refusal::stale("another server has this address"));
    }
    let has_refusal_status =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if !has_refusal_status || !stated {
        return None;
    }
    let retry_after = fields::text(headers, "retry-after").and_then(|text| text.parse().ok());
    Some(Refusal {
        outcome: Outcome::NotRun,
        status,
        retry_after: retry_after.or(Some(1)),
        cause: RefusalCause::Shed,
        ..Refusal::not_run("the server refused the request and did not run it")
    })
}

/// Returns whether `status` tells callers of some dialects that the request did not run.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

#[cfg(test)]
mod tests;

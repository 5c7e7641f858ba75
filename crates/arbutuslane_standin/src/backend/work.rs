//! Handles work requests: waits for a slot, runs for the service time and responds, or fails as the
//! faults specify.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::channel::oneshot;
use ntex::http::{Request, Response, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::BytesMut;
use serde::Serialize;
// The timers of ntex have a resolution of 16 ms, which is close to the median service time.
use tokio::time::sleep;

use arbutuslane_core::hash;
use arbutuslane_wire::header;

use crate::{content, record};

use super::state::{QueuePosition, Slot, State};
use super::{Cut, Faults, download};

/// How often a waiting request checks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How long a response waits for another one with which it is swapped.
const SWAP_TIMEOUT: Duration = Duration::from_millis(500);

/// The response body, which describes the request so that the caller can check it.
#[derive(Debug, Clone, Serialize)]
struct WorkResult {
    server: String,
    request: String,
    path: String,
    body_bytes: usize,
    body_hash: String,
}

/// The parts of a response that the fault `swap` exchanges between two requests.
#[derive(Debug, Clone)]
struct Swappable {
    work_result: WorkResult,
    exchange: Option<String>,
}

/// The response that waits for another one with which it is swapped, if there is one.
#[derive(Debug, Default)]
pub(super) struct ResponseSwap(RefCell<Option<(Swappable, oneshot::Sender<Swappable>)>>);

/// Runs the work of `request` and returns its response.
pub(super) async fn handle(
    state: &State,
    swap: &Rc<ResponseSwap>,
    mut request: Request,
) -> Response {
    let faults = state.faults();
    let (arrived, arrived_ms) = (Instant::now(), record::wall_ms());
    if faults.silent {
        return std::future::pending().await;
    }
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.recv().await {
        // An incomplete request must not run.
        let Ok(chunk) = chunk else { return Response::new(StatusCode::BAD_REQUEST) };
        body.extend_from_slice(&chunk);
    }
    let deadline = field(&request, header::DEADLINE_MS).and_then(|text| text.parse().ok());
    let deadline = deadline.map(|ms| arrived + Duration::from_millis(ms));
    let Some(queued) = state.enqueue() else { return not_run("no slot and no place in the queue") };
    let Some(_slot) = await_slot(queued, deadline).await else { return not_run("deadline passed") };
    let key = field(&request, header::IDEMPOTENCY_KEY);
    state.count_run(arrived_ms, field(&request, content::REQUEST_HEADER), key);
    if faults.crash_on_mark && request.headers().contains_key(content::CRASH_HEADER) {
        tracing::warn!(event = "crash-on-request");
        std::process::exit(3);
    }
    let service_time = state.draw_service_time();
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    if deadline.is_some_and(|deadline| Instant::now() > deadline) && faults.late_ms == 0 {
        return Response::new(StatusCode::GATEWAY_TIMEOUT);
    }
    if faults.late_ms > 0 {
        sleep(Duration::from_millis(faults.late_ms)).await;
    }
    if state.draw_failure() {
        return with_exchange_id(
            Response::new(StatusCode::INTERNAL_SERVER_ERROR),
            &faults,
            &request,
        );
    }
    if let Some(rest) = request.path().strip_prefix("/download/") {
        let response = download::handle(&request, rest, faults.cut);
        return with_exchange_id(response, &faults, &request);
    }
    let work_result = WorkResult {
        server: state.settings.server.clone(),
        request: field(&request, content::REQUEST_HEADER).unwrap_or_default().to_string(),
        path: request.path().to_string(),
        body_bytes: body.len(),
        body_hash: format!("{:016x}", hash::of_bytes(&body)),
    };
    let mut swappable =
        Swappable { work_result, exchange: field(&request, header::EXCHANGE).map(Into::into) };
    if faults.swap {
        swappable = swap.exchange(swappable).await;
    }
    build_response(&faults, &request, &swappable)
}

/// Returns the value of a header field, if it is text.
pub(super) fn field<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

impl ResponseSwap {
    /// Exchanges `swappable` with that of a concurrent request; returns it unchanged when none
    /// arrives within `SWAP_TIMEOUT`.
    async fn exchange(&self, swappable: Swappable) -> Swappable {
        let waiting = self.0.borrow_mut().take();
        if let Some((other, sender)) = waiting {
            let _ = sender.send(swappable);
            return other;
        }
        let (sender, receiver) = oneshot::channel();
        *self.0.borrow_mut() = Some((swappable.clone(), sender));
        match timeout_checked(SWAP_TIMEOUT, receiver).await {
            Ok(Ok(other)) => other,
            _ => swappable,
        }
    }
}

/// Waits in the queue for a slot; returns `None` when `deadline` passes before.
async fn await_slot(mut queued: QueuePosition<'_>, deadline: Option<Instant>) -> Option<Slot<'_>> {
    loop {
        queued = match queued.take_slot() {
            Ok(slot) => return Some(slot),
            Err(queued) => queued,
        };
        if deadline.is_some_and(|deadline| Instant::now() > deadline) {
            return None;
        }
        sleep(SLOT_POLL_INTERVAL).await;
    }
}

/// Returns a response which states that the request did not run.
fn not_run(reason: &'static str) -> Response {
    let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    builder.header(header::OUTCOME, header::OUTCOME_NOT_RUN).header("retry-after", "1");
    builder.body(reason)
}

/// Copies the exchange id of `request` to `response`, unless the fault `no_echo` is on.
fn with_exchange_id(mut response: Response, faults: &Faults, request: &Request) -> Response {
    if faults.no_echo {
        return response;
    }
    let Some(exchange) = request.headers().get(header::EXCHANGE) else { return response };
    let name = ntex::http::header::HeaderName::from_static(header::EXCHANGE);
    response.headers_mut().insert(name, exchange.clone());
    response
}

/// Builds the response to completed work, or writes a faulty one to the connection.
fn build_response(faults: &Faults, request: &Request, swappable: &Swappable) -> Response {
    let text = serde_json::to_string(&swappable.work_result).unwrap_or_default();
    let exchange = swappable.exchange.clone().filter(|_| !faults.no_echo);
    let echo = exchange.map(|id| format!("{}: {id}\r\n", header::EXCHANGE)).unwrap_or_default();
    let io = request.io();
    if faults.twice
        && let Some(io) = io
    {
        let _ = io.encode_slice(raw_response(&text, &echo, text.len()).as_bytes());
    }
    if faults.cut != Cut::None
        && let Some(io) = io
    {
        let half = &text[..text.len() / 2];
        let bytes = match faults.cut {
            Cut::Clean => format!(
                "HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n{:x}\r\n{half}\r\n",
                half.len()
            ),
            Cut::Length | Cut::None => raw_response(half, &echo, text.len()),
        };
        let _ = io.encode_slice(bytes.as_bytes());
        io.close();
        return Response::new(StatusCode::OK);
    }
    let mut builder = Response::build(StatusCode::OK);
    builder
        .content_type("application/json")
        .header(content::REQUEST_HEADER, &*swappable.work_result.request);
    if let Some(exchange) = swappable.exchange.as_ref().filter(|_| !faults.no_echo) {
        builder.header(header::EXCHANGE, &**exchange);
    }
    builder.body(text)
}

/// Returns a response as bytes on the wire; `length` is the content length that it states.
fn raw_response(body: &str, echo: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{body}")
}

//! Work: takes a slot, runs for a while and answers, or misbehaves as the faults say.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::channel::oneshot;
use ntex::http::{Request, Response, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::BytesMut;
use serde::Serialize;
// The library's timers count in steps of 16 ms, which is near the median service time.
use tokio::time::sleep;

use arbutuslane_core::hash;
use arbutuslane_wire::header;

use crate::{content, record};

use super::state::{Place, Slot, State};
use super::{Cut, Faults, download};

/// How often a waiting request looks for a free slot.
const LOOK: Duration = Duration::from_millis(1);

/// How long a response waits for another one to be swapped with.
const SWAP_WAIT: Duration = Duration::from_millis(500);

/// What a response says about its request.
#[derive(Debug, Clone, Serialize)]
struct Done {
    server: String,
    request: String,
    path: String,
    body_bytes: usize,
    body_hash: String,
}

/// The parts of a response that two requests can be swapped by.
#[derive(Debug, Clone)]
struct Marked {
    done: Done,
    exchange: Option<String>,
}

/// A response that waits for another one to be swapped with.
#[derive(Debug, Default)]
pub(super) struct Swap(RefCell<Option<(Marked, oneshot::Sender<Marked>)>>);

/// Runs the work of `request` and answers it.
pub(super) async fn answer(state: &State, swap: &Rc<Swap>, mut request: Request) -> Response {
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
    let Some(place) = state.enter() else { return not_run("no slot and no place in the queue") };
    let Some(_slot) = wait(place, deadline).await else { return not_run("deadline passed") };
    let key = field(&request, header::IDEMPOTENCY_KEY);
    state.count_run(arrived_ms, field(&request, content::REQUEST), key);
    if faults.crash_on_mark && request.headers().contains_key(content::CRASH) {
        tracing::warn!(event = "crash-on-request");
        std::process::exit(3);
    }
    let service_time = state.service_time();
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    if deadline.is_some_and(|deadline| Instant::now() > deadline) && faults.late_ms == 0 {
        return Response::new(StatusCode::GATEWAY_TIMEOUT);
    }
    if faults.late_ms > 0 {
        sleep(Duration::from_millis(faults.late_ms)).await;
    }
    if state.fails() {
        return with_exchange(Response::new(StatusCode::INTERNAL_SERVER_ERROR), &faults, &request);
    }
    if let Some(rest) = request.path().strip_prefix("/download/") {
        let response = download::answer(&request, rest, faults.cut);
        return with_exchange(response, &faults, &request);
    }
    let done = Done {
        server: state.settings.server.clone(),
        request: field(&request, content::REQUEST).unwrap_or_default().to_string(),
        path: request.path().to_string(),
        body_bytes: body.len(),
        body_hash: format!("{:016x}", hash::of_bytes(&body)),
    };
    let mut marked = Marked { done, exchange: field(&request, header::EXCHANGE).map(Into::into) };
    if faults.swap {
        marked = swap.exchange(marked).await;
    }
    respond(&faults, &request, &marked)
}

/// Returns the text of a header field.
pub(super) fn field<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

impl Swap {
    async fn exchange(&self, marked: Marked) -> Marked {
        let waiting = self.0.borrow_mut().take();
        if let Some((other, sender)) = waiting {
            let _ = sender.send(marked);
            return other;
        }
        let (sender, receiver) = oneshot::channel();
        *self.0.borrow_mut() = Some((marked.clone(), sender));
        match timeout_checked(SWAP_WAIT, receiver).await {
            Ok(Ok(other)) => other,
            _ => marked,
        }
    }
}

async fn wait(mut place: Place<'_>, deadline: Option<Instant>) -> Option<Slot<'_>> {
    loop {
        place = match place.advance() {
            Ok(slot) => return Some(slot),
            Err(place) => place,
        };
        if deadline.is_some_and(|deadline| Instant::now() > deadline) {
            return None;
        }
        sleep(LOOK).await;
    }
}

fn not_run(reason: &'static str) -> Response {
    let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    builder.header(header::OUTCOME, header::OUTCOME_NOT_RUN).header("retry-after", "1");
    builder.body(reason)
}

fn with_exchange(mut response: Response, faults: &Faults, request: &Request) -> Response {
    if faults.no_echo {
        return response;
    }
    let Some(exchange) = request.headers().get(header::EXCHANGE) else { return response };
    let name = ntex::http::header::HeaderName::from_static(header::EXCHANGE);
    response.headers_mut().insert(name, exchange.clone());
    response
}

fn respond(faults: &Faults, request: &Request, marked: &Marked) -> Response {
    let text = serde_json::to_string(&marked.done).unwrap_or_default();
    let exchange = marked.exchange.clone().filter(|_| !faults.no_echo);
    let echo = exchange.map(|id| format!("{}: {id}\r\n", header::EXCHANGE)).unwrap_or_default();
    let io = request.io();
    if faults.twice
        && let Some(io) = io
    {
        let _ = io.encode_slice(raw(&text, &echo, text.len()).as_bytes());
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
            Cut::Length | Cut::None => raw(half, &echo, text.len()),
        };
        let _ = io.encode_slice(bytes.as_bytes());
        io.close();
        return Response::new(StatusCode::OK);
    }
    let mut builder = Response::build(StatusCode::OK);
    builder.content_type("application/json").header(content::REQUEST, &*marked.done.request);
    if let Some(exchange) = marked.exchange.as_ref().filter(|_| !faults.no_echo) {
        builder.header(header::EXCHANGE, &**exchange);
    }
    builder.body(text)
}

fn raw(body: &str, echo: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{body}")
}

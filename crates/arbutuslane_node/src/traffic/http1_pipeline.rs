//! Runs pipelined requests concurrently.
//!
//! The server library delivers the next request of a connection only after the response to the
//! previous one was sent, so a caller that pipelines would wait for the sum of all its requests.
//! While a request runs, this module parses the bytes that have arrived after it and starts the
//! requests in them. The library delivers each of them later, in order, and receives the response
//! that is ready by then. Only requests without a body that may run twice are started early,
//! because a caller resends the requests that follow a closed connection.
//!
//! The library leaves the bytes of a body in the same buffer until the request takes them. Nothing is
//! parsed before the whole body of the running request was taken, so that no part of it counts as
//! a request. A body that breaks off or is left unread has no end, and the library closes its
//! connection.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::error::PayloadError;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{self, HeaderMap, Method, Payload, Response, Uri, Version};
use ntex::io::IoRef;
use ntex::time::sleep;
use ntex::util::{Bytes, Stream};

use arbutuslane_listen::connections::{Connections, Request as CountedRequest};

use super::entry;
use super::intake;
use super::route::IncomingRequest;
use super::worker::Worker;

/// How often the bytes that follow a running request are checked.
const BUFFER_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of requests of one connection that are started early.
const MAX_EARLY_REQUESTS: usize = 16;

/// The maximum number of header fields in a request that is started early.
const MAX_HEADER_FIELDS: usize = 64;

/// The requests that were started early, by connection, while the library is between two requests.
#[derive(Debug, Default)]
pub(crate) struct PipelinedRequests {
    by_connection: Vec<(IoRef, VecDeque<PipelinedRequest>)>,
}

/// A request that was started early.
struct PipelinedRequest {
    target: String,
    headers: HeaderMap,
    response: PendingResponse,
}

enum PendingResponse {
    Running(Pin<Box<dyn Future<Output = Response>>>),
    Ready(Response),
}

impl std::fmt::Debug for PipelinedRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PipelinedRequest")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl PipelinedRequests {
    /// Removes and returns the requests that were started early on the connection `io`.
    fn take(&mut self, io: &IoRef) -> VecDeque<PipelinedRequest> {
        let index = self.by_connection.iter().position(|(known, _)| known == io);
        index.map_or_else(VecDeque::new, |index| self.by_connection.swap_remove(index).1)
    }

    /// Stores the requests that were started early on the connection `io`.
    fn put(&mut self, io: IoRef, started: VecDeque<PipelinedRequest>) {
        if !started.is_empty() {
            self.by_connection.push((io, started));
        }
    }

    /// Cancels the requests of connections that were closed between two requests.
    pub(crate) fn expire(&mut self) {
        self.by_connection.retain(|(io, _)| !io.is_closed());
    }
}

impl PipelinedRequest {
    /// Returns whether `request` is the request that was started early.
    fn matches(&self, request: &http::Request) -> bool {
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let has_same_count = self.headers.len() == request.headers().len();
        has_same_count
            && *request.method() == Method::GET
            && self.target == target
            && self
                .headers
                .iter()
                .all(|(name, value)| request.headers().get_all(name).any(|other| other == value))
    }

    /// Polls the request, and stores its response when it is ready.
    fn poll(&mut self, cx: &mut Context<'_>) {
        if let PendingResponse::Running(running) = &mut self.response
            && let Poll::Ready(response) = running.as_mut().poll(cx)
        {
            self.response = PendingResponse::Ready(response);
        }
    }
}

/// Whether the library has taken the whole body of a request from the read buffer.
#[derive(Debug, Clone)]
struct BodyEnd(Rc<Cell<bool>>);

impl BodyEnd {
    /// Returns the end of a request without a body.
    fn reached() -> Self {
        Self(Rc::new(Cell::new(true)))
    }

    fn is_reached(&self) -> bool {
        self.0.get()
    }
}

/// The body of a request, which records when it has been read to its end.
struct TrackedBody {
    payload: Payload,
    end: BodyEnd,
}

impl TrackedBody {
    /// Replaces `payload` by a body that records its end.
    fn track(payload: &mut Payload) -> BodyEnd {
        if matches!(payload, Payload::None) {
            return BodyEnd::reached();
        }
        let end = BodyEnd(Rc::new(Cell::new(false)));
        *payload = Payload::from_stream(Self { payload: payload.take(), end: end.clone() });
        end
    }
}

impl Stream for TrackedBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let body = self.get_mut();
        let next = ready!(body.payload.poll_recv(cx));
        if next.is_none() {
            body.end.0.set(true);
        }
        Poll::Ready(next)
    }
}

/// Responds to a caller's request, and starts the requests that are pipelined after it.
pub(crate) async fn handle(
    worker: Rc<Worker>,
    connections: &Connections,
    mut request: http::Request,
) -> Response {
    let is_http1 = request.version() != Version::HTTP_2;
    let Some(io) = request.io().filter(|_| is_http1).cloned() else {
        let counted = request.io().and_then(|io| connections.begin(io));
        if counted.as_ref().is_some_and(CountedRequest::is_refused) {
            return intake::gave_way().response();
        }
        meter(counted.as_ref(), &mut request);
        // A stream that is refused needs no memory for the rest of its way.
        return Box::pin(entry::handle(worker, request, counted)).await;
    };
    let mut started = worker.pipelined.borrow_mut().take(&io);
    let mut response = match started.front().is_some_and(|first| first.matches(&request)) {
        true => started.pop_front().map(|first| first.response),
        // The delivered request differs from the one that was started early, so none of those is
        // used.
        false => {
            started.clear();
            None
        }
    };
    // Requests that were started early have no body.
    let mut body_end = BodyEnd::reached();
    let mut running = match response.take() {
        Some(PendingResponse::Running(running)) => running,
        Some(PendingResponse::Ready(response)) => Box::pin(std::future::ready(response)),
        None => {
            let counted = connections.begin(&io);
            if let Some(counted) = &counted {
                counted.take_turn().await;
            }
            meter(counted.as_ref(), &mut request);
            let mut incoming = IncomingRequest { counted, ..IncomingRequest::from(&mut request) };
            body_end = TrackedBody::track(&mut incoming.payload);
            Box::pin(entry::respond(Rc::clone(&worker), incoming, Some(io.clone())))
        }
    };
    let caller = request.peer_addr().map(|caller| caller.ip());
    let mut buffer_check = sleep(BUFFER_CHECK_INTERVAL);
    let mut response = poll_fn(|cx| {
        if let Poll::Ready(response) = running.as_mut().poll(cx) {
            return Poll::Ready(response);
        }
        for request in &mut started {
            request.poll(cx);
        }
        while buffer_check.poll_elapsed(cx).is_ready() {
            buffer_check = sleep(BUFFER_CHECK_INTERVAL);
            if !body_end.is_reached() || started.len() >= MAX_EARLY_REQUESTS {
                continue;
            }
            for mut incoming in new_requests(&worker, &io, started.len(), caller) {
                incoming.counted = connections.try_begin(&io);
                if incoming.counted.is_none() {
                    break;
                }
                let mut next = start_request(&worker, incoming, &io);
                next.poll(cx);
                started.push_back(next);
            }
        }
        Poll::Pending
    })
    .await;
    // A caller takes no response after one that ends the connection, so only the last one may.
    let has_next = body_end.is_reached()
        && (!started.is_empty() || io.with_read_buf(|bytes| !bytes.is_empty()));
    if !has_next {
        close_if_stopping(&worker, &mut response);
    }
    worker.pipelined.borrow_mut().put(io, started);
    response
}

/// Counts the bytes that are taken from the body of `request`.
pub(super) fn meter(counted: Option<&CountedRequest>, request: &mut http::Request) {
    if let Some(counted) = counted {
        let payload = counted.metered(request.take_payload());
        request.replace_payload(payload);
    }
}

/// Closes the caller's connection after `response` while the node stops, so that the caller connects to
/// another node.
fn close_if_stopping(worker: &Worker, response: &mut Response) {
    if worker.shared.is_stopping() {
        response.head_mut().set_connection_type(http::ConnectionType::Close);
    }
}

/// Returns a request that runs while it is polled.
fn start_request(worker: &Rc<Worker>, incoming: IncomingRequest, io: &IoRef) -> PipelinedRequest {
    let target = incoming.uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
    let headers = incoming.headers.clone();
    let running = entry::respond(Rc::clone(worker), incoming, Some(io.clone()));
    PipelinedRequest { target, headers, response: PendingResponse::Running(Box::pin(running)) }
}

/// Returns the complete requests in the read buffer that may be started early, without the first
/// `started_count` ones.
fn new_requests(
    worker: &Worker,
    io: &IoRef,
    started_count: usize,
    caller: Option<std::net::IpAddr>,
) -> Vec<IncomingRequest> {
    let requests = io.with_read_buf(|bytes| match bytes.is_empty() {
        true => Vec::new(),
        false => parse(bytes),
    });
    let configuration = worker.shared.configuration();
    let mut eligible = Vec::new();
    for (index, mut incoming) in requests.into_iter().enumerate() {
        let host = incoming.headers.get("host").and_then(|host| host.to_str().ok());
        let rule = configuration.route(host, incoming.uri.path());
        if rule.is_none_or(|rule| !rule.class.is_repeatable()) {
            break;
        }
        incoming.caller = caller;
        if index >= started_count {
            eligible.push(incoming);
        }
    }
    eligible
}

/// Parses requests without bodies from the start of `bytes`, up to the first one that is incomplete
/// or of another kind, and at most as many as are started early.
fn parse(mut bytes: &[u8]) -> Vec<IncomingRequest> {
    let mut requests = Vec::new();
    while requests.len() < MAX_EARLY_REQUESTS {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(length)) = head.parse(bytes) else { return requests };
        let (Some("GET"), Some(target), Some(1)) = (head.method, head.path, head.version) else {
            return requests;
        };
        let Ok(uri) = target.parse::<Uri>() else { return requests };
        let Some(headers) = parse_fields(head.headers) else { return requests };
        requests.push(IncomingRequest {
            method: Method::GET,
            uri,
            headers,
            payload: Payload::None,
            caller: None,
            counted: None,
            is_http2: false,
        });
        bytes = &bytes[length..];
    }
    requests
}

/// Returns the header fields, or `None` if they announce a body or concern the connection.
fn parse_fields(fields: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::try_from(field.name).ok()?;
        if matches!(
            name.as_str(),
            "content-length" | "transfer-encoding" | "expect" | "upgrade" | "connection"
        ) {
            return None;
        }
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(headers)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GET: &str = "GET /a/1?x=2 HTTP/1.1\r\nHost: h.example\r\nAttempt: 1\r\n\r\n";

    fn targets(text: &str) -> Vec<String> {
        parse(text.as_bytes()).iter().map(|incoming| incoming.uri.to_string()).collect()
    }

    /// Guards against a request that is started twice or before its head is complete.
    #[test]
    fn parse_incomplete() {
        assert_eq!(targets(&format!("{GET}{GET}")), ["/a/1?x=2", "/a/1?x=2"]);
        for length in 0..GET.len() {
            assert_eq!(targets(&format!("{GET}{}", &GET[..length])).len(), 1);
        }
    }

    /// Guards against body bytes that are parsed as a request, and against a request that is
    /// started after one whose end is unknown.
    #[test]
    fn parse_body() {
        let post = format!("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", GET.len());
        assert_eq!(targets(&format!("{post}{GET}")).len(), 0);
        let get = format!("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", GET.len());
        assert_eq!(targets(&format!("{GET}{get}{GET}")).len(), 1);
        let closing = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        assert_eq!(targets(&format!("{closing}{GET}")).len(), 0);
    }
}

//! Streams the body of a response, and closes the connection if the body cannot be completed.

mod closing;
mod held;
mod reading;

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{HeaderMap, Response, StatusCode};
use ntex::io::IoRef;
use ntex::util::Bytes;

use arbutuslane_limit::body_watch::BodyWatch;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_wire::header;

use crate::announce::Server;
use crate::metrics::count;
use crate::shared::Shared;

use super::answer::{ResponseStream, ServerResponse};
use super::client::Failure;
use closing::close_when_sent;
use reading::{Buffer, Reading};

pub(crate) use held::{Readers, cut_slowest, held_responses};

/// A body that can be streamed.
pub(crate) trait BodySource: 'static {
    /// Returns the length of the body, if it is known.
    fn length(&self) -> Option<u64>;

    /// Polls for the next bytes; returns `None` after the verified end of the body.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>>;

    /// Returns the server of this node of which the body occupies a slot, if it is one of this node.
    fn server(&self) -> Option<&Arc<Server>> {
        None
    }
}

/// The body of a response to a caller or an entry.
pub(crate) struct Relay {
    buffer: Rc<RefCell<Buffer>>,
    size: BodySize,
    io: Option<IoRef>,
    shared: Arc<Shared>,
}

/// How a response is sent to its reader, a caller or an entry.
pub(crate) struct Delivery {
    shared: Arc<Shared>,
    in_flight: InFlight,
    io: Option<IoRef>,
    /// Whether the response ends its connection while the node stops.
    closes_at_stop: bool,
    deadline: Option<Deadline>,
    is_idempotent: bool,
    request: String,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    is_finished: bool,
    /// The request on its connection.
    counted: Option<CountedRequest>,
}

/// The body that a response to a HEAD request omits, with its length in bytes.
struct OmittedBody(u64);

impl BodySource for OmittedBody {
    fn length(&self) -> Option<u64> {
        Some(self.0)
    }

    fn poll_next(&mut self, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        Poll::Ready(None)
    }
}

impl BodySource for ResponseStream {
    fn length(&self) -> Option<u64> {
        ResponseStream::length(self)
    }

    fn server(&self) -> Option<&Arc<Server>> {
        ResponseStream::server(self)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        ResponseStream::poll_next(self, cx)
    }
}

impl Delivery {
    /// Returns the delivery of the response to the request `request`.
    pub(crate) fn new(shared: &Arc<Shared>, in_flight: InFlight, request: &str) -> Self {
        let request = request.to_string();
        let shared = Arc::clone(shared);
        Self {
            shared,
            in_flight,
            io: None,
            closes_at_stop: true,
            deadline: None,
            is_idempotent: false,
            request,
        }
    }

    /// Keeps the request counted on its connection until the response was delivered.
    pub(crate) fn with_counted(mut self, counted: Option<CountedRequest>) -> Self {
        self.in_flight.counted = counted;
        self
    }

    /// Leaves it to the pipeline of the connection whether the response is its last one.
    pub(crate) fn with_pipeline(self) -> Self {
        Self { closes_at_stop: false, ..self }
    }

    /// Closes the connection `io` if the body is cut off.
    pub(crate) fn with_io(self, io: Option<IoRef>) -> Self {
        Self { io, ..self }
    }

    /// Cuts the body off if it has no end around `deadline`.
    pub(crate) fn with_deadline(self, deadline: Option<Deadline>) -> Self {
        Self { deadline, ..self }
    }

    /// Lets the response be cut before those of requests that run at most once.
    pub(crate) fn with_idempotent(self, is_idempotent: bool) -> Self {
        Self { is_idempotent, ..self }
    }

    /// Returns the response that streams `response`.
    pub(crate) fn respond(self, response: ServerResponse) -> Response {
        let ServerResponse { status, headers, body, head_content_length, .. } = response;
        let source: Box<dyn BodySource> = match head_content_length {
            Some(length) => Box::new(OmittedBody(length)),
            None => Box::new(body),
        };
        self.respond_with(status, &headers, source)
    }

    /// Returns the response that streams the bytes of `source`.
    pub(crate) fn respond_with(
        self,
        status: StatusCode,
        headers: &HeaderMap,
        source: Box<dyn BodySource>,
    ) -> Response {
        let Self { shared, in_flight, io, closes_at_stop, deadline, is_idempotent, request } = self;
        in_flight.counted.iter().for_each(CountedRequest::answer);
        let mut builder = Response::build(status);
        for (name, value) in headers {
            builder.header(name.clone(), value.clone());
        }
        builder.set_header(header::OUTCOME, header::OUTCOME_ANSWERED);
        if closes_at_stop && shared.is_stopping() {
            builder.force_close();
        }
        let length = source.length();
        if length == Some(0) {
            in_flight.finish();
            return builder.finish();
        }
        let now = shared.clock.now();
        let deadline = deadline.map(|deadline| now + deadline.remaining(now));
        let watch = BodyWatch::new(deadline, length.is_some(), now);
        let buffer = Rc::new(RefCell::new(Buffer::new(&shared, in_flight, is_idempotent, now)));
        let (reading_buffer, reading_io) = (Rc::clone(&buffer), io.clone());
        Reading::new(source, reading_buffer, watch, Arc::clone(&shared), reading_io, request)
            .start();
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        builder.body(Body::from_message(Relay { buffer, size, io, shared }))
    }
}

impl MessageBody for Relay {
    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let next = match self.buffer.borrow_mut().poll_take(self.shared.clock.now(), cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(next) => next,
        };
        let failure = match next {
            Some(Err(failure)) => failure,
            Some(Ok(bytes)) => return Poll::Ready(Some(Ok(bytes))),
            None => return Poll::Ready(None),
        };
        count(&self.shared.metrics.truncated);
        match self.io.take() {
            // The server library sends a second response head after a failed body, and the receiver
            // would read it as part of the body. Therefore the body ends with the connection.
            Some(io) => {
                ntex::rt::spawn(close_when_sent(io));
                Poll::Pending
            }
            None => Poll::Ready(Some(Err(Rc::new(failure)))),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.buffer.borrow_mut().abandon();
    }
}

impl InFlight {
    /// Counts a request as in flight.
    pub(crate) fn begin(shared: &Arc<Shared>) -> Self {
        shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), is_finished: false, counted: None }
    }

    /// Records that the caller has read a part of the response.
    fn record_read(&self) {
        self.counted.iter().for_each(CountedRequest::record_read);
    }

    /// Records that the request has its final response.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.metrics.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_finished {
            count(&self.shared.metrics.cancelled);
        }
    }
}

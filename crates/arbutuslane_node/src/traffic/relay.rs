//! Streams the body of a response, and closes the connection if the body cannot be completed.

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{HeaderMap, Response, StatusCode};
use ntex::io::IoRef;
use ntex::time::{Millis, Sleep, sleep};
use ntex::util::Bytes;

use arbutuslane_wire::header;

use crate::metrics::count;
use crate::shared::Shared;

use super::answer::{ResponseStream, ServerResponse};
use super::client::Failure;

/// How long a body may make no progress.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A body that can be streamed.
pub(crate) trait BodySource: 'static {
    /// Returns the length of the body, if it is known.
    fn length(&self) -> Option<u64>;

    /// Polls for the next bytes; returns `None` after the verified end of the body.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>>;
}

/// The body of a response to a caller or an entry.
pub(crate) struct Relay {
    source: Box<dyn BodySource>,
    size: BodySize,
    io: Option<IoRef>,
    stall_timer: Sleep,
    time_limit: Option<Sleep>,
    shared: Arc<Shared>,
    in_flight: InFlight,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    is_finished: bool,
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

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        ResponseStream::poll_next(self, cx)
    }
}

impl Relay {
    /// Returns the response that streams `response`; its body must end within `limit`.
    pub(crate) fn respond(
        shared: &Arc<Shared>,
        response: ServerResponse,
        io: Option<IoRef>,
        in_flight: InFlight,
        limit: Option<Duration>,
    ) -> Response {
        let ServerResponse { status, headers, body, head_content_length, .. } = response;
        let source: Box<dyn BodySource> = match head_content_length {
            Some(length) => Box::new(OmittedBody(length)),
            None => Box::new(body),
        };
        Self::respond_with(shared, status, &headers, source, io, in_flight, limit)
    }

    /// Returns the response that streams the bytes of `source`.
    pub(crate) fn respond_with(
        shared: &Arc<Shared>,
        status: StatusCode,
        headers: &HeaderMap,
        source: Box<dyn BodySource>,
        io: Option<IoRef>,
        mut in_flight: InFlight,
        limit: Option<Duration>,
    ) -> Response {
        let mut builder = Response::build(status);
        for (name, value) in headers {
            builder.header(name.clone(), value.clone());
        }
        builder.set_header(header::OUTCOME, header::OUTCOME_ANSWERED);
        if shared.is_stopping() {
            builder.force_close();
        }
        let size = match source.length() {
            Some(0) => {
                in_flight.is_finished = true;
                return builder.finish();
            }
            Some(length) => BodySize::Sized(length),
            None => BodySize::Stream,
        };
        let relay = Self {
            source,
            size,
            io,
            stall_timer: sleep(STALL_TIMEOUT),
            time_limit: limit.map(sleep),
            shared: Arc::clone(shared),
            in_flight,
        };
        builder.body(Body::from_message(relay))
    }

    /// Polls the source; fails if the body stalls or exceeds its time limit.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        if let Poll::Ready(next) = self.source.poll_next(cx) {
            self.stall_timer.reset(Millis::from(STALL_TIMEOUT));
            return Poll::Ready(next);
        }
        if self.stall_timer.poll_elapsed(cx).is_ready() {
            return Poll::Ready(Some(Err(Failure::Stalled)));
        }
        if self.time_limit.as_ref().is_some_and(|time_limit| time_limit.poll_elapsed(cx).is_ready())
        {
            return Poll::Ready(Some(Err(Failure::Deadline)));
        }
        Poll::Pending
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
        let next = match self.poll(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(next) => next,
        };
        Poll::Ready(match next {
            Some(Ok(bytes)) => Some(Ok(bytes)),
            None => {
                self.in_flight.is_finished = true;
                None
            }
            Some(Err(failure)) => {
                self.in_flight.is_finished = true;
                count(&self.shared.metrics.truncated);
                // The server library sends a second response head after a failed body, and the
                // receiver would read it as part of the body. Closing the connection prevents that.
                if let Some(io) = &self.io {
                    io.terminate();
                }
                Some(Err(Rc::new(failure)))
            }
        })
    }
}

impl InFlight {
    /// Counts a request as in flight.
    pub(crate) fn begin(shared: &Arc<Shared>) -> Self {
        shared.metrics.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), is_finished: false }
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

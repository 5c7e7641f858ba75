//! The response of a backend server on its way to the caller.

use std::fmt::{self, Debug, Formatter};
use std::future::ready;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::Bytes;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_limit::deadline::Deadline;

use crate::announce::Server;
use crate::settings::Source;

use super::client::{Body, Failure, ReceivedResponse};
use super::fields;
use super::owner::Execution;
use super::services::AttemptGuard;

/// The response of a backend server whose body is still to be read.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) status: StatusCode,
    /// The end-to-end header fields.
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseStream,
    /// The length of the omitted body that the response to a HEAD request states.
    pub(crate) head_content_length: Option<u64>,
    /// The time from dispatch to the response head, measured at the owner.
    pub(crate) latency: Duration,
}

impl ServerResponse {
    /// Returns the response to a request with `method`.
    pub(crate) fn new(
        received: ReceivedResponse,
        method: &Method,
        execution: Option<Execution>,
    ) -> Self {
        let head_content_length =
            (method == Method::HEAD).then(|| fields::content_length(&received.headers)).flatten();
        Self {
            status: received.status,
            headers: fields::end_to_end(&received.headers),
            body: ResponseStream::new(received.body, execution),
            head_content_length,
            latency: Duration::ZERO,
        }
    }

    /// Returns the deadline for the end of the body, where the request has `deadline`. A body with a stated
    /// length may go on after it, as long as bytes come.
    ///
    /// With a catalogue, the deadline of a download applies to the head only, unless its body has no
    /// stated length and therefore possibly no end. The timeout of a route that is an item is the longest
    /// time that its operator lets callers wait, also for the next bytes.
    pub(crate) fn body_deadline(
        &self,
        class: Class,
        source: Source,
        deadline: Deadline,
    ) -> Option<Deadline> {
        let is_head_only = class == Class::Download && source == Source::Catalogue;
        (!is_head_only || self.body.length().is_none()).then_some(deadline)
    }
}

/// The body of a response, which occupies a slot of its server until the end.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    body: Body,
    /// The execution at the server of this node; `None` after its end, and at other nodes.
    execution: Option<Execution>,
    attempt_guard: Option<AttemptGuard>,
    /// The failure of the body while the check for a crash of the server runs.
    failed: Option<Failed>,
}

/// A failure of a body that is passed on once it is known whether the server crashed: another server may
/// get the request for the rest of the body then.
struct Failed {
    failure: Failure,
    check: Pin<Box<dyn Future<Output = bool>>>,
}

impl Debug for Failed {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Failed").field(&self.failure).finish()
    }
}

impl ResponseStream {
    /// Returns a stream that occupies a slot of the server until its end.
    fn new(body: Body, execution: Option<Execution>) -> Self {
        let mut stream = Self { body, execution, attempt_guard: None, failed: None };
        if stream.body.length() == Some(0) {
            stream.complete();
        }
        stream
    }

    /// Counts the attempt as in flight at the entry until the end of the stream.
    pub(crate) fn attach_guard(&mut self, attempt_guard: AttemptGuard) {
        self.attempt_guard = Some(attempt_guard);
    }

    /// Returns the length of the body, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        self.body.length()
    }

    /// Returns the server of this node that sends the body.
    pub(crate) fn server(&self) -> Option<&Arc<Server>> {
        self.execution.as_ref().map(Execution::server)
    }

    /// Polls for the next bytes; returns `None` after the verified end of the body.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        loop {
            if let Some(failed) = &mut self.failed {
                ready!(failed.check.as_mut().poll(cx));
                return Poll::Ready(self.failed.take().map(|failed| Err(failed.failure)));
            }
            match ready!(self.body.poll_next(cx)) {
                Some(Ok(bytes)) => return Poll::Ready(Some(Ok(bytes))),
                Some(Err(failure)) => self.fail(failure),
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn complete(&mut self) {
        self.attempt_guard = None;
        if let Some(execution) = self.execution.take() {
            execution.complete(self.body.is_close_delimited());
        }
    }

    fn fail(&mut self, failure: Failure) {
        self.attempt_guard = None;
        let check: Pin<Box<dyn Future<Output = bool>>> = match self.execution.take() {
            Some(execution) => {
                if failure.blames_server() {
                    execution.record_broken_body();
                }
                Box::pin(execution.fail(&failure))
            }
            None => Box::pin(ready(false)),
        };
        self.failed = Some(Failed { failure, check });
    }
}

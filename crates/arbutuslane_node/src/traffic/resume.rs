//! Resumes an interrupted download from another server.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;

use arbutuslane_core::id::ServerId;
use arbutuslane_limit::attempts::Effort;
use arbutuslane_limit::deadline::Deadline;

use crate::announce::Server;
use crate::metrics::count;

use super::answer::{ResponseStream, ServerResponse};
use super::attempt::{self, AttemptPlan};
use super::client::Failure;
use super::entry;
use super::fields;
use super::owner::Repeat;
use super::relay::BodySource;
use super::route::RoutedRequest;
use super::silent::SendResult;
use super::worker::Worker;

/// The maximum number of times that one download is resumed.
const MAX_RESUMPTIONS: u32 = 3;

/// How long a download may receive no bytes before it is resumed from another server.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The request for the rest of a download; returns the new stream and the servers tried so far.
type Continuation = Pin<Box<dyn Future<Output = Option<(ResponseStream, Vec<ServerId>)>>>>;

/// A download that is resumed from another server if it is interrupted.
///
/// The stream of a silent server stays open until another server has the rest: that one may refuse, and
/// the silent one may go on.
struct ResumableDownload {
    worker: Rc<Worker>,
    routed: RoutedRequest,
    stream: Option<ResponseStream>,
    continuation: Option<Continuation>,
    silence_timer: ntex::time::Sleep,
    tried: Vec<ServerId>,
    etag: String,
    length: u64,
    received: u64,
    resumptions: u32,
}

/// Returns the body of `response`, which other servers can resume if it has a strong entity tag and a
/// known length.
pub(crate) fn body_source(
    worker: &Rc<Worker>,
    routed: RoutedRequest,
    response: ServerResponse,
    tried: Vec<ServerId>,
) -> Box<dyn BodySource> {
    let etag =
        fields::text(&response.headers, "etag").filter(|etag| is_strong(etag)).map(str::to_string);
    let can_resume =
        response.status == StatusCode::OK && entry::is_resumable(&routed.request.method);
    let (Some(etag), Some(length), true) = (etag, response.body.length(), can_resume) else {
        return Box::new(response.body);
    };
    if length == 0 {
        return Box::new(response.body);
    }
    Box::new(ResumableDownload {
        worker: Rc::clone(worker),
        routed,
        stream: Some(response.body),
        continuation: None,
        silence_timer: ntex::time::sleep(SILENCE_TIMEOUT),
        tried,
        etag,
        length,
        received: 0,
        resumptions: 0,
    })
}

impl ResumableDownload {
    /// Polls the current stream, and requests the rest from another server if no bytes arrive within
    /// [`SILENCE_TIMEOUT`].
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        let Some(stream) = &mut self.stream else { return Poll::Pending };
        if let Poll::Ready(next) = stream.poll_next(cx) {
            self.restart_silence_timer();
            return Poll::Ready(next);
        }
        let may_resume = self.continuation.is_none() && self.resumptions < MAX_RESUMPTIONS;
        if may_resume && self.silence_timer.poll_elapsed(cx).is_ready() {
            self.start_continuation();
        }
        Poll::Pending
    }

    /// Polls the request for the rest; takes the place of the current stream with its response. Fails if
    /// no server can send the rest and there is no current stream.
    fn poll_continuation(&mut self, cx: &mut Context<'_>) -> Result<(), Failure> {
        let Some(continuation) = &mut self.continuation else { return Ok(()) };
        let Poll::Ready(resumed) = continuation.as_mut().poll(cx) else { return Ok(()) };
        self.continuation = None;
        self.restart_silence_timer();
        if let Some((stream, tried)) = resumed {
            count(&self.worker.shared.metrics.resumed);
            (self.stream, self.tried) = (Some(stream), tried);
        }
        match self.stream {
            Some(_) => Ok(()),
            None => Err(Failure::Closed("no server can resume the download".to_string())),
        }
    }

    fn restart_silence_timer(&mut self) {
        self.silence_timer.reset(ntex::time::Millis::from(SILENCE_TIMEOUT));
    }

    /// Starts the request for the missing bytes to another server.
    fn start_continuation(&mut self) {
        self.resumptions += 1;
        let mut routed = self.routed.clone();
        fields::set(&mut routed.request.headers, "range", &format!("bytes={}-", self.received));
        fields::set(&mut routed.request.headers, "if-range", &self.etag);
        let now = self.worker.shared.clock.now();
        // The deadline of the request applied to its first response head only.
        routed.deadline = Deadline::after(now, SILENCE_TIMEOUT);
        let worker = Rc::clone(&self.worker);
        let (etag, length, received) = (self.etag.clone(), self.length, self.received);
        let mut tried = self.tried.clone();
        self.continuation = Some(Box::pin(async move {
            let plan =
                AttemptPlan { effort: Effort::Insist, server: None, repeat: Repeat::Consequence };
            let sent = attempt::send(&worker, &routed, &mut tried, plan).await;
            let SendResult::Ended(result) = sent else { return None };
            let response = result.ok()?;
            is_continuation(&response, &etag, received, length).then_some((response.body, tried))
        }));
    }
}

impl BodySource for ResumableDownload {
    fn server(&self) -> Option<&Arc<Server>> {
        self.stream.as_ref().and_then(ResponseStream::server)
    }

    fn length(&self) -> Option<u64> {
        Some(self.length)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        loop {
            let had_continuation = self.continuation.is_some();
            if let Err(failure) = self.poll_continuation(cx) {
                return Poll::Ready(Some(Err(failure)));
            }
            match self.poll_stream(cx) {
                Poll::Ready(Some(Ok(bytes))) => {
                    // The rest that was requested begins with these bytes.
                    self.continuation = None;
                    self.received += bytes.len() as u64;
                    return Poll::Ready(Some(Ok(bytes)));
                }
                Poll::Ready(Some(Err(failure))) => {
                    self.stream = None;
                    if self.continuation.is_some() {
                        continue;
                    }
                    if self.resumptions >= MAX_RESUMPTIONS {
                        return Poll::Ready(Some(Err(failure)));
                    }
                    self.start_continuation();
                }
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending if self.continuation.is_some() && !had_continuation => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// Returns whether `etag` is a strong entity tag.
fn is_strong(etag: &str) -> bool {
    etag.len() >= 2 && etag.starts_with('"') && etag.ends_with('"')
}

/// Returns whether `response` contains exactly the missing bytes of the same representation.
fn is_continuation(response: &ServerResponse, etag: &str, received: u64, length: u64) -> bool {
    let range = format!("bytes {received}-{}/{length}", length - 1);
    response.status == StatusCode::PARTIAL_CONTENT
        && fields::text(&response.headers, "etag") == Some(etag)
        && fields::text(&response.headers, "content-range") == Some(range.as_str())
        && response.body.length() == Some(length - received)
}

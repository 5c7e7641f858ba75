//! Resumes an interrupted download from another server.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;

use arbutuslane_core::id::ServerId;
use arbutuslane_limit::attempts::Effort;
use arbutuslane_limit::deadline::Deadline;

use crate::metrics::count;

use super::answer::{Answer, Stream};
use super::attempt;
use super::client::Failure;
use super::entry;
use super::fields;
use super::relay::Source;
use super::route::Routed;
use super::silent::Sent;
use super::worker::Worker;

/// The maximum number of times that one download is resumed.
const RESUMPTIONS: u32 = 3;

/// How long a download may receive no bytes before it is resumed from another server.
const SILENCE: Duration = Duration::from_secs(5);

/// The request for the rest of a download; returns the new stream and the servers tried so far.
type Continuation = Pin<Box<dyn Future<Output = Option<(Stream, Vec<ServerId>)>>>>;

/// A download that is resumed from another server if it is interrupted.
struct Download {
    worker: Rc<Worker>,
    routed: Routed,
    stream: Option<Stream>,
    next: Option<Continuation>,
    silence: ntex::time::Sleep,
    tried: Vec<ServerId>,
    tag: String,
    length: u64,
    received: u64,
    resumptions: u32,
}

/// Returns the body of `answer`, which other servers can resume if it has a strong entity tag and a
/// known length.
pub(crate) fn source(
    worker: &Rc<Worker>,
    routed: Routed,
    answer: Answer,
    tried: Vec<ServerId>,
) -> Box<dyn Source> {
    let tag = fields::text(&answer.headers, "etag").filter(|tag| strong(tag)).map(str::to_string);
    let plain = answer.status == StatusCode::OK && entry::resumable(&routed.request.method);
    let (Some(tag), Some(length), true) = (tag, answer.body.length(), plain) else {
        return Box::new(answer.body);
    };
    if length == 0 {
        return Box::new(answer.body);
    }
    Box::new(Download {
        worker: Rc::clone(worker),
        routed,
        stream: Some(answer.body),
        next: None,
        silence: ntex::time::sleep(SILENCE),
        tried,
        tag,
        length,
        received: 0,
        resumptions: 0,
    })
}

impl Download {
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        let Some(stream) = &mut self.stream else { return Poll::Ready(None) };
        if let Poll::Ready(next) = stream.poll_next(cx) {
            self.silence.reset(ntex::time::Millis::from(SILENCE));
            return Poll::Ready(next);
        }
        ready!(self.silence.poll_elapsed(cx));
        Poll::Ready(Some(Err(Failure::Stalled)))
    }

    fn begin(&mut self) {
        self.stream = None;
        self.resumptions += 1;
        let mut routed = self.routed.clone();
        fields::set(&mut routed.request.headers, "range", &format!("bytes={}-", self.received));
        fields::set(&mut routed.request.headers, "if-range", &self.tag);
        let now = self.worker.shared.clock.now();
        // The deadline of the request applied to its first response head only.
        routed.deadline = Deadline::after(now, SILENCE);
        let worker = Rc::clone(&self.worker);
        let (tag, length, received) = (self.tag.clone(), self.length, self.received);
        let mut tried = std::mem::take(&mut self.tried);
        self.next = Some(Box::pin(async move {
            let sent = attempt::send(&worker, &routed, &mut tried, Effort::Insist).await;
            let Sent::Ended(Ok(answer)) = sent else { return None };
            continues(&answer, &tag, received, length).then_some((answer.body, tried))
        }));
    }
}

impl Source for Download {
    fn length(&self) -> Option<u64> {
        Some(self.length)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        loop {
            if let Some(next) = &mut self.next {
                let resumed = ready!(next.as_mut().poll(cx));
                self.next = None;
                let Some((stream, tried)) = resumed else {
                    return Poll::Ready(Some(Err(Failure::Closed(
                        "no server can continue".to_string(),
                    ))));
                };
                count(&self.worker.shared.metrics.resumed);
                (self.stream, self.tried) = (Some(stream), tried);
                self.silence.reset(ntex::time::Millis::from(SILENCE));
            }
            match ready!(self.poll_stream(cx)) {
                Some(Ok(bytes)) => {
                    self.received += bytes.len() as u64;
                    return Poll::Ready(Some(Ok(bytes)));
                }
                None => return Poll::Ready(None),
                Some(Err(failure)) if self.resumptions >= RESUMPTIONS => {
                    return Poll::Ready(Some(Err(failure)));
                }
                Some(Err(_)) => self.begin(),
            }
        }
    }
}

fn strong(tag: &str) -> bool {
    tag.len() >= 2 && tag.starts_with('"') && tag.ends_with('"')
}

/// Returns whether `answer` contains exactly the missing bytes of the same representation.
fn continues(answer: &Answer, tag: &str, received: u64, length: u64) -> bool {
    let range = format!("bytes {received}-{}/{length}", length - 1);
    answer.status == StatusCode::PARTIAL_CONTENT
        && fields::text(&answer.headers, "etag") == Some(tag)
        && fields::text(&answer.headers, "content-range") == Some(range.as_str())
        && answer.body.length() == Some(length - received)
}

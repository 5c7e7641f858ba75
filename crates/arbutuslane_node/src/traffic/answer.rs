//! The response of a backend server on its way to the caller.

use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::Bytes;

use crate::condition::Running;

use super::admission::Permit;
use super::client::{Body, Failure, Reply};
use super::fields;
use super::services::Ongoing;

/// The response of a backend server whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// The end-to-end header fields.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Stream,
    /// The length of the omitted body that the response to a HEAD request states.
    pub(crate) stated: Option<u64>,
    /// The time from dispatch to the response head, measured at the owner.
    pub(crate) took: Duration,
}

impl Answer {
    /// Returns the response to a request with `method`.
    pub(crate) fn new(reply: Reply, method: &Method, held: Option<(Permit, Running)>) -> Self {
        let stated = (method == Method::HEAD).then(|| fields::length(&reply.headers)).flatten();
        Self {
            status: reply.status,
            headers: fields::end_to_end(&reply.headers),
            body: Stream::new(reply.body, held),
            stated,
            took: Duration::ZERO,
        }
    }
}

/// The body of a response with the guards that are held until its end.
#[derive(Debug)]
pub(crate) struct Stream {
    body: Body,
    held: Option<(Permit, Running)>,
    ongoing: Option<Ongoing>,
}

impl Stream {
    /// Returns a stream that occupies a slot of the server until its end.
    fn new(body: Body, held: Option<(Permit, Running)>) -> Self {
        Self { body, held, ongoing: None }
    }

    /// Counts the attempt as in flight at the entry until the end of the stream.
    pub(crate) fn hold(&mut self, ongoing: Ongoing) {
        self.ongoing = Some(ongoing);
    }

    /// Returns the length of the body, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        self.body.length()
    }

    /// Polls for the next bytes; returns `None` after the verified end of the body.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        let next = self.body.poll_next(cx);
        if matches!(next, Poll::Ready(None | Some(Err(_)))) {
            let failed =
                matches!(&next, Poll::Ready(Some(Err(failure))) if failure.blames_server());
            if let Some((_, running)) = self.held.take().filter(|_| failed) {
                running.broke();
            }
            self.ongoing = None;
        }
        next
    }
}

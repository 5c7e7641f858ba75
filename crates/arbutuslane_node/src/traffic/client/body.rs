//! The body of a response while it is received.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::{Bytes, BytesMut};

use crate::traffic::fields;

use super::connection::Driver;
use super::upload::OutgoingBody;
use super::used_ids::UsedIds;
use super::{Failure, Pool, Upload};

/// The body of a response. Dropping it before its end closes the connection.
#[derive(Debug)]
pub(crate) struct Body {
    /// `None` after the body has ended or failed.
    active: Option<ActiveExchange>,
    framing: Framing,
    upload: Upload,
    pool_return: Option<PoolReturn>,
}

/// Where a connection returns after its exchange.
#[derive(Debug)]
pub(super) struct PoolReturn {
    pub(super) pool: Rc<Pool>,
    pub(super) address: SocketAddr,
    /// The ids that callers gave to the exchanges of the connection.
    pub(super) used_ids: UsedIds,
    /// How long the other side keeps the connection open while idle, if it states that.
    pub(super) peer_timeout: Option<Duration>,
}

/// How the end of a body is recognised. A body that ends with the connection can be truncated
/// without notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has a `content-length`.
    Length(u64),
    /// The body consists of chunks and ends with an empty one.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

#[derive(Debug)]
struct ActiveExchange {
    sender: SendRequest<OutgoingBody>,
    driver: Driver,
    incoming: Incoming,
}

impl Framing {
    /// Returns the framing of a response, or `None` if the end of its body cannot be verified.
    pub(super) fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        if method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED
        {
            return Some(Self::Empty);
        }
        let is_chunked = headers.contains_key("transfer-encoding");
        match (fields::content_length(headers), is_chunked) {
            // Two receivers could resolve the contradiction differently.
            (Some(_), true) => None,
            (Some(0), false) => Some(Self::Empty),
            (Some(length), false) => Some(Self::Length(length)),
            (None, true) if fields::contains_token(headers, "transfer-encoding", "chunked") => {
                Some(Self::Chunked)
            }
            (None, _) => None,
        }
    }

    /// Returns `UntilClose` for a response with neither a length nor a transfer coding, or `None`
    /// for any other.
    pub(super) fn until_close(headers: &HeaderMap) -> Option<Self> {
        let is_framed =
            headers.contains_key("content-length") || headers.contains_key("transfer-encoding");
        (!is_framed).then_some(Self::UntilClose)
    }
}

impl Body {
    pub(super) fn new(
        sender: SendRequest<OutgoingBody>,
        driver: Driver,
        incoming: Incoming,
        framing: Framing,
        upload: Upload,
        pool_return: Option<PoolReturn>,
    ) -> Self {
        let mut body = Self {
            active: Some(ActiveExchange { sender, driver, incoming }),
            framing,
            upload,
            pool_return,
        };
        if framing == Framing::Empty {
            body.finish();
        }
        body
    }

    /// Returns the length of the body, or `None` if the head does not state it.
    pub(crate) fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the end of the connection ends the body, which may be cut without notice.
    pub(crate) fn is_close_delimited(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Polls for the next bytes; returns `None` after the verified end of the body.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        loop {
            let Some(active) = &mut self.active else { return Poll::Ready(None) };
            let has_ended = active.driver.poll(cx).is_ready();
            match Pin::new(&mut active.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Skips trailers.
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&data))));
                }
                Poll::Ready(Some(Err(error))) => {
                    self.active = None;
                    let failure = self.upload.failure();
                    let failure = failure.unwrap_or_else(|| Failure::Closed(error.to_string()));
                    return Poll::Ready(Some(Err(failure)));
                }
                Poll::Ready(None) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending if has_ended => {
                    self.active = None;
                    let failure = self.upload.failure();
                    let failure =
                        failure.unwrap_or_else(|| Failure::Closed("connection ended".to_string()));
                    return Poll::Ready(Some(Err(failure)));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Reads the whole body, or fails if it exceeds `limit` bytes.
    pub(crate) async fn collect(mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut buffer = BytesMut::new();
        while let Some(data) = poll_fn(|cx| self.poll_next(cx)).await {
            buffer.extend_from_slice(&data?);
            if buffer.len() > limit {
                return Err(Failure::BodyTooLarge);
            }
        }
        Ok(buffer.freeze())
    }

    /// Returns the connection to the pool if both bodies of this exchange are complete.
    fn finish(&mut self) {
        let Some(ActiveExchange { sender, mut driver, .. }) = self.active.take() else { return };
        let Some(pool_return) = self.pool_return.take() else { return };
        if driver.is_idle(&sender) {
            Rc::clone(&pool_return.pool).put(sender, driver, pool_return);
        }
    }
}

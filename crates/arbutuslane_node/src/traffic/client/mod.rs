//! An HTTP/1.1 client that knows for each exchange whether a byte of the request was sent.
//!
//! The client of the HTTP library resends and pools on its own terms, and it reads no response
//! before the request body is sent. The request path must know when a connection is reused and
//! whether a failed request can have run, so it manages its connections itself.

mod body;
mod connection;
mod framing;
mod head;
mod pool;
mod upload;

pub(crate) use body::Body;
pub(crate) use connection::{Connection, Echo, Reply, Request};
pub(crate) use head::lists;
pub(crate) use pool::Pool;
pub(crate) use upload::Upload;

/// An exchange that brought no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No connection was made.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// No connection was made in time.
    #[error("no connection within the time allowed")]
    ConnectTimeout,
    /// The connection was closed before the first byte of the request was written.
    #[error("connection closed before the request was sent")]
    ClosedUnused,
    /// The server left before the first byte of the request was written.
    #[error("the server left before the request was sent")]
    Left,
    /// The connection broke in mid-exchange.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The response head cannot be used.
    #[error("{0}")]
    Head(#[from] head::Error),
    /// The response body cannot be used.
    #[error("{0}")]
    Body(#[from] framing::Error),
    /// The response names another exchange, or none where the sender always names it.
    #[error("response does not belong to this request")]
    WrongExchange,
    /// The end of the response body could not be told from a cut.
    #[error("response has neither a length nor chunks, so it cannot be checked for completeness")]
    Unframed,
    /// The response did not come in time.
    #[error("no response within the deadline")]
    Deadline,
    /// The response body made no progress.
    #[error("response body made no progress within the stall limit")]
    Stalled,
    /// The caller left or sent an incomplete body.
    #[error("caller ended its request before it was complete")]
    CallerGone,
    /// The request body exceeds the limit of the service.
    #[error("request body exceeds the limit of the service")]
    BodyTooLarge,
}

impl Failure {
    /// Returns whether a byte of the request can have reached the other side.
    pub(crate) fn sent(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::ConnectTimeout | Self::ClosedUnused | Self::Left)
    }

    /// Returns whether the failure is evidence against the server.
    pub(crate) fn blames_server(&self) -> bool {
        !matches!(self, Self::ClosedUnused | Self::Left | Self::CallerGone | Self::BodyTooLarge)
    }
}

//! Requests to nodes and backend servers, with the knowledge whether a byte of them was sent.
//!
//! `hyper` speaks HTTP/1.1 on one connection. Which connection is reused, and what a failure says
//! about the request, is decided here.

mod body;
mod connection;
mod pool;
mod upload;

pub(crate) use body::Body;
pub(crate) use connection::{Connection, Echo, Reply, Request, Terms};
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
    /// The request has no form in HTTP/1.1.
    #[error("request cannot be sent: {0}")]
    Request(String),
    /// The connection broke in mid-exchange, or the response is malformed.
    #[error("connection closed before the response was complete: {0}")]
    Closed(String),
    /// The response names another exchange, or none where the sender always names it.
    #[error("response does not belong to this request")]
    WrongExchange,
    /// The end of the response body could not be told from a cut.
    #[error("response has no single length or chunks, so it cannot be checked for completeness")]
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
    /// The request body, or a response that is read whole, exceeds its limit.
    #[error("body exceeds its limit")]
    BodyTooLarge,
}

impl Failure {
    /// Returns whether a byte of the request can have reached the other side.
    pub(crate) fn sent(&self) -> bool {
        !matches!(
            self,
            Self::Connect(_)
                | Self::ConnectTimeout
                | Self::ClosedUnused
                | Self::Left
                | Self::Request(_)
        )
    }

    /// Returns whether the failure is evidence against the server.
    pub(crate) fn blames_server(&self) -> bool {
        !matches!(
            self,
            Self::ClosedUnused
                | Self::Left
                | Self::Request(_)
                | Self::CallerGone
                | Self::BodyTooLarge
        )
    }
}

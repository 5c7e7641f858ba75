//! Sends requests to nodes and backend servers, and reports whether any byte of a request was sent.
//!
//! `hyper` implements HTTP/1.1 on one connection. This module decides which connection is reused
//! and what a failure means for the request.

mod body;
mod connection;
mod head_limit;
mod held;
mod pool;
#[cfg(test)]
mod tests;
mod upload;
mod used_ids;

pub(crate) use body::Body;
pub(crate) use connection::{
    Connection, Echo, ExchangeOptions, ReceivedResponse, Request, SilenceLimit,
};
pub(crate) use held::HeldBody;
pub(crate) use pool::Pool;
pub(crate) use upload::Upload;

/// The failure of an exchange.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No connection was established.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// No connection was established in time.
    #[error("no connection within the time allowed")]
    ConnectTimeout,
    /// The connection was closed before the first byte of the request was written.
    #[error("connection closed before the request was sent")]
    ClosedUnused,
    /// The server left before the first byte of the request was written.
    #[error("the server left before the request was sent")]
    Left,
    /// The deadline passed before the first byte of the request was written.
    #[error("the deadline passed before dispatch")]
    Expired,
    /// The request cannot be expressed in HTTP/1.1.
    #[error("request cannot be sent: {0}")]
    Request(String),
    /// The connection broke during the exchange, or the response is malformed.
    #[error("connection closed before the response was complete: {0}")]
    Closed(String),
    /// The response has another exchange id, or none although the sender always echoes it.
    #[error("response does not belong to this request")]
    WrongExchange,
    /// The response has a status that no final response has.
    #[error("response has the status {0}, which is none of a final response")]
    Status(u16),
    /// The end of the response body cannot be distinguished from a truncation.
    #[error("response has no single length or chunks, so it cannot be checked for completeness")]
    Unframed,
    /// The response head did not arrive in time.
    #[error("no response within the deadline")]
    Deadline,
    /// The response body made no progress for the stall timeout.
    #[error("response body made no progress within the stall limit")]
    Stalled,
    /// The reader of the response took nothing of it for the read timeout.
    #[error("response was not read within the read limit")]
    Unread,
    /// The reader of the response was slow, and the memory for bodies was needed for others.
    #[error("response was read too slowly while the memory for bodies was used up")]
    MemoryUsedUp,
    /// The caller disconnected or sent an incomplete body.
    #[error("caller ended its request before it was complete")]
    CallerGone,
    /// The request body, or a response that is buffered, exceeds its limit.
    #[error("body exceeds its limit")]
    BodyTooLarge,
}

impl Failure {
    /// Returns whether the other side may have received a byte of the request.
    pub(crate) fn sent(&self) -> bool {
        !matches!(
            self,
            Self::Connect(_)
                | Self::ConnectTimeout
                | Self::ClosedUnused
                | Self::Left
                | Self::Expired
                | Self::Request(_)
        )
    }

    /// Returns whether the failure is evidence against the server.
    pub(crate) fn blames_server(&self) -> bool {
        !matches!(
            self,
            Self::ClosedUnused
                | Self::Left
                | Self::Expired
                | Self::Request(_)
                | Self::CallerGone
                | Self::BodyTooLarge
        )
    }
}

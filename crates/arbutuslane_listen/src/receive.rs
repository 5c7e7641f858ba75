//! Receives whole messages into the memory for them.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::{Payload, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::{Bytes, BytesMut};

use arbutuslane_limit::memory::Reservation;

use crate::bodies::{Bodies, IncomingBody};
use crate::connections::{self, GaveWay, Request};

/// The largest message and the time in which it has to arrive.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The most bytes.
    pub limit: usize,
    /// The number of bytes that the sender stated, if it did.
    pub length: Option<u64>,
    /// The time.
    pub time: Duration,
}

/// A message and the memory that it uses.
#[derive(Debug)]
pub struct Received {
    /// The bytes of the message.
    pub bytes: Bytes,
    _memory: Reservation,
}

/// Why a message was not received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is larger than its limit.
    #[error("body is too large")]
    TooLarge,
    /// The sender closed the connection, sent too few bytes or framed them wrongly.
    #[error("{0}")]
    Incomplete(String),
    /// The message did not arrive in time.
    #[error("the body was not received in time")]
    Late,
    /// The memory or the connection is needed for others.
    #[error("the memory for messages is needed for others")]
    GaveWay,
}

impl Error {
    /// Returns the status of the response to the sender.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete(_) => StatusCode::BAD_REQUEST,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::GaveWay => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Receives a message.
///
/// # Errors
///
/// Fails if the message exceeds its bounds, is incomplete, or has to give way to others. A stated
/// length above the limit fails before anything is read.
pub async fn receive(
    bodies: &Arc<Bodies>,
    payload: &mut Payload,
    counted: Option<&Request>,
    bounds: Bounds,
) -> Result<Received, Error> {
    if bounds.length.is_some_and(|length| length > bounds.limit as u64) {
        return Err(Error::TooLarge);
    }
    if let Some(counted) = counted {
        counted.take_turn().await;
        *payload = counted.metered(payload.take());
    }
    let incoming = bodies.begin();
    let reading = incoming.unless_given_way(read(bodies, &incoming, payload, bounds.limit));
    let reading = connections::unless_given_way(counted, reading);
    let received = match timeout_checked(bounds.time, reading).await {
        Ok(Ok(Some(received))) => received?,
        Ok(Ok(None) | Err(GaveWay)) => return Err(Error::GaveWay),
        Err(()) => return Err(Error::Late),
    };
    match counted.is_none_or(|counted| counted.accept().is_ok()) {
        true => Ok(received),
        false => Err(Error::GaveWay),
    }
}

async fn read(
    bodies: &Bodies,
    incoming: &IncomingBody,
    payload: &mut Payload,
    limit: usize,
) -> Result<Received, Error> {
    let mut memory = bodies.memory().reserve();
    let mut bytes = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| Error::Incomplete(error.to_string()))?;
        let length = bytes.len() + chunk.len();
        if length > limit {
            return Err(Error::TooLarge);
        }
        while !memory.grow(chunk.len()) {
            if !incoming.make_room(length).await {
                return Err(Error::GaveWay);
            }
        }
        incoming.record(length);
        bytes.extend_from_slice(&chunk);
    }
    Ok(Received { bytes: bytes.freeze(), _memory: memory })
}

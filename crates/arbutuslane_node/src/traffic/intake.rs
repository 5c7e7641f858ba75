//! Reads the request bodies of callers and of other nodes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::{Payload, StatusCode};
use ntex::time::timeout_checked;

use arbutuslane_limit::memory::Memory;

use crate::cluster::keyed;

use super::client::{HeldBody, Upload};
use super::refusal::Refusal;

/// What a request body may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    /// The maximum size in bytes.
    pub(super) limit: u64,
    /// The size that the sender stated, if it did.
    pub(super) length: Option<u64>,
    /// The time in which the body has to arrive.
    pub(super) time: Duration,
}

/// Why a body was not read.
enum ReadError {
    TooLarge,
    /// The sender closed the connection, sent too few bytes or framed them wrongly.
    Incomplete,
}

/// Holds a body in `memory`, so that a slow sender occupies no slot of a server and the body can be
/// sent again. Streams the rest of the body when the memory is used up.
///
/// # Errors
///
/// Refuses a body that is larger than its limit, differs from its stated length or does not arrive
/// in time.
pub(super) async fn read_upload(
    memory: &Arc<Memory>,
    payload: Payload,
    bounds: Bounds,
) -> Result<Upload, Refusal> {
    if bounds.length.is_some_and(|length| length > bounds.limit) {
        return Err(body_too_large(bounds.limit));
    }
    if matches!(payload, Payload::None) {
        return Ok(Upload::Empty);
    }
    match timeout_checked(bounds.time, hold(memory, payload, bounds)).await {
        Ok(Ok(upload)) => Ok(upload),
        Ok(Err(ReadError::TooLarge)) => Err(body_too_large(bounds.limit)),
        Ok(Err(ReadError::Incomplete)) => Err(incomplete_body()),
        Err(()) => Err(late_body()),
    }
}

/// Reads a body until it ends or the memory is used up. The bytes that the fingerprint covers are
/// read in any case.
async fn hold(
    memory: &Arc<Memory>,
    mut payload: Payload,
    bounds: Bounds,
) -> Result<Upload, ReadError> {
    let mut body = HeldBody::new(memory);
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| ReadError::Incomplete)?;
        if (body.len() + chunk.len()) as u64 > bounds.limit {
            return Err(ReadError::TooLarge);
        }
        if body.push(&chunk) {
            continue;
        }
        body.push_unreserved(&chunk);
        if body.len() >= keyed::FINGERPRINT_BODY_BYTES {
            return Ok(Upload::stream(body, payload, bounds.length, bounds.limit));
        }
    }
    match bounds.length.is_none_or(|length| length == body.len() as u64) {
        true => Ok(Upload::Held(Rc::new(body))),
        false => Err(ReadError::Incomplete),
    }
}

fn body_too_large(limit: u64) -> Refusal {
    let error = format!("request body exceeds the {limit} bytes that the service allows");
    let remedy = "send a smaller body or raise the limit in the catalogue";
    Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, &error, remedy)
}

fn incomplete_body() -> Refusal {
    let remedy = "send as many bytes as the request states, in valid chunks";
    Refusal::rejected(StatusCode::BAD_REQUEST, "request body is incomplete", remedy)
}

fn late_body() -> Refusal {
    let remedy = "send the complete body within the deadline";
    let error = "request body did not arrive within the deadline";
    Refusal::rejected(StatusCode::REQUEST_TIMEOUT, error, remedy)
}

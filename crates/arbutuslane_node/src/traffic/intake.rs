//! Reads the request bodies of callers.

use std::time::Duration;

use ntex::http::{Payload, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::{Bytes, BytesMut};

use crate::cluster::keyed;

use super::client::Upload;
use super::refusal::Refusal;

/// The maximum size in bytes of a request body that is buffered so that it can be sent again.
const HELD_BYTES: u64 = 64 << 10;

/// Buffers a small body so that it can be sent again. Streams any other body after its first bytes,
/// which the fingerprint covers.
pub(super) async fn upload(
    limit: u64,
    mut payload: Payload,
    length: Option<u64>,
    remaining: Duration,
) -> Result<Upload, Refusal> {
    if length.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    if matches!(payload, Payload::None) {
        return Ok(Upload::Empty);
    }
    let held = length.is_some_and(|length| length <= HELD_BYTES);
    let enough = if held { usize::MAX } else { keyed::FINGERPRINT_BYTES };
    let reading = read_start(&mut payload, enough);
    let Ok(Ok((start, ended))) = timeout_checked(remaining, reading).await else {
        return Err(incomplete());
    };
    if start.len() as u64 > limit {
        return Err(too_large(limit));
    }
    if !ended {
        return Ok(Upload::stream(start, payload, length, limit));
    }
    match length.is_none_or(|length| length == start.len() as u64) {
        true => Ok(Upload::Whole(start)),
        false => Err(incomplete()),
    }
}

/// Reads a body until it ends or `enough` bytes have arrived; returns the bytes and whether the
/// body has ended.
async fn read_start(payload: &mut Payload, enough: usize) -> Result<(Bytes, bool), ()> {
    let mut start = BytesMut::new();
    while start.len() < enough {
        match payload.recv().await {
            Some(chunk) => start.extend_from_slice(&chunk.map_err(|_| ())?),
            None => return Ok((start.freeze(), true)),
        }
    }
    Ok((start.freeze(), false))
}

fn too_large(limit: u64) -> Refusal {
    let error = format!("request body exceeds the {limit} bytes that the service allows");
    let remedy = "send a smaller body or raise the limit in the catalogue";
    Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, &error, remedy)
}

fn incomplete() -> Refusal {
    let remedy = "send the complete body within the deadline";
    Refusal::rejected(StatusCode::BAD_REQUEST, "request body is incomplete", remedy)
}

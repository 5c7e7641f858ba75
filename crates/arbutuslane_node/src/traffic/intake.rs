//! Reads the request bodies of callers.

use std::time::Duration;

use ntex::http::{Payload, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::{Bytes, BytesMut};

use crate::cluster::keyed;

use super::client::Upload;
use super::refusal::Refusal;

/// The maximum size in bytes of a request body that is buffered so that it can be sent again.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Buffers a small body so that it can be sent again. Streams any other body after its first bytes,
/// which the fingerprint covers.
pub(super) async fn read_upload(
    limit: u64,
    mut payload: Payload,
    length: Option<u64>,
    remaining: Duration,
) -> Result<Upload, Refusal> {
    if length.is_some_and(|length| length > limit) {
        return Err(body_too_large(limit));
    }
    if matches!(payload, Payload::None) {
        return Ok(Upload::Empty);
    }
    let is_buffered = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
    let min_bytes = if is_buffered { usize::MAX } else { keyed::FINGERPRINT_BODY_BYTES };
    let reading = read_start(&mut payload, min_bytes);
    let Ok(Ok((prefix, has_ended))) = timeout_checked(remaining, reading).await else {
        return Err(incomplete_body());
    };
    if prefix.len() as u64 > limit {
        return Err(body_too_large(limit));
    }
    if !has_ended {
        return Ok(Upload::stream(prefix, payload, length, limit));
    }
    match length.is_none_or(|length| length == prefix.len() as u64) {
        true => Ok(Upload::Buffered(prefix)),
        false => Err(incomplete_body()),
    }
}

/// Reads a body until it ends or `min_bytes` bytes have arrived; returns the bytes and whether the
/// body has ended.
async fn read_start(payload: &mut Payload, min_bytes: usize) -> Result<(Bytes, bool), ()> {
    let mut prefix = BytesMut::new();
    while prefix.len() < min_bytes {
        match payload.recv().await {
            Some(chunk) => prefix.extend_from_slice(&chunk.map_err(|_| ())?),
            None => return Ok((prefix.freeze(), true)),
        }
    }
    Ok((prefix.freeze(), false))
}

fn body_too_large(limit: u64) -> Refusal {
    let error = format!("request body exceeds the {limit} bytes that the service allows");
    let remedy = "send a smaller body or raise the limit in the catalogue";
    Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, &error, remedy)
}

fn incomplete_body() -> Refusal {
    let remedy = "send the complete body within the deadline";
    Refusal::rejected(StatusCode::BAD_REQUEST, "request body is incomplete", remedy)
}

//! Reads request bodies of bounded size.

use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web;

/// Reads a whole request body. Returns status 400 when the body is incomplete and 413 when it is
/// larger than `limit` bytes.
pub(crate) async fn read(
    payload: &mut web::types::Payload,
    limit: usize,
) -> Result<BytesMut, StatusCode> {
    let mut bytes = BytesMut::new();
    while let Some(part) = payload.recv().await {
        let part = part.map_err(|_| StatusCode::BAD_REQUEST)?;
        if bytes.len() + part.len() > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

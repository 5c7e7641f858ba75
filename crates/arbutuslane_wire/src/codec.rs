//! The MessagePack encoding of messages between processes.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that could not be encoded or decoded.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The value has no MessagePack form.
    #[error("cannot encode message: {0}")]
    #[diagnostic(help("report this as a defect; the message type has no MessagePack form"))]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[error("cannot decode message: {0}")]
    #[diagnostic(help("check that all processes of the fleet run compatible releases"))]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes `value` with field names, so that later releases can add fields.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes a value that was encoded by [`encode`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}

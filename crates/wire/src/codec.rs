//! Encodes messages between daemons as MessagePack.

use serde::{Serialize, de::DeserializeOwned};

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Reason why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message cannot be represented as MessagePack.
    #[error("cannot encode a peer message: {0}; report this as a bug of the daemon")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[error("cannot decode a peer message: {0}; run the same release on all daemons")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message with field names, so that later releases can add fields.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message that was encoded by [`encode`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(bytes)?)
}

//! MessagePack between daemons.

use serde::{Serialize, de::DeserializeOwned};

/// Result of encoding and decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// A message that could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// Encoding failed.
    #[error("cannot encode a peer message: {0}; report this as a fault of the daemon")]
    Encode(#[from] rmp_serde::encode::Error),
    /// Decoding failed.
    #[error("cannot decode a peer message: {0}; run the same release on all daemons")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes with field names, so that releases may add fields.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes what [`encode`] made.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    Ok(rmp_serde::from_slice(bytes)?)
}

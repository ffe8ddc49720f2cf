//! Stored entries and the header of every answer.

use serde::{Deserialize, Serialize};

/// Carries the service's revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Revision of the whole store when the answer was made.
    #[serde(with = "super::int_string", default)]
    pub revision: u64,
}

/// One stored entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "super::base64_bytes", default)]
    pub value: Vec<u8>,
    /// Revision that created the key.
    #[serde(with = "super::int_string", default)]
    pub create_revision: u64,
    /// Revision that last wrote the key.
    #[serde(with = "super::int_string", default)]
    pub mod_revision: u64,
    /// Lease that the key ends with, zero for none.
    #[serde(with = "super::int_string", default)]
    pub lease: u64,
}

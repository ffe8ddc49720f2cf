//! Stored entries, and the header that every response contains.

use serde::{Deserialize, Serialize};

/// Header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Revision of the store at the time of the response.
    #[serde(with = "super::int_string", default)]
    pub revision: u64,
}

/// Entry of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key of the entry.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Value of the entry.
    #[serde(with = "super::base64_bytes", default)]
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    #[serde(with = "super::int_string", default)]
    pub create_revision: u64,
    /// Revision at which the key was last written.
    #[serde(with = "super::int_string", default)]
    pub mod_revision: u64,
    /// Lease with which the key expires; 0 for none.
    #[serde(with = "super::int_string", default)]
    pub lease: u64,
}

//! Messages of `POST /v3/kv/range`, which reads a range of keys.

use super::{KeyValue, ResponseHeader};
use serde::{Deserialize, Serialize};

/// Request for the entries in a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key of the range.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for `key` alone.
    #[serde(with = "super::base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// Lowest revision of the last write; entries that were not written since are left out.
    #[serde(with = "super::int_string", default)]
    pub min_mod_revision: u64,
}

/// Entries in the requested range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Header with the revision at which the range was read.
    pub header: ResponseHeader,
    /// Entries in key order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// The first key after all keys that start with `prefix`: the exclusive end of a range. A single zero byte, which
/// the protocol defines as the end of the key space, if there is no such key.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

//! `POST /v3/kv/range`: reads a range of keys.

use super::{KeyValue, ResponseHeader};
use serde::{Deserialize, Serialize};

/// Question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Key after the last one; empty for `key` alone.
    #[serde(with = "super::base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// Leaves out entries last written before this revision.
    #[serde(with = "super::int_string", default)]
    pub min_mod_revision: u64,
}

/// Answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Revision at which the range was read.
    pub header: ResponseHeader,
    /// Entries in key order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// The key after all keys that begin with `prefix`.
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

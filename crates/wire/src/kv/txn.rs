//! Messages of `POST /v3/kv/txn`, which writes entries if comparisons hold.

use super::ResponseHeader;
use serde::{Deserialize, Serialize};

/// Property of an entry that a comparison checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareTarget {
    /// Revision of the last write; 0 if the key does not exist.
    #[serde(rename = "MOD")]
    Mod,
}

/// Comparison that holds if the key was last written at `mod_revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Key of the entry.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Compared property.
    pub target: CompareTarget,
    /// Expected revision; 0 if the key must not exist.
    #[serde(with = "super::int_string")]
    pub mod_revision: u64,
}

/// Write of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key of the entry.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Value of the entry.
    #[serde(with = "super::base64_bytes")]
    pub value: Vec<u8>,
    /// Lease with which the key expires; 0 for none.
    #[serde(with = "super::int_string", default)]
    pub lease: u64,
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOp {
    /// Entry to write.
    pub request_put: PutRequest,
}

/// Request to write entries atomically if all comparisons hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to apply if they hold.
    pub success: Vec<RequestOp>,
}

impl TxnRequest {
    /// Adds the comparison that `key` was last written at `revision`, or does not exist if `revision` is 0.
    #[must_use]
    pub fn expect(mut self, key: &str, revision: u64) -> Self {
        self.compare.push(Compare { key: key.into(), target: CompareTarget::Mod, mod_revision: revision });
        self
    }

    /// Adds a write of `key`, attached to `lease`, or to none if that is 0.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>, lease: u64) -> Self {
        self.success.push(RequestOp { request_put: PutRequest { key: key.into(), value, lease } });
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Header with the revision of the write, or of the store if nothing was written.
    pub header: ResponseHeader,
    /// Whether all comparisons held, so that the operations were applied.
    #[serde(default)]
    pub succeeded: bool,
}

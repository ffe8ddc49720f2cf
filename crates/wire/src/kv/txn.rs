//! `POST /v3/kv/txn`: writes under comparisons.

use super::ResponseHeader;
use serde::{Deserialize, Serialize};

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareTarget {
    /// Revision of the last write; zero when the key does not exist.
    #[serde(rename = "MOD")]
    Mod,
}

/// Holds when the key was last written by `mod_revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Key.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// What is compared.
    pub target: CompareTarget,
    /// Expected revision.
    #[serde(with = "super::int_string")]
    pub mod_revision: u64,
}

/// Writes one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "super::base64_bytes")]
    pub value: Vec<u8>,
    /// Lease that the key ends with, zero for none.
    #[serde(with = "super::int_string", default)]
    pub lease: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOp {
    /// The entry to write.
    pub request_put: PutRequest,
}

/// Question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Written when they do.
    pub success: Vec<RequestOp>,
}

impl TxnRequest {
    /// Adds the condition that `key` was last written by `revision`, or does not exist when zero.
    #[must_use]
    pub fn expect(mut self, key: &str, revision: u64) -> Self {
        self.compare.push(Compare { key: key.into(), target: CompareTarget::Mod, mod_revision: revision });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: &str, value: Vec<u8>, lease: u64) -> Self {
        self.success.push(RequestOp { request_put: PutRequest { key: key.into(), value, lease } });
        self
    }
}

/// Answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the write, or of the store when nothing was written.
    pub header: ResponseHeader,
    /// Whether all comparisons held.
    #[serde(default)]
    pub succeeded: bool,
}

//! Messages of `POST /admin/v1/apply` and `GET /admin/v1/config`.

use pimentoslip_kernel::{ConfigRecord, RecordName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Configuration record of the site, of a service or of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBody {
    /// Name of the record.
    pub name: RecordName,
    /// Store revision at which the record was written; 0 in a request.
    #[serde(default)]
    pub revision: u64,
    /// Content of the record.
    pub record: ConfigRecord,
}

/// Requests that the site has exactly the given services and organisations; those that are not named are removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Id chosen by the operator's tool. A request with the id of an earlier change repeats that change.
    #[serde(rename = "change")]
    pub change_id: Arc<str>,
    /// Complete set of records that the site has after the change.
    pub records: Vec<RecordBody>,
}

/// Outcome of a change. The change is stored in any case; it is accepted once every daemon that may be running has
/// confirmed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Whether every daemon that may be running has confirmed the change. Otherwise it is pending.
    pub accepted: bool,
    /// Highest revision written, or the current revision if nothing changed.
    pub revision: u64,
    /// Number of records written.
    #[serde(rename = "changed")]
    pub changed_count: usize,
    /// Daemons that confirmed the change.
    pub confirmed: Vec<Arc<str>>,
    /// Daemons that did not respond in time; they refuse requests with keys until they have received the change.
    pub unconfirmed: Vec<Arc<str>>,
}

/// Configuration that the responding daemon applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Name of the responding daemon.
    pub daemon: Arc<str>,
    /// Highest revision of any record.
    pub revision: u64,
    /// Time in milliseconds since the daemon was last certain to have every accepted change; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Records, without the hashes of keys.
    pub records: Vec<RecordBody>,
}

//! `POST /admin/v1/apply` and `GET /admin/v1/config`.

use pimentoslip_kernel::{ConfigRecord, RecordName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBody {
    /// Name.
    pub name: RecordName,
    /// Revision that wrote it; zero in a request.
    #[serde(default)]
    pub revision: u64,
    /// Content.
    pub record: ConfigRecord,
}

/// Brings the site to the given records. Services and organisations that are not named are removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Chosen by the operator's tool; the same id again is the same change.
    #[serde(rename = "change")]
    pub change_id: Arc<str>,
    /// Wanted records.
    pub records: Vec<RecordBody>,
}

/// What became of a change. It is on record in any case; it is accepted once every daemon that may be
/// running holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Whether every daemon that may be running has confirmed. Otherwise the change is pending.
    pub accepted: bool,
    /// Highest revision written, or the one in force when nothing changed.
    pub revision: u64,
    /// Records written.
    #[serde(rename = "changed")]
    pub changed_count: usize,
    /// Daemons that confirmed the change.
    pub confirmed: Vec<Arc<str>>,
    /// Daemons that did not answer in time; they refuse keyed calls until they have caught up.
    pub unconfirmed: Vec<Arc<str>>,
}

/// The configuration in force in the daemon asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Daemon.
    pub daemon: Arc<str>,
    /// Highest revision of any record.
    pub revision: u64,
    /// Age of the daemon's knowledge in milliseconds.
    pub age_ms: Option<u64>,
    /// Records without key hashes.
    pub records: Vec<RecordBody>,
}

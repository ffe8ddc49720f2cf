//! Messages of `GET /load`, an engine's load report, which may be out of date.

use serde::{Deserialize, Serialize};

/// State of the engine at the time of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the engine is running.
    pub running: u64,
    /// Number of requests that wait for a slot.
    pub waiting: u64,
    /// Loaded weight version; `None` if the engine does not report it.
    #[serde(default)]
    pub version: Option<u64>,
    /// Whether the engine is shutting down and refuses new requests.
    #[serde(default)]
    pub leaving: bool,
}

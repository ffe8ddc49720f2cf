//! `GET /load`: an engine's lagging load report.

use serde::{Deserialize, Serialize};

/// What the engine was doing when it made the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u64,
    /// Requests waiting for a slot.
    pub waiting: u64,
    /// Weight version loaded.
    #[serde(default)]
    pub version: Option<u64>,
    /// Whether it was told to leave and refuses new work.
    #[serde(default)]
    pub leaving: bool,
}

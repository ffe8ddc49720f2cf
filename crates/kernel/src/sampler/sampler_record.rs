//! What an upstream says of itself in the platform's list.

use crate::SharedName;
use std::collections::BTreeMap;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SamplerState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes none.
    Leaving,
}

/// One upstream as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SamplerRecord {
    /// Id of its incarnation.
    pub id: SharedName,
    /// Service that it runs.
    pub service: SharedName,
    /// `ip:port`.
    pub address: SharedName,
    /// Failure domain.
    pub failure_domain: SharedName,
    /// Requests that it runs at a time.
    pub slots: u64,
    /// Whether it takes new work.
    pub state: SamplerState,
    /// Weight version by model.
    pub versions: BTreeMap<SharedName, u64>,
    /// Start of its process in milliseconds since the Unix epoch; tells incarnations with one id apart.
    pub started_unix_ms: u64,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
}

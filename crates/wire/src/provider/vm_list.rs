//! `GET /v1/vms`: the lagging list of live and leaving VMs.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A daemon of this service; the address is its control listener.
    Entry,
    /// An upstream.
    Upstream,
}

/// Standing of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// Told to stop, or about to be reclaimed.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name; for an entry VM, the daemon's name.
    pub name: Arc<str>,
    /// What runs on it.
    pub role: VmRole,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Service, for an upstream.
    #[serde(default)]
    pub service: Option<Arc<str>>,
    /// Whether it may be reclaimed.
    #[serde(default)]
    pub reclaimable: bool,
    /// Standing.
    pub state: VmState,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Entries, sorted by name.
    pub vms: Vec<VmEntry>,
}

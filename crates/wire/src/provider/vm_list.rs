//! Messages of `GET /v1/vms`, the list of live and leaving VMs, which may be out of date.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Process that runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A daemon of this service; the VM's address is that of its control listener.
    Entry,
    /// An upstream.
    Upstream,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM was ordered to stop, or is about to be reclaimed.
    Leaving,
}

/// Listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM; on an entry VM also the name of its daemon.
    pub name: Arc<str>,
    /// Process that runs on the VM.
    pub role: VmRole,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// Address of the process, `ip:port`.
    pub address: Arc<str>,
    /// Service of an upstream; `None` for a daemon.
    #[serde(default)]
    pub service: Option<Arc<str>>,
    /// Whether the platform may reclaim the VM at any time.
    #[serde(default)]
    pub reclaimable: bool,
    /// State of the VM.
    pub state: VmState,
}

/// List of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Listed VMs, sorted by name.
    pub vms: Vec<VmEntry>,
}

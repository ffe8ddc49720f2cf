//! A daemon as it signs what it owns.

use pimentoslip_kernel::{OwnerRecord, SharedName};
use serde::{Deserialize, Serialize};

/// Stands under presence, ownership and duty keys, all of which hang on the daemon's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// Daemon.
    pub daemon: SharedName,
    /// Start of its process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl DaemonEntry {
    /// The owner, as written at `revision`.
    #[must_use]
    pub fn into_owner(self, revision: u64) -> OwnerRecord {
        OwnerRecord { daemon: self.daemon, incarnation: self.incarnation, revision }
    }
}

/// A daemon's presence. Others may hang an ownership record on its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceEntry {
    /// Start of its process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its lease.
    pub lease: u64,
    /// Address for other daemons, `ip:port`.
    #[serde(rename = "control")]
    pub control_address: SharedName,
    /// Failure domain of its VM.
    pub failure_domain: SharedName,
    /// Region of its VM.
    pub region: SharedName,
}

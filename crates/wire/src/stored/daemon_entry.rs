//! Entries by which a daemon shows its presence and marks what it owns.

use pimentoslip_kernel::{OwnerRecord, SharedName};
use serde::{Deserialize, Serialize};

/// Owner of a job or of the duty. All entries of this type are attached to the owner's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// Name of the daemon.
    pub daemon: SharedName,
    /// Start of the daemon's process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl DaemonEntry {
    /// Owner record of an entry that was written at `revision`.
    #[must_use]
    pub fn into_owner(self, revision: u64) -> OwnerRecord {
        OwnerRecord { daemon: self.daemon, incarnation: self.incarnation, revision }
    }
}

/// Presence of a daemon. Other daemons may attach an ownership entry to its lease, to make it the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceEntry {
    /// Start of the daemon's process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Id of the daemon's lease.
    pub lease: u64,
    /// Address for calls from other daemons, `ip:port`.
    #[serde(rename = "control")]
    pub control_address: SharedName,
    /// Failure domain of the daemon's VM.
    pub failure_domain: SharedName,
    /// Region of the daemon's VM.
    pub region: SharedName,
    /// Token by which other daemons recognise its calls; empty for a daemon that relays none.
    #[serde(default = "no_token")]
    pub relay_token: SharedName,
}

/// Token of daemons of earlier releases.
fn no_token() -> SharedName {
    "".into()
}

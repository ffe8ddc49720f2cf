//! Stored mark of a crash.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};

/// Where a crash was observed. The key names the request and the process that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Daemon that observed the crash.
    pub daemon: SharedName,
    /// Time of the observation in milliseconds since the Unix epoch.
    pub observed_unix_ms: u64,
    /// When the request was sent to the process, in milliseconds since the Unix epoch; absent from daemons of an earlier
    /// release.
    #[serde(default)]
    pub sent_unix_ms: Option<u64>,
    /// Whether only the list of upstreams shows the crash; absent from daemons of an earlier release.
    #[serde(default)]
    pub inferred: bool,
}

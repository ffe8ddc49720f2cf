//! What a daemon runs, for the one that orders loads of weights.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Sent several times a second while the daemon runs items of batch jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Sender.
    pub daemon: SharedName,
    /// Its runs at each upstream; idle ones are left out.
    pub runs: BTreeMap<SharedName, u64>,
}

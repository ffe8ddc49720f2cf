//! Report of a daemon's running items, for the daemon that orders upstreams to load weights.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of running items at each upstream. Sent several times a second while the daemon runs items of batch jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the reporting daemon.
    pub daemon: SharedName,
    /// Number of the daemon's runs by upstream; upstreams without runs are left out.
    pub runs: BTreeMap<SharedName, u64>,
}

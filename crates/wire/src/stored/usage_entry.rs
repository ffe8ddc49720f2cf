//! Requests by organisation in one window.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of one daemon, or the sealed counts of all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Requests begun, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

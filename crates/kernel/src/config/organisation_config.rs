//! Settings of one organisation.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// An `[organisations.NAME]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// Share of contended capacity relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// Services that it may call.
    pub services: Vec<SharedName>,
}

fn default_weight() -> u64 {
    1
}

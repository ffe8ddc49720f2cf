//! Settings of an organisation.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Settings in an `[organisations.NAME]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// The organisation's share of contended capacity, relative to the weights of other organisations.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// Names of the services that the organisation may call.
    pub services: Vec<SharedName>,
}

fn default_weight() -> u64 {
    1
}

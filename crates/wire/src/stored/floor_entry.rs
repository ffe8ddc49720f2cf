//! The committed floor of a service.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Standing upstreams that ran when the service first had work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorEntry {
    /// Number in each failure domain.
    pub standing: BTreeMap<SharedName, u64>,
}

//! Number of a service's upstreams that are always kept.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Standing upstreams that ran when the service first had demand; that many are always kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorEntry {
    /// Number of standing upstreams by failure domain.
    pub standing: BTreeMap<SharedName, u64>,
}

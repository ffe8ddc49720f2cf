//! Regions of the failure domains.

use crate::SharedName;
use std::collections::BTreeMap;

/// Region of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct RegionMap {
    regions: BTreeMap<SharedName, SharedName>,
}

impl RegionMap {
    /// Creates a map from failure domains to their regions.
    #[must_use]
    pub fn new(regions: BTreeMap<SharedName, SharedName>) -> Self {
        Self { regions }
    }

    /// Region of `failure_domain`; empty if it is not known.
    #[must_use]
    pub fn region(&self, failure_domain: &str) -> SharedName {
        self.regions.get(failure_domain).cloned().unwrap_or_else(|| "".into())
    }
}

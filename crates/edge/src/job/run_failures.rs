//! Upstreams at which runs of an item have failed, so that its next run goes elsewhere.

use pimentoslip_kernel::SharedName;
use std::collections::BTreeMap;

/// Upstreams that have failed an item since it was last tried at all of them, by the index of the item.
#[derive(Debug, Default)]
pub struct RunFailures {
    upstreams: BTreeMap<usize, Vec<SharedName>>,
}

impl RunFailures {
    /// Records that a run of the item has failed at `upstream`.
    pub fn run_failed(&mut self, item_index: usize, upstream: SharedName) {
        self.upstreams.entry(item_index).or_default().push(upstream);
    }

    /// The upstreams that the next run of the item avoids.
    #[must_use]
    pub fn upstreams(&self, item_index: usize) -> Vec<SharedName> {
        self.upstreams.get(&item_index).cloned().unwrap_or_default()
    }

    /// Lets the item run at any upstream again.
    pub fn forget(&mut self, item_index: usize) {
        self.upstreams.remove(&item_index);
    }
}

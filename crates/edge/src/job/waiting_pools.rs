//! Upstreams that the items of a job wait for.

use pimentoslip_kernel::{ItemPool, SharedName, TimePoint};
use std::collections::BTreeSet;

/// What the items of a job wait for. Newer jobs of its route get no room there before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingPools {
    /// When the job was submitted.
    pub submitted_at: TimePoint,
    /// Whether items wait that have not been tried, or are tried again, at some upstream.
    pub has_untried: bool,
    /// Services and models of the upstreams that items wait for.
    pub targets: BTreeSet<(SharedName, Option<SharedName>)>,
}

impl WaitingPools {
    /// Whether items of the job wait for upstreams that an item of `pool` could be run by. Whatever the software of a text, its
    /// item waits for the same slots.
    #[must_use]
    pub fn contains(&self, pool: &ItemPool) -> bool {
        self.has_untried || self.targets.contains(&(pool.service.clone(), pool.model.clone()))
    }
}

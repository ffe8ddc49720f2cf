//! What one round of dispatching a job's items has found out about the upstreams.

use pimentoslip_kernel::{ItemPool, SharedName};
use std::collections::BTreeSet;

/// Pools that have no room in the present round of passes over a job. A round ends when nothing more can be started, so that
/// each pool is tried once in a round, however many items wait for it.
#[derive(Debug, Default)]
pub struct DispatchRound {
    /// Pools whose items cannot be run now.
    full_pools: BTreeSet<ItemPool>,
    /// Services that cannot score now; `None` stands for scorers without a route.
    full_scorers: BTreeSet<Option<SharedName>>,
    /// Pools for which no upstream was there when they were last tried, also in earlier rounds.
    unserved_pools: BTreeSet<ItemPool>,
    /// Version of the configuration by which the pools were chosen.
    config_version: Option<u64>,
}

impl DispatchRound {
    /// Handles the version of the configuration at the begin of a pass. Returns whether it is a new one, by which the pools are
    /// chosen again.
    pub fn config_read(&mut self, version: Option<u64>) -> bool {
        let is_new = self.config_version != version;
        if is_new {
            *self = Self { config_version: version, ..Self::default() };
        }
        is_new
    }

    /// Whether the items of `pool` are passed over in this round.
    #[must_use]
    pub fn is_full(&self, pool: &ItemPool) -> bool {
        self.full_pools.contains(pool)
    }

    /// Records that the items of `pool` cannot be run now.
    pub fn pool_full(&mut self, pool: ItemPool) {
        self.full_pools.insert(pool);
    }

    /// Records whether there is an upstream for `pool`, with room or without.
    pub fn pool_served(&mut self, pool: &ItemPool, is_served: bool) {
        if is_served {
            self.unserved_pools.remove(pool);
        } else {
            self.unserved_pools.insert(pool.clone());
        }
    }

    /// Whether no upstream was there for `pool` when it was last tried.
    #[must_use]
    pub fn is_unserved(&self, pool: &ItemPool) -> bool {
        self.unserved_pools.contains(pool)
    }

    /// Whether items to be scored by `service` are passed over in this round; see [`Self::scorer_full`].
    #[must_use]
    pub fn is_scorer_full(&self, service: &Option<SharedName>) -> bool {
        self.full_scorers.contains(service)
    }

    /// Records that `service` cannot score now, or, with `None`, that there are scorers without a route.
    pub fn scorer_full(&mut self, service: Option<SharedName>) {
        self.full_scorers.insert(service);
    }

    /// Ends the round: all pools are tried again.
    pub fn end(&mut self) {
        self.full_pools.clear();
        self.full_scorers.clear();
    }
}

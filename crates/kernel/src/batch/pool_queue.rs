//! Queue whose entries wait for different pools of upstreams.

use std::collections::{BTreeMap, BTreeSet};

/// Entries in their order, by the pool that an entry is known to wait for: a pool without room holds up only its own entries, and
/// is passed over without a look at each of them. New entries wait for no known pool.
#[derive(Clone, Debug)]
pub struct PoolQueue<P, T> {
    by_pool: BTreeMap<Option<P>, BTreeSet<T>>,
}

impl<P, T> Default for PoolQueue<P, T> {
    fn default() -> Self {
        Self { by_pool: BTreeMap::new() }
    }
}

impl<P: Clone + Ord, T: Copy + Ord> PoolQueue<P, T> {
    /// Adds an entry that waits for `pool`; `None` if that is not known.
    pub fn insert(&mut self, entry: T, pool: Option<P>) {
        self.by_pool.entry(pool).or_default().insert(entry);
    }

    /// Removes an entry, if it is queued.
    pub fn remove(&mut self, entry: &T) {
        self.by_pool.retain(|_, entries| {
            entries.remove(entry);
            !entries.is_empty()
        });
    }

    /// Handles a change of what the entries need: none waits for a known pool any more.
    pub fn forget_pools(&mut self) {
        let entries: BTreeSet<T> = std::mem::take(&mut self.by_pool).into_values().flatten().collect();
        if !entries.is_empty() {
            self.by_pool.insert(None, entries);
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.by_pool.clear();
    }

    /// Removes and returns the first of the entries that are ready and wait for no full pool.
    pub fn take_first(&mut self, is_full: impl Fn(&P) -> bool, is_ready: impl Fn(&T) -> bool) -> Option<T> {
        let open = self.by_pool.iter().filter(|(pool, _)| !pool.as_ref().is_some_and(&is_full));
        let first = *open.filter_map(|(_, entries)| entries.iter().find(|entry| is_ready(entry))).min()?;
        self.remove(&first);
        Some(first)
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_pool.values().map(BTreeSet::len).sum()
    }

    /// Number of entries that wait for `pool`, or for no known one.
    #[must_use]
    pub fn len_for(&self, pool: P) -> usize {
        [None, Some(pool)].iter().filter_map(|pool| self.by_pool.get(pool)).map(BTreeSet::len).sum()
    }

    /// The pools that entries wait for; `None` stands for one that is not known.
    pub fn pools(&self) -> impl Iterator<Item = Option<&P>> {
        self.by_pool.keys().map(Option::as_ref)
    }
}

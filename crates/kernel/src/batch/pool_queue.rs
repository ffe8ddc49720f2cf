//! Queue whose entries wait for different pools of upstreams.

use std::collections::{BTreeMap, BTreeSet};

/// Entries in their order, by the pool that an entry is known to wait for: a pool without room holds up only its own entries, and
/// is passed over without a look at each of them. New entries wait for no known pool.
#[derive(Clone, Debug)]
pub struct PoolQueue<P, T> {
    lanes: BTreeMap<Option<P>, BTreeSet<T>>,
}

impl<P, T> Default for PoolQueue<P, T> {
    fn default() -> Self {
        Self { lanes: BTreeMap::new() }
    }
}

impl<P: Clone + Ord, T: Copy + Ord> PoolQueue<P, T> {
    /// Adds an entry that waits for `pool`; `None` if that is not known.
    pub fn insert(&mut self, entry: T, pool: Option<P>) {
        self.lanes.entry(pool).or_default().insert(entry);
    }

    /// Removes an entry, if it is queued.
    pub fn remove(&mut self, entry: &T) {
        self.lanes.retain(|_, lane| {
            lane.remove(entry);
            !lane.is_empty()
        });
    }

    /// Handles a change of what the entries need: none waits for a known pool any more.
    pub fn forget_pools(&mut self) {
        let entries: BTreeSet<T> = std::mem::take(&mut self.lanes).into_values().flatten().collect();
        if !entries.is_empty() {
            self.lanes.insert(None, entries);
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.lanes.clear();
    }

    /// Removes and returns the first of the entries that are ready and wait for no full pool.
    pub fn take_first(&mut self, is_full: impl Fn(&P) -> bool, is_ready: impl Fn(&T) -> bool) -> Option<T> {
        let open = self.lanes.iter().filter(|(pool, _)| !pool.as_ref().is_some_and(&is_full));
        let first = *open.filter_map(|(_, lane)| lane.iter().find(|entry| is_ready(entry))).min()?;
        self.remove(&first);
        Some(first)
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(BTreeSet::len).sum()
    }

    /// Number of entries that wait for `pool`, or for no known one.
    #[must_use]
    pub fn len_for(&self, pool: P) -> usize {
        [None, Some(pool)].iter().filter_map(|pool| self.lanes.get(pool)).map(BTreeSet::len).sum()
    }

    /// The pools that entries wait for; `None` stands for one that is not known.
    pub fn pools(&self) -> impl Iterator<Item = Option<&P>> {
        self.lanes.keys().map(Option::as_ref)
    }
}

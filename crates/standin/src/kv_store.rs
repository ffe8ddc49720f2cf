//! Contents of the key-value stand-in: entries with revisions, and leases.

use pimentoslip_wire::kv::{KeyValue, PutRequest, RangeRequest, TxnRequest};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// A granted lease.
#[derive(Clone, Copy, Debug)]
struct StoredLease {
    ttl: Duration,
    deadline: Instant,
}

/// Entries by key and leases by id. Every transaction that writes and every ended lease increments the revision.
#[derive(Debug, Default)]
pub struct KvStore {
    revision: u64,
    entries: BTreeMap<Vec<u8>, KeyValue>,
    leases: HashMap<u64, StoredLease>,
    /// Id of the lease granted last.
    last_lease: u64,
}

impl KvStore {
    /// Revision of the newest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries in the requested range that were modified at or after its minimum revision.
    #[must_use]
    pub fn range(&self, request: &RangeRequest) -> Vec<KeyValue> {
        self.entries
            .range(request.key.clone()..)
            .take_while(|(key, _)| in_range(key, request))
            .filter(|(_, entry)| entry.mod_revision >= request.min_mod_revision)
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Applies the writes of a transaction if all its comparisons succeed and all its leases exist. Returns whether they
    /// were applied.
    pub fn commit(&mut self, txn: &TxnRequest) -> bool {
        let compared = txn.compare.iter().all(|compare| {
            self.entries.get(&compare.key).map_or(0, |entry| entry.mod_revision) == compare.mod_revision
        });
        let leases_exist =
            txn.success.iter().all(|op| op.request_put.lease == 0 || self.leases.contains_key(&op.request_put.lease));
        if !compared || !leases_exist {
            return false;
        }
        if !txn.success.is_empty() {
            self.revision += 1;
        }
        for op in &txn.success {
            self.put(&op.request_put);
        }
        true
    }

    /// Grants a lease with the lifetime `ttl` and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, StoredLease { ttl, deadline: now + ttl });
        self.last_lease
    }

    /// Renews a lease. Returns its lifetime, or `None` if it does not exist.
    pub fn keep_alive(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let stored = self.leases.get_mut(&lease)?;
        stored.deadline = now + stored.ttl;
        Some(stored.ttl)
    }

    /// Ends a lease and deletes its entries.
    pub fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.entries.retain(|_, entry| entry.lease != lease);
        }
    }

    /// Revokes every lease whose deadline has passed.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.deadline <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    fn put(&mut self, put: &PutRequest) {
        let revision = self.revision;
        let entry = self.entries.entry(put.key.clone()).or_insert_with(|| KeyValue {
            key: put.key.clone(),
            create_revision: revision,
            ..KeyValue::default()
        });
        entry.value.clone_from(&put.value);
        entry.mod_revision = revision;
        entry.lease = put.lease;
    }
}

/// Whether `key` is in the requested range: an empty range end means the single key, a zero byte means no upper bound.
fn in_range(key: &[u8], request: &RangeRequest) -> bool {
    if request.range_end.is_empty() {
        return key == request.key;
    }
    request.range_end == [0] || key < request.range_end.as_slice()
}

//! The key-value stand-in's data.

use pimentoslip_wire::kv::{KeyValue, PutRequest, RangeRequest, TxnRequest};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// One lease.
#[derive(Clone, Copy, Debug)]
struct StoredLease {
    ttl: Duration,
    deadline: Instant,
}

/// Keys, leases, and a revision that every write raises.
#[derive(Debug, Default)]
pub struct KvStore {
    revision: u64,
    entries: BTreeMap<Vec<u8>, KeyValue>,
    leases: HashMap<u64, StoredLease>,
    next_lease: u64,
}

impl KvStore {
    /// Revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries in the asked range.
    #[must_use]
    pub fn range(&self, question: &RangeRequest) -> Vec<KeyValue> {
        self.entries
            .range(question.key.clone()..)
            .take_while(|(key, _)| in_range(key, question))
            .filter(|(_, entry)| entry.mod_revision >= question.min_mod_revision)
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Writes when all comparisons hold; true when it did.
    pub fn commit(&mut self, txn: &TxnRequest) -> bool {
        let holds = txn.compare.iter().all(|compare| {
            self.entries.get(&compare.key).map_or(0, |entry| entry.mod_revision) == compare.mod_revision
        });
        let leased =
            txn.success.iter().all(|op| op.request_put.lease == 0 || self.leases.contains_key(&op.request_put.lease));
        if !holds || !leased {
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

    /// Grants a lease of `ttl`.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, StoredLease { ttl, deadline: now + ttl });
        self.next_lease
    }

    /// Renews a lease; its lifetime, or None when it is gone.
    pub fn keep_alive(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let stored = self.leases.get_mut(&lease)?;
        stored.deadline = now + stored.ttl;
        Some(stored.ttl)
    }

    /// Ends a lease and its keys.
    pub fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.entries.retain(|_, entry| entry.lease != lease);
        }
    }

    /// Ends every lease past its deadline.
    pub fn expire_leases(&mut self, now: Instant) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.deadline <= now).map(|(id, _)| *id).collect();
        for lease in over {
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

fn in_range(key: &[u8], question: &RangeRequest) -> bool {
    if question.range_end.is_empty() {
        return key == question.key;
    }
    question.range_end == [0] || key < question.range_end.as_slice()
}

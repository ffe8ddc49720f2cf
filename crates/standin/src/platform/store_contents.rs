//! In-memory contents of the platform's store: entries, their history, and leases.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A stored value with its revisions.
#[derive(Clone)]
struct StoredEntry {
    value: Vec<u8>,
    /// Revision of the last write.
    revision: u64,
    /// Revision of the first write since the key was last removed.
    created_revision: u64,
    /// Lease that the entry belongs to, zero for none.
    lease: u64,
}

/// Entries by key, with the history of their changes and the leases that they belong to.
#[derive(Default)]
pub struct StoreContents {
    revision: u64,
    entries: BTreeMap<String, StoredEntry>,
    /// Changes in order, each with its revision and its JSON form.
    history: Vec<(u64, Value)>,
    /// Revision through which the history was discarded.
    discarded_through: u64,
    /// Lifetime and expiry of each lease, by id.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// JSON form of an entry in responses.
fn entry_json(key: &str, entry: &StoredEntry) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&entry.value), "revision": entry.revision,
        "createdRev": entry.created_revision, "lease": entry.lease,
    })
}

impl StoreContents {
    /// Current revision. Every write, removal, successful commit and lease grant increments it.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes an entry at a new revision. A `lease` of zero means none.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    /// Removes an entry at a new revision.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.delete(key);
    }

    /// Writes an entry at the current revision.
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created_revision = self.entries.get(key).map_or(self.revision, |entry| entry.created_revision);
        let entry = StoredEntry { value, revision: self.revision, created_revision, lease };
        self.history.push((self.revision, entry_json(key, &entry)));
        self.entries.insert(key.to_owned(), entry);
    }

    /// Removes an entry at the current revision, if it exists.
    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push((self.revision, event));
        }
    }

    /// Value of `key`, or `None` if it does not exist.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    /// JSON form of the entry of `key`, or `None` if it does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|entry| entry_json(key, entry))
    }

    /// JSON forms of the entries whose keys start with `prefix` and sort after `after`.
    #[must_use]
    pub fn range(&self, prefix: &str, after: &str) -> Vec<Value> {
        let matching = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        matching.map(|(key, entry)| entry_json(key, entry)).collect()
    }

    /// Changes after `revision` to keys that start with `prefix`, in their JSON form.
    #[must_use]
    pub fn changes_after(&self, prefix: &str, revision: u64) -> Vec<Value> {
        let later = self.history.iter().filter(|(changed_at, _)| *changed_at > revision);
        let matching = later.filter(|(_, event)| event["key"].as_str().is_some_and(|key| key.starts_with(prefix)));
        matching.map(|(_, event)| event.clone()).collect()
    }

    /// Whether the history has all changes after `revision`.
    #[must_use]
    pub fn has_changes_after(&self, revision: u64) -> bool {
        revision >= self.discarded_through
    }

    /// Discards the history of all changes so far.
    pub fn discard_history(&mut self) {
        self.discarded_through = self.revision;
        self.history.clear();
    }

    /// Applies the writes and removals of a commit if all expected revisions match.
    ///
    /// Returns the new revision. If an expectation fails, nothing is written, and the error holds the current entries
    /// of the expected keys.
    pub fn commit(&mut self, commit: &Value) -> Result<u64, Vec<Value>> {
        let rows = |name: &str| commit[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let expected = rows("expected");
        let matches = expected.iter().all(|row| {
            let revision = self.entries.get(&key(row)).map_or(0, |entry| entry.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !matches {
            return Err(expected.iter().filter_map(|row| self.get(&key(row))).collect());
        }
        self.revision += 1;
        for row in rows("puts") {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default()).unwrap_or_default();
            self.write(&key(&row), value, row["lease"].as_u64().unwrap_or(0));
        }
        for row in rows("remove") {
            self.delete(row.as_str().unwrap_or_default());
        }
        Ok(self.revision)
    }

    /// Whether all leases that a commit names exist.
    #[must_use]
    pub fn has_leases(&self, commit: &Value) -> bool {
        let puts = commit["puts"].as_array().cloned().unwrap_or_default();
        puts.iter().filter_map(|row| row["lease"].as_u64()).all(|lease| lease == 0 || self.leases.contains_key(&lease))
    }

    /// Grants a lease with the lifetime `ttl` and returns its id, which is the new revision.
    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, (ttl, now + ttl));
        self.revision
    }

    /// Renews a lease. Returns `false` if it has ended.
    pub fn renew_lease(&mut self, lease: u64, now: Instant) -> bool {
        let Some((ttl, end)) = self.leases.get_mut(&lease) else { return false };
        *end = now + *ttl;
        true
    }

    /// Ends a lease and removes its entries.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.entries.iter().filter(|(_, entry)| entry.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    /// Ends the leases whose lifetime is over.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

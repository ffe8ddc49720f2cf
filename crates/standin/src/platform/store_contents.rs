//! The entries of the store, their history and their leases, in memory.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Entries by key.
#[derive(Default)]
pub struct StoreContents {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    history: Vec<(u64, Value)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

fn shown(key: &str, entry: &Entry) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&entry.value), "revision": entry.revision,
        "createdRev": entry.created, "lease": entry.lease,
    })
}

impl StoreContents {
    /// Revision of the newest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes an entry.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.erase(key);
    }

    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.entries.get(key).map_or(self.revision, |entry| entry.created);
        let entry = Entry { value, revision: self.revision, created, lease };
        self.history.push((self.revision, shown(key, &entry)));
        self.entries.insert(key.to_owned(), entry);
    }

    fn erase(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push((self.revision, event));
        }
    }

    /// The value of `key`.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    /// One entry as it is shown.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|entry| shown(key, entry))
    }

    /// Entries below `prefix` after the key `after`.
    #[must_use]
    pub fn range(&self, prefix: &str, after: &str) -> Vec<Value> {
        let below = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        below.map(|(key, entry)| shown(key, entry)).collect()
    }

    /// Changes below `prefix` after `revision`.
    #[must_use]
    pub fn changes_after(&self, prefix: &str, revision: u64) -> Vec<Value> {
        let later = self.history.iter().filter(|(at, _)| *at > revision);
        let below = later.filter(|(_, event)| event["key"].as_str().is_some_and(|key| key.starts_with(prefix)));
        below.map(|(_, event)| event.clone()).collect()
    }

    /// All-or-nothing writes under conditions: the revision, or the entries of the conditions.
    pub fn commit(&mut self, commit: &Value) -> Result<u64, Vec<Value>> {
        let rows = |name: &str| commit[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let expected = rows("expected");
        let holds = expected.iter().all(|row| {
            let revision = self.entries.get(&key(row)).map_or(0, |entry| entry.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !holds {
            return Err(expected.iter().filter_map(|row| self.get(&key(row))).collect());
        }
        self.revision += 1;
        for row in rows("puts") {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default()).unwrap_or_default();
            self.write(&key(&row), value, row["lease"].as_u64().unwrap_or(0));
        }
        for row in rows("remove") {
            self.erase(row.as_str().unwrap_or_default());
        }
        Ok(self.revision)
    }

    /// Whether all leases that a commit names hold.
    #[must_use]
    pub fn has_leases(&self, commit: &Value) -> bool {
        let puts = commit["puts"].as_array().cloned().unwrap_or_default();
        puts.iter().filter_map(|row| row["lease"].as_u64()).all(|lease| lease == 0 || self.leases.contains_key(&lease))
    }

    /// Takes a lease.
    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, (ttl, now + ttl));
        self.revision
    }

    /// Renews a lease. False if it has ended.
    pub fn renew_lease(&mut self, lease: u64, now: Instant) -> bool {
        let Some((ttl, ends)) = self.leases.get_mut(&lease) else { return false };
        *ends = now + *ttl;
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
            self.erase(&key);
        }
    }

    /// Ends the leases whose time is over.
    pub fn expire_leases(&mut self, now: Instant) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, (_, ends))| *ends <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

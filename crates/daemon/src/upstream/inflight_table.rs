//! Tracks which requests are in flight on each upstream.

use pimentoslip_kernel::SharedName;
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// Fingerprints of the requests in flight, by upstream address. Identifies the requests that an upstream was running
/// when it crashed.
#[derive(Debug, Default)]
pub struct InflightTable {
    /// Fingerprints by upstream address; a fingerprint is repeated if the request is in flight more than once.
    by_address: Mutex<HashMap<SharedName, Vec<u64>>>,
}

impl InflightTable {
    /// Records that a request was started on the upstream at `address`.
    pub fn request_started(&self, address: &SharedName, fingerprint: u64) {
        let mut by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        by_address.entry(address.clone()).or_default().push(fingerprint);
    }

    /// Records that a request on the upstream at `address` has ended.
    pub fn request_ended(&self, address: &SharedName, fingerprint: u64) {
        let mut by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(fingerprints) = by_address.get_mut(address) else { return };
        if let Some(index) = fingerprints.iter().position(|other| *other == fingerprint) {
            fingerprints.swap_remove(index);
        }
        if fingerprints.is_empty() {
            by_address.remove(address);
        }
    }

    /// Fingerprints of the requests in flight on the upstream at `address`, without duplicates.
    #[must_use]
    pub fn distinct_fingerprints(&self, address: &SharedName) -> Vec<u64> {
        let by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fingerprints = by_address.get(address).cloned().unwrap_or_default();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }
}

//! Which requests are in flight on which upstream.

use pimentoslip_kernel::SharedName;
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// Fingerprints by the upstream's address, to find out which requests were running when it died.
#[derive(Debug, Default)]
pub struct InflightTable {
    running: Mutex<HashMap<SharedName, Vec<u64>>>,
}

impl InflightTable {
    /// A request begins.
    pub fn request_started(&self, address: &SharedName, fingerprint: u64) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.entry(address.clone()).or_default().push(fingerprint);
    }

    /// A request ended.
    pub fn request_ended(&self, address: &SharedName, fingerprint: u64) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(fingerprints) = running.get_mut(address) else { return };
        if let Some(at) = fingerprints.iter().position(|known| *known == fingerprint) {
            fingerprints.swap_remove(at);
        }
        if fingerprints.is_empty() {
            running.remove(address);
        }
    }

    /// Different requests in flight.
    #[must_use]
    pub fn distinct_fingerprints(&self, address: &SharedName) -> Vec<u64> {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fingerprints = running.get(address).cloned().unwrap_or_default();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }
}

//! View of the store in which upstreams have other addresses, such as those of relays.

use super::platform_store::StoreState;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::Value;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

/// Prefix of the keys at which upstreams are listed.
const UPSTREAM_PREFIX: &str = "servers/";

/// Addresses of upstreams as one address of the store lists them.
pub struct StoreView {
    pub(super) state: Arc<StoreState>,
    /// Listed addresses, by the upstreams' own.
    addresses: Mutex<HashMap<String, String>>,
    /// Prefix whose ranges are not answered.
    held_prefix: Mutex<Option<&'static str>>,
}

impl StoreView {
    pub(super) fn new(state: Arc<StoreState>) -> Self {
        Self { state, addresses: Mutex::default(), held_prefix: Mutex::default() }
    }

    /// Lists the upstream at `own` with the address `listed` from now on.
    pub fn list_at(&self, own: SocketAddr, listed: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.insert(own.to_string(), listed.to_string());
    }

    /// Answers no read of the entries below `prefix` from now on; all reads for `None`.
    pub fn hold_range(&self, prefix: Option<&'static str>) {
        *self.held_prefix.lock().unwrap_or_else(PoisonError::into_inner) = prefix;
    }

    /// Whether reads of the entries below `prefix` are not answered now.
    pub(super) fn is_held(&self, prefix: &str) -> bool {
        self.held_prefix.lock().unwrap_or_else(PoisonError::into_inner).is_some_and(|held| held == prefix)
    }

    /// `item` as this view lists it.
    pub(super) fn translated(&self, mut item: Value) -> Value {
        let is_upstream = item["key"].as_str().is_some_and(|key| key.starts_with(UPSTREAM_PREFIX));
        let decoded = item["value"].as_str().filter(|_| is_upstream).and_then(|text| STANDARD.decode(text).ok());
        let entry: Option<Value> = decoded.and_then(|bytes| serde_json::from_slice(&bytes).ok());
        let Some(mut entry) = entry else { return item };
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(listed) = entry["address"].as_str().and_then(|own| addresses.get(own)) {
            entry["address"] = listed.as_str().into();
            item["value"] = STANDARD.encode(entry.to_string()).into();
        }
        item
    }
}

//! Applies the configuration, model versions and requests to retire VMs, which operators and trainers write to the
//! store.

use super::PrefixHandler;
use crate::edge_state::EdgeState;
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{
    CONFIG_KEY, OPERATOR_PREFIX, RangePage, StoreChange, StoreEntry, decode_config, decode_published_version,
    retired_vm, versioned_model,
};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Handler for the keys of operators and trainers.
#[derive(Debug)]
pub struct OperatorKeys {
    state: Arc<EdgeState>,
}

impl OperatorKeys {
    /// Creates a handler that updates `state`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>) -> Self {
        Self { state }
    }

    /// Applies an entry that is in the snapshot or was written after it.
    fn entry_written(&self, store_entry: &StoreEntry) {
        if store_entry.key == CONFIG_KEY {
            self.config_written(store_entry);
        } else if versioned_model(&store_entry.key).is_some() {
            self.version_written(store_entry);
        } else if let Some(vm) = retired_vm(&store_entry.key) {
            LogLine::new("vm_retired").field("vm", vm).field("revision", store_entry.revision).info();
            let mut retired_vms = self.state.retired_vms();
            if retired_vms.iter().all(|retired| **retired != *vm) {
                retired_vms.push(vm.into());
            }
        }
    }

    /// Applies a configuration if it is newer than the applied one. One that cannot be decoded is ignored.
    fn config_written(&self, store_entry: &StoreEntry) {
        match decode_config(&store_entry.value) {
            Ok(config) => {
                let version = config.version;
                let applied = self.state.apply_config(config);
                if applied {
                    self.state.apply_cold_rules();
                }
                LogLine::new("config")
                    .field("version", version)
                    .field("revision", store_entry.revision)
                    .field("applied", applied)
                    .info();
                self.state.job_changed.notify_waiters();
            }
            Err(error) => {
                LogLine::new("config_unreadable").field("revision", store_entry.revision).field("reason", error).warn();
            }
        }
    }

    /// Records the newest weight version of a model; older versions are ignored.
    fn version_written(&self, store_entry: &StoreEntry) {
        match decode_published_version(&store_entry.value) {
            Ok((model, version)) => {
                let mut newest_versions = self.state.newest_versions();
                let newest = newest_versions.entry(model.clone()).or_default();
                *newest = (*newest).max(version);
                LogLine::new("version_named").field("model", model).field("version", version).info();
            }
            Err(error) => {
                LogLine::new("version_unreadable").field("key", &store_entry.key).field("reason", error).warn();
            }
        }
    }
}

impl PrefixHandler for OperatorKeys {
    const PREFIX: &'static str = OPERATOR_PREFIX;
    const BATCH_DELAY_MS: u64 = 0;

    fn apply_snapshot(&mut self, page: RangePage, _now: TimePoint) {
        // The snapshot names all VMs that are to be retired.
        self.state.retired_vms().clear();
        for store_entry in &page.entries {
            self.entry_written(store_entry);
        }
    }

    fn apply_change(&mut self, change: StoreChange, _now: TimePoint) {
        match change {
            StoreChange::Written(store_entry) => self.entry_written(&store_entry),
            StoreChange::Removed { key, .. } => {
                if let Some(vm) = retired_vm(&key) {
                    self.state.retired_vms().retain(|retired| **retired != *vm);
                }
            }
        }
    }
}

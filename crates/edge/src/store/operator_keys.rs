//! Applies the configuration, model versions and requests to retire VMs, which operators and trainers write to the
//! store.

use super::PrefixHandler;
use crate::edge_state::EdgeState;
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{
    CONFIG_KEY, OPERATOR_PREFIX, RangePage, StoreChange, StoreEntry, decode_config, decode_named_version, retired_vm,
    versioned_model,
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
    fn entry_written(&self, item: &StoreEntry) {
        if item.key == CONFIG_KEY {
            self.config_written(item);
        } else if versioned_model(&item.key).is_some() {
            self.version_written(item);
        } else if let Some(vm) = retired_vm(&item.key) {
            LogLine::new("vm_retired").field("vm", vm).field("revision", item.revision).info();
            self.state.retired_vms().push(vm.into());
        }
    }

    /// Applies a configuration if it is newer than the applied one. One that cannot be decoded is ignored.
    fn config_written(&self, item: &StoreEntry) {
        match decode_config(&item.value) {
            Ok(config) => {
                let version = config.version;
                let applied = self.state.apply_config(config);
                LogLine::new("config")
                    .field("version", version)
                    .field("revision", item.revision)
                    .field("applied", applied)
                    .info();
                self.state.job_changed.notify_waiters();
            }
            Err(error) => {
                LogLine::new("config_unreadable").field("revision", item.revision).field("reason", error).warn();
            }
        }
    }

    /// Records the newest weight version of a model; older versions are ignored.
    fn version_written(&self, item: &StoreEntry) {
        match decode_named_version(&item.value) {
            Ok((model, version)) => {
                let mut newest_versions = self.state.newest_versions();
                let newest = newest_versions.entry(model.clone()).or_default();
                *newest = (*newest).max(version);
                LogLine::new("version_named").field("model", model).field("version", version).info();
            }
            Err(error) => {
                LogLine::new("version_unreadable").field("key", &item.key).field("reason", error).warn();
            }
        }
    }
}

impl PrefixHandler for OperatorKeys {
    const PREFIX: &'static str = OPERATOR_PREFIX;
    const BATCH_DELAY_MS: u64 = 0;

    fn apply_snapshot(&mut self, page: RangePage, _now: TimePoint) {
        for item in &page.entries {
            self.entry_written(item);
        }
    }

    fn apply_change(&mut self, change: StoreChange, _now: TimePoint) {
        match change {
            StoreChange::Written(item) => self.entry_written(&item),
            StoreChange::Removed { key, .. } => {
                if let Some(vm) = retired_vm(&key) {
                    self.state.retired_vms().retain(|retired| **retired != *vm);
                }
            }
        }
    }
}

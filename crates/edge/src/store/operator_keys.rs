//! Applies the configuration, model versions and requests to retire VMs and to evacuate failure domains, which operators and
//! trainers write to the store.

use super::{PrefixHandler, PrefixLog};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState};
use pimentoslip_kernel::{SharedName, TimePoint};
use pimentoslip_platform::{
    CONFIG_KEY, OPERATOR_PREFIX, RangePage, StoreChange, StoreEntry, decode_config, decode_published_version,
    evacuated_domain, retired_vm, versioned_model,
};
use pimentoslip_telemetry::LogLine;
use std::{collections::BTreeMap, sync::Arc};

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
        } else if let Some(failure_domain) = evacuated_domain(&store_entry.key) {
            let failure_domain: SharedName = failure_domain.into();
            let revision = store_entry.revision;
            let is_new = self
                .state
                .upstreams()
                .change_evacuations(|evacuations| evacuations.requested(failure_domain.clone(), revision));
            if is_new {
                self.evacuation_changed("domain_evacuated", &failure_domain, revision);
            }
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

    /// Replaces the evacuated failure domains by those of a snapshot, and logs which are new and which are evacuated no more.
    fn evacuations_listed(&self, page: &RangePage) {
        let listed = page.entries.iter().filter_map(|store_entry| {
            let failure_domain: SharedName = evacuated_domain(&store_entry.key)?.into();
            Some((failure_domain, store_entry.revision))
        });
        let listed: BTreeMap<SharedName, u64> = listed.collect();
        let previous: Vec<SharedName> = self.state.upstreams().change_evacuations(|evacuations| {
            let previous = evacuations.domains().cloned().collect();
            evacuations.replace_all(listed.clone());
            previous
        });
        for (failure_domain, revision) in listed.iter().filter(|(domain, _)| !previous.contains(domain)) {
            self.evacuation_changed("domain_evacuated", failure_domain, *revision);
        }
        for failure_domain in previous.iter().filter(|domain| !listed.contains_key(*domain)) {
            self.evacuation_changed("domain_returned", failure_domain, page.revision);
        }
    }

    /// Ends the evacuation of a failure domain whose request was withdrawn at `revision`.
    fn evacuation_withdrawn(&self, failure_domain: &str, revision: u64) {
        let is_ended =
            self.state.upstreams().change_evacuations(|evacuations| evacuations.withdrawn(failure_domain, revision));
        if is_ended {
            self.evacuation_changed("domain_returned", failure_domain, revision);
        }
    }

    /// Handles the start or end of an evacuation for the requests that wait, and logs it with the requests that are in progress
    /// there and the age of what was known before.
    fn evacuation_changed(&self, event: &'static str, failure_domain: &str, revision: u64) {
        let (inflight, evacuated_count, listed_count) = {
            let upstreams = self.state.upstreams();
            let listed = upstreams.records().filter(|record| *record.failure_domain == *failure_domain).count();
            (upstreams.domain_inflight(failure_domain), upstreams.evacuations().domains().count(), listed)
        };
        EdgeMetrics::global().domains_evacuated.set(i64::try_from(evacuated_count).unwrap_or(i64::MAX));
        let applied_as_of = self.state.change_log(Self::PREFIX).map_or(TimePoint(0), PrefixLog::applied_as_of);
        LogLine::new(event)
            .field("failure_domain", failure_domain)
            .field("revision", revision)
            .field("upstreams", listed_count)
            .field("running", inflight)
            .field("known_age_ms", self.state.now().since_ms(applied_as_of))
            .info();
        self.state.permits_changed.notify_waiters();
        self.state.lines.room_changed();
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
        // The configuration lets callers be served.
        self.evacuations_listed(&page);
        for store_entry in &page.entries {
            self.entry_written(store_entry);
        }
    }

    fn apply_change(&mut self, change: StoreChange, _now: TimePoint) {
        match change {
            StoreChange::Written(store_entry) => self.entry_written(&store_entry),
            StoreChange::Removed { key, revision } => {
                if let Some(failure_domain) = evacuated_domain(&key) {
                    self.evacuation_withdrawn(failure_domain, revision);
                } else if let Some(vm) = retired_vm(&key) {
                    self.state.retired_vms().retain(|retired| **retired != *vm);
                }
            }
        }
    }
}

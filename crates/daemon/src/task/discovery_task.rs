//! Discovers daemons and upstreams from the platform's VM list, and polls the load reports of the engines.

use super::PeriodicTask;
use crate::shared_state::SharedState;
use futures_util::future::join_all;
use pimentoslip_client::ProviderClient;
use pimentoslip_kernel::{ServiceKind, SharedName, UpstreamEntry, UpstreamState};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::provider::{VmEntry, VmRole, VmState};
use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, atomic::Ordering},
};

/// Keeps the route table and the list of daemons up to date.
pub struct DiscoveryTask {
    shared: Arc<SharedState>,
    provider: ProviderClient,
}

impl DiscoveryTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, provider: ProviderClient) -> Self {
        Self { shared, provider }
    }

    /// Reads the VM list, and updates the list of daemons and the route table.
    async fn read_vm_list(&self) {
        let list = match self.provider.vm_list().await {
            Ok(list) => list,
            Err(error) => {
                LogLine::new("vm_list_failed").field("error", error).warn();
                return;
            }
        };
        let (entry_vms, upstreams): (Vec<VmEntry>, Vec<VmEntry>) =
            list.vms.into_iter().partition(|vm| vm.role == VmRole::Entry);
        self.apply_entry_vms(entry_vms);
        let now = self.shared.now();
        let upstreams = upstreams.into_iter().filter_map(|vm| {
            let mut entry =
                UpstreamEntry::new(vm.name, vm.service?, vm.failure_domain, vm.address, vm.reclaimable, now);
            entry.state = if vm.state == VmState::Live { UpstreamState::Live } else { UpstreamState::Draining };
            Some(entry)
        });
        self.shared.routes().apply_list(upstreams.collect());
        self.admit_waiting_requests();
    }

    /// Updates the list of daemons. A daemon that is missing from a new list has ended with its VM. A list without this
    /// daemon itself is incomplete: daemons are added from it, but none is treated as ended.
    fn apply_entry_vms(&self, entry_vms: Vec<VmEntry>) {
        let now = self.shared.now();
        let own_name = &self.shared.settings.name;
        let listed: BTreeMap<SharedName, SharedName> = entry_vms.into_iter().map(|vm| (vm.name, vm.address)).collect();
        let is_complete = listed.contains_key(own_name);
        self.shared.is_listed.store(is_complete, Ordering::SeqCst);
        let removed: Vec<SharedName> = {
            let mut listed_daemons = self.shared.listed_daemons.lock().unwrap_or_else(PoisonError::into_inner);
            let removed =
                listed_daemons.keys().filter(|name| is_complete && !listed.contains_key(*name)).cloned().collect();
            if is_complete {
                listed_daemons.clear();
            }
            listed_daemons.extend(listed);
            removed
        };
        let mut members = self.shared.members();
        removed.iter().for_each(|name| members.process_ended(name, now));
    }

    /// Reads the load report of every engine and updates the route table.
    async fn read_load_reports(&self) {
        let engines: Vec<(SharedName, SharedName)> = {
            let config = self.shared.config();
            let routes = self.shared.routes();
            routes
                .iter()
                .filter(|entry| {
                    config.service(&entry.service).is_some_and(|service| service.kind == ServiceKind::Engine)
                })
                .map(|entry| (entry.name.clone(), entry.address.clone()))
                .collect()
        };
        let reports = join_all(engines.iter().map(|(_, address)| self.provider.load_report(address))).await;
        let now = self.shared.now();
        let mut routes = self.shared.routes();
        for ((name, _), report) in engines.iter().zip(reports) {
            match report {
                Ok(report) => {
                    routes.load_reported(name, report.running + report.waiting, report.version);
                    if report.leaving {
                        routes.draining_reported(name);
                    }
                }
                Err(_) => routes.load_report_missed(name, now),
            }
        }
    }

    /// Admits waiting requests, because new upstreams may have added capacity.
    fn admit_waiting_requests(&self) {
        let services: Vec<(SharedName, u64)> = {
            let config = self.shared.config();
            config.services().map(|(name, service)| (name.clone(), service.inflight_per_upstream)).collect()
        };
        for (name, inflight_max) in services {
            let capacity = self.shared.routes().capacity(&name, inflight_max);
            self.shared.admission_controller.admit_waiting(&name, capacity);
        }
    }
}

impl PeriodicTask for DiscoveryTask {
    const PAUSE_MS: u64 = 700;

    async fn run(&mut self) {
        self.read_vm_list().await;
        self.read_load_reports().await;
    }
}

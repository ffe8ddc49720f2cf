//! Reads the platform's VM list and the engines' load reports.

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

/// Keeps routes and the list of daemons up to date.
pub struct ListingTask {
    shared: Arc<SharedState>,
    provider: ProviderClient,
}

impl ListingTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, provider: ProviderClient) -> Self {
        Self { shared, provider }
    }

    async fn read_list(&self) {
        let list = match self.provider.vm_list().await {
            Ok(list) => list,
            Err(error) => {
                LogLine::new("vm_list_failed").field("error", error).warn();
                return;
            }
        };
        let (entries, upstreams): (Vec<VmEntry>, Vec<VmEntry>) =
            list.vms.into_iter().partition(|vm| vm.role == VmRole::Entry);
        self.take_entries(entries);
        let now = self.shared.now();
        let upstreams = upstreams.into_iter().filter_map(|vm| {
            let mut entry =
                UpstreamEntry::new(vm.name, vm.service?, vm.failure_domain, vm.address, vm.reclaimable, now);
            entry.state = if vm.state == VmState::Live { UpstreamState::Live } else { UpstreamState::Draining };
            Some(entry)
        });
        self.shared.routes().apply_list(upstreams.collect());
        self.pump();
    }

    /// A daemon that was on the list and is gone from it has ended with its VM. A list that lacks this very
    /// daemon is incomplete: it may add daemons, but proves the end of none.
    fn take_entries(&self, entries: Vec<VmEntry>) {
        let now = self.shared.now();
        let me = &self.shared.settings.name;
        let listed: BTreeMap<SharedName, SharedName> = entries.into_iter().map(|vm| (vm.name, vm.address)).collect();
        let complete = listed.contains_key(me);
        self.shared.listed.store(complete, Ordering::SeqCst);
        let gone: Vec<SharedName> = {
            let mut known = self.shared.listed_entries.lock().unwrap_or_else(PoisonError::into_inner);
            let gone = known.keys().filter(|name| complete && !listed.contains_key(*name)).cloned().collect();
            if complete {
                known.clear();
            }
            known.extend(listed);
            gone
        };
        let mut members = self.shared.members();
        gone.iter().for_each(|name| members.process_ended(name, now));
    }

    async fn read_reports(&self) {
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

    /// New upstreams may let waiting requests run.
    fn pump(&self) {
        let services: Vec<(SharedName, u64)> = {
            let config = self.shared.config();
            config.services().map(|(name, service)| (name.clone(), service.inflight_per_upstream)).collect()
        };
        for (name, inflight_max) in services {
            let capacity = self.shared.routes().capacity(&name, inflight_max);
            self.shared.gate.pump(&name, capacity);
        }
    }
}

impl PeriodicTask for ListingTask {
    const PERIOD_MS: u64 = 700;

    async fn run(&mut self) {
        self.read_list().await;
        self.read_reports().await;
    }
}

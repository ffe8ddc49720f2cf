//! Starts and stops upstreams and updates weights in each failure domain whose ordering duty this daemon holds.

use super::{PeriodicTask, domain_duty::DomainDuty};
use crate::shared_state::SharedState;
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, ProviderClient};
use pimentoslip_kernel::{SharedName, SiteConfig};
use std::{collections::BTreeMap, sync::Arc};

/// Competes for the ordering duty of every failure domain and performs those that this daemon holds.
pub struct OrderTask {
    shared: Arc<SharedState>,
    kv: EtcdClient,
    provider: ProviderClient,
    duties: BTreeMap<SharedName, DomainDuty>,
}

impl OrderTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, kv: EtcdClient, provider: ProviderClient) -> Self {
        Self { shared, kv, provider, duties: BTreeMap::new() }
    }

    /// Adds the duties of failure domains that are new in the configuration.
    fn add_missing_duties(&mut self, site: &SiteConfig) {
        for domain in &site.failure_domains {
            let (kv, shared) = (self.kv.clone(), self.shared.clone());
            let provider = self.provider.clone();
            self.duties
                .entry(domain.clone())
                .or_insert_with(|| DomainDuty::new(kv, shared, provider, domain, site.orders_check_fencing));
        }
    }
}

impl PeriodicTask for OrderTask {
    const PAUSE_MS: u64 = 500;

    async fn run(&mut self) {
        let Some(site) = self.shared.config().site().cloned() else { return };
        self.add_missing_duties(&site);
        let (shared, provider) = (&self.shared, &self.provider);
        let ticks = self.duties.iter_mut().map(|(domain, duty)| duty.tick(shared, provider, &site, domain));
        join_all(ticks).await;
    }

    async fn stop(&mut self) {
        join_all(self.duties.values_mut().map(|duty| duty.step_down())).await;
    }
}

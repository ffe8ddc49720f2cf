//! Orders upstreams and weights in each failure domain whose duty this daemon holds.

use super::{PeriodicTask, domain_duty::DomainDuty};
use crate::shared_state::SharedState;
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, ProviderClient};
use pimentoslip_kernel::{SharedName, SiteConfig};
use std::{collections::BTreeMap, sync::Arc};

/// Takes part in the ordering duty of every failure domain.
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

    fn add_domains(&mut self, site: &SiteConfig) {
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
        self.add_domains(&site);
        let (shared, provider) = (&self.shared, &self.provider);
        let rounds = self.duties.iter_mut().map(|(domain, duty)| duty.tick(shared, provider, &site, domain));
        join_all(rounds).await;
    }

    async fn stop(&mut self) {
        join_all(self.duties.values_mut().map(|duty| duty.step_down())).await;
    }
}

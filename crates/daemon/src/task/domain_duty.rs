//! Ordering duty of one failure domain: starts and stops its upstreams and updates the weights of its engines.

use super::{
    duty_lease::DutyLease,
    order_sender::{OrderAuthority, OrderSender},
};
use crate::shared_state::SharedState;
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, ProviderClient, Result};
use pimentoslip_kernel::{
    ServiceConfig, ServiceKind, SharedName, SiteConfig, SpendAction, SpendInput, SpendPlanner, TimePoint,
};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    engine::LoadOrder,
    provider::{OrderAction, OrderRequest, OrderState},
};
use std::{collections::BTreeMap, sync::Arc};

/// Time for which no further upstream of a service is ordered after the provider had none available. Counted separately
/// for standing and reclaimable upstreams.
const UNAVAILABLE_BACKOFF_MS: u64 = 10_000;

/// Matches the running upstreams and weights of one failure domain to the configuration, while this daemon holds the
/// domain's duty.
pub struct DomainDuty {
    lease: DutyLease<EtcdClient>,
    order_sender: OrderSender<EtcdClient>,
    /// Number of consecutive ticks in which more upstreams ran than were wanted, by service.
    surplus_ticks: BTreeMap<SharedName, u32>,
    /// End of the back-off after the provider had no upstream available, by service and whether it is reclaimable.
    unavailable_until: BTreeMap<(SharedName, bool), TimePoint>,
}

/// Name of the ordering duty of `domain`.
fn duty_name(domain: &str) -> SharedName {
    format!("order-{domain}").into()
}

impl DomainDuty {
    /// Creates the duty of `domain`, not held yet. `checks_fencing` says whether the receivers of orders refuse old
    /// fencing numbers.
    pub fn new(
        kv: EtcdClient,
        shared: Arc<SharedState>,
        provider: ProviderClient,
        domain: &SharedName,
        checks_fencing: bool,
    ) -> Self {
        Self {
            lease: DutyLease::new(kv.clone(), shared.clone(), duty_name(domain), checks_fencing),
            order_sender: OrderSender::new(kv, shared, provider, domain.clone()),
            surplus_ticks: BTreeMap::new(),
            unavailable_until: BTreeMap::new(),
        }
    }

    /// Gives up the duty.
    pub async fn step_down(&mut self) {
        self.lease.step_down().await;
    }

    /// Acquires or renews the lease and, while the duty is held, orders upstreams to be started or stopped and engines
    /// to load weights.
    pub async fn tick(
        &mut self,
        shared: &SharedState,
        provider: &ProviderClient,
        site: &SiteConfig,
        domain: &SharedName,
    ) {
        let rank = shared.members().duty_rank(&duty_name(domain), domain);
        let Some((fencing_number, deadline)) = self.lease.tick(rank).await else { return };
        let authority = OrderAuthority { holder_key: self.lease.holder_key(), fencing_number, deadline };
        if let Err(error) = self.order_upstreams(shared, site, domain, &authority).await {
            LogLine::new("order_failed").field("failure_domain", domain).field("error", error).warn();
        }
        if self.lease.authority().is_some() {
            load_weights(shared, provider, domain, &authority).await;
        }
    }

    /// Settles the pending orders, then starts or stops at most one upstream of each service.
    async fn order_upstreams(
        &mut self,
        shared: &SharedState,
        site: &SiteConfig,
        domain: &SharedName,
        authority: &OrderAuthority,
    ) -> Result<()> {
        self.order_sender.settle_pending_orders(authority).await?;
        let services: Vec<(SharedName, ServiceConfig)> = {
            let config = shared.config();
            config.services().map(|(name, service)| (name.clone(), service.clone())).collect()
        };
        for (name, service) in services.iter().filter(|(_, service)| service.upstreams_per_domain > 0) {
            let input = self.spend_input(shared, site, domain, name, service, &services);
            let has_surplus = input.standing + input.reclaimable > input.wanted;
            let ticks = self.surplus_ticks.entry(name.clone()).or_default();
            *ticks = if has_surplus { *ticks + 1 } else { 0 };
            let action = SpendPlanner.next_action(&input);
            self.execute(shared, domain, name, action, authority).await?;
        }
        Ok(())
    }

    /// Demand, running upstreams and spend limits of a service. Every failure domain has an equal share of the site's
    /// spend limits, less the spend of the domain's other services.
    fn spend_input(
        &mut self,
        shared: &SharedState,
        site: &SiteConfig,
        domain: &SharedName,
        name: &SharedName,
        service: &ServiceConfig,
        services: &[(SharedName, ServiceConfig)],
    ) -> SpendInput {
        let mut running: BTreeMap<(SharedName, bool), u32> = BTreeMap::new();
        for entry in shared.routes().iter().filter(|entry| entry.failure_domain == *domain && entry.accepts_requests())
        {
            *running.entry((entry.service.clone(), entry.reclaimable)).or_default() += 1;
        }
        for (other, _) in services {
            for reclaimable in [false, true] {
                *running.entry((other.clone(), reclaimable)).or_default() +=
                    self.order_sender.starting_count(other, reclaimable);
            }
        }
        let running_count =
            |name: &SharedName, reclaimable| running.get(&(name.clone(), reclaimable)).copied().unwrap_or(0);
        let other_cents_per_hour: u64 = services
            .iter()
            .filter(|(other, _)| other != name)
            .map(|(other, settings)| {
                u64::from(running_count(other, false)) * settings.standing_cents_per_hour
                    + u64::from(running_count(other, true)) * settings.reclaimable_cents_per_hour
            })
            .sum();
        let domain_count = site.failure_domains.len().max(1) as u64;
        SpendInput {
            wanted: service.upstreams_per_domain,
            standing_min: service.standing_per_domain,
            standing: running_count(name, false),
            reclaimable: running_count(name, true),
            reclaimable_available: !self.is_unavailable(&(name.clone(), true), shared.now()),
            standing_cents_per_hour: service.standing_cents_per_hour,
            reclaimable_cents_per_hour: service.reclaimable_cents_per_hour,
            floor_cents_per_hour: (site.spend_floor_cents_per_hour / domain_count).saturating_sub(other_cents_per_hour),
            ceiling_cents_per_hour: (site.spend_ceiling_cents_per_hour / domain_count)
                .saturating_sub(other_cents_per_hour),
            surplus_ticks: self.surplus_ticks.get(name).copied().unwrap_or(0),
        }
    }

    /// Whether the provider recently had no upstream available for `class`: a service and whether it is reclaimable.
    fn is_unavailable(&self, class: &(SharedName, bool), now: TimePoint) -> bool {
        self.unavailable_until.get(class).is_some_and(|until| now < *until)
    }

    /// Carries out one action of the planner.
    async fn execute(
        &mut self,
        shared: &SharedState,
        domain: &SharedName,
        service: &SharedName,
        action: SpendAction,
        authority: &OrderAuthority,
    ) -> Result<()> {
        let (order_action, reclaimable) = match action {
            SpendAction::Keep => return Ok(()),
            SpendAction::StartStanding => (OrderAction::Start, false),
            SpendAction::StartReclaimable => (OrderAction::Start, true),
            SpendAction::StopStanding => (OrderAction::Stop, false),
            SpendAction::StopReclaimable => (OrderAction::Stop, true),
        };
        let class = (service.clone(), reclaimable);
        if order_action == OrderAction::Start && self.is_unavailable(&class, shared.now()) {
            return Ok(());
        }
        let vm = match order_action {
            OrderAction::Start => None,
            OrderAction::Stop => match least_loaded_upstream(shared, domain, service, reclaimable) {
                Some(vm) => Some(vm),
                None => return Ok(()),
            },
        };
        if let Some(vm) = &vm {
            shared.routes().draining_reported(vm);
        }
        let request = OrderRequest {
            order_id: "".into(),
            action: order_action,
            failure_domain: domain.clone(),
            service: service.clone(),
            reclaimable,
            vm,
            fencing: authority.fencing_number,
        };
        if self.order_sender.send_order(request, authority).await? == OrderState::Unavailable {
            self.unavailable_until.insert(class, shared.now().plus_ms(UNAVAILABLE_BACKOFF_MS));
        }
        Ok(())
    }
}

/// The upstream with the fewest of this daemon's requests in flight, or `None` if none matches.
fn least_loaded_upstream(shared: &SharedState, domain: &str, service: &str, reclaimable: bool) -> Option<SharedName> {
    let routes = shared.routes();
    let candidates = routes.iter().filter(|entry| {
        &*entry.failure_domain == domain
            && &*entry.service == service
            && entry.reclaimable == reclaimable
            && entry.accepts_requests()
    });
    candidates.min_by_key(|entry| entry.inflight()).map(|entry| entry.name.clone())
}

/// Orders every engine of the domain that reports an older weight version to load the newest published one.
async fn load_weights(shared: &SharedState, provider: &ProviderClient, domain: &str, authority: &OrderAuthority) {
    let outdated_engines: Vec<(SharedName, SharedName, u64)> = {
        let config = shared.config();
        let routes = shared.routes();
        routes
            .iter()
            .filter(|entry| &*entry.failure_domain == domain && entry.accepts_requests())
            .filter(|entry| config.service(&entry.service).is_some_and(|service| service.kind == ServiceKind::Engine))
            .map(|entry| (entry, config.published_version(&entry.service)))
            .filter(|(entry, published)| entry.version.is_some_and(|version| version < *published))
            .map(|(entry, published)| (entry.name.clone(), entry.address.clone(), published))
            .collect()
    };
    let loads = outdated_engines.iter().map(|(name, address, version)| async move {
        let order = LoadOrder { version: *version, fencing: authority.fencing_number };
        match provider.load_weights(address, &order, authority.deadline).await {
            Ok(()) => {
                LogLine::new("weights_loaded").field("upstream", name).field("version", version).info();
                shared.routes().weights_loaded(name, *version);
            }
            Err(error) => LogLine::new("weights_failed").field("upstream", name).field("error", error).warn(),
        }
    });
    join_all(loads).await;
}

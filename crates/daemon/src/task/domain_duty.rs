//! The ordering duty of one failure domain.

use super::{
    duty_lease::DutyLease,
    order_book::{OrderAuthority, OrderBook},
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

/// After the provider had none of the reclaimable kind, it is not asked again for this long.
const UNAVAILABLE_MS: u64 = 10_000;

/// The duty of one failure domain.
pub struct DomainDuty {
    lease: DutyLease<EtcdClient>,
    book: OrderBook<EtcdClient>,
    surplus_rounds: BTreeMap<SharedName, u32>,
    unavailable_until: BTreeMap<(SharedName, bool), TimePoint>,
}

fn duty_name(domain: &str) -> SharedName {
    format!("order-{domain}").into()
}

impl DomainDuty {
    /// The duty of `domain`, not held yet.
    pub fn new(
        kv: EtcdClient,
        shared: Arc<SharedState>,
        provider: ProviderClient,
        domain: &SharedName,
        checks_fencing: bool,
    ) -> Self {
        Self {
            lease: DutyLease::new(kv.clone(), shared.clone(), duty_name(domain), checks_fencing),
            book: OrderBook::new(kv, shared, provider, domain.clone()),
            surplus_rounds: BTreeMap::new(),
            unavailable_until: BTreeMap::new(),
        }
    }

    /// Gives the duty up.
    pub async fn step_down(&mut self) {
        self.lease.step_down().await;
    }

    /// Moves the lease on and, while it is held, orders upstreams and weights.
    pub async fn round(
        &mut self,
        shared: &SharedState,
        provider: &ProviderClient,
        site: &SiteConfig,
        domain: &SharedName,
    ) {
        let rank = shared.members().duty_rank(&duty_name(domain), domain);
        let Some((fencing, deadline)) = self.lease.tick(rank).await else { return };
        let authority = OrderAuthority { holder_key: self.lease.holder_key(), fencing, deadline };
        if let Err(error) = self.order_upstreams(shared, site, domain, &authority).await {
            LogLine::new("order_failed").field("failure_domain", domain).field("error", error).warn();
        }
        if self.lease.authority().is_some() {
            load_weights(shared, provider, domain, &authority).await;
        }
    }

    async fn order_upstreams(
        &mut self,
        shared: &SharedState,
        site: &SiteConfig,
        domain: &SharedName,
        authority: &OrderAuthority,
    ) -> Result<()> {
        self.book.settle_open(authority).await?;
        let services: Vec<(SharedName, ServiceConfig)> = {
            let config = shared.config();
            config.services().map(|(name, service)| (name.clone(), service.clone())).collect()
        };
        for (name, service) in services.iter().filter(|(_, service)| service.upstreams_per_domain > 0) {
            let input = self.input(shared, site, domain, name, service, &services);
            let surplus = input.standing + input.reclaimable > input.wanted;
            let rounds = self.surplus_rounds.entry(name.clone()).or_default();
            *rounds = if surplus { *rounds + 1 } else { 0 };
            let action = SpendPlanner.next_action(&input);
            self.act(shared, domain, name, action, authority).await?;
        }
        Ok(())
    }

    /// What runs and what is wanted. Every failure domain has an equal share of floor and ceiling, less what
    /// the domain's other services spend.
    fn input(
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
                *running.entry((other.clone(), reclaimable)).or_default() += self.book.starting(other, reclaimable);
            }
        }
        let count = |name: &SharedName, reclaimable| running.get(&(name.clone(), reclaimable)).copied().unwrap_or(0);
        let others: u64 = services
            .iter()
            .filter(|(other, _)| other != name)
            .map(|(other, settings)| {
                u64::from(count(other, false)) * settings.standing_cents_per_hour
                    + u64::from(count(other, true)) * settings.reclaimable_cents_per_hour
            })
            .sum();
        let domains = site.failure_domains.len().max(1) as u64;
        SpendInput {
            wanted: service.upstreams_per_domain,
            standing_min: service.standing_per_domain,
            standing: count(name, false),
            reclaimable: count(name, true),
            reclaimable_available: !self.unavailable(&(name.clone(), true), shared.now()),
            standing_cents_per_hour: service.standing_cents_per_hour,
            reclaimable_cents_per_hour: service.reclaimable_cents_per_hour,
            floor_cents_per_hour: (site.spend_floor_cents_per_hour / domains).saturating_sub(others),
            ceiling_cents_per_hour: (site.spend_ceiling_cents_per_hour / domains).saturating_sub(others),
            surplus_ticks: self.surplus_rounds.get(name).copied().unwrap_or(0),
        }
    }

    /// Whether the provider had none of a service's kind lately.
    fn unavailable(&self, kind: &(SharedName, bool), now: TimePoint) -> bool {
        self.unavailable_until.get(kind).is_some_and(|until| now < *until)
    }

    async fn act(
        &mut self,
        shared: &SharedState,
        domain: &SharedName,
        service: &SharedName,
        action: SpendAction,
        authority: &OrderAuthority,
    ) -> Result<()> {
        let (order, reclaimable) = match action {
            SpendAction::Keep => return Ok(()),
            SpendAction::StartStanding => (OrderAction::Start, false),
            SpendAction::StartReclaimable => (OrderAction::Start, true),
            SpendAction::StopStanding => (OrderAction::Stop, false),
            SpendAction::StopReclaimable => (OrderAction::Stop, true),
        };
        let kind = (service.clone(), reclaimable);
        if order == OrderAction::Start && self.unavailable(&kind, shared.now()) {
            return Ok(());
        }
        let vm = match order {
            OrderAction::Start => None,
            OrderAction::Stop => match idlest(shared, domain, service, reclaimable) {
                Some(vm) => Some(vm),
                None => return Ok(()),
            },
        };
        if let Some(vm) = &vm {
            shared.routes().draining_reported(vm);
        }
        let request = OrderRequest {
            order_id: "".into(),
            action: order,
            failure_domain: domain.clone(),
            service: service.clone(),
            reclaimable,
            vm,
            fencing: authority.fencing,
        };
        if self.book.give(request, authority).await? == OrderState::Unavailable {
            self.unavailable_until.insert(kind, shared.now().plus_ms(UNAVAILABLE_MS));
        }
        Ok(())
    }
}

/// The upstream with the fewest requests of this daemon.
fn idlest(shared: &SharedState, domain: &str, service: &str, reclaimable: bool) -> Option<SharedName> {
    let routes = shared.routes();
    let candidates = routes.iter().filter(|entry| {
        &*entry.failure_domain == domain
            && &*entry.service == service
            && entry.reclaimable == reclaimable
            && entry.accepts_requests()
    });
    candidates.min_by_key(|entry| entry.inflight()).map(|entry| entry.name.clone())
}

/// Orders every engine of the domain that reports an older version to load the newest published one.
async fn load_weights(shared: &SharedState, provider: &ProviderClient, domain: &str, authority: &OrderAuthority) {
    let behind: Vec<(SharedName, SharedName, u64)> = {
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
    let loads = behind.iter().map(|(name, address, version)| async move {
        let order = LoadOrder { version: *version, fencing: authority.fencing };
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

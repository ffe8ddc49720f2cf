//! Orders upstreams as the batch jobs ask.

use super::duty_task::SharedTerm;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{DomainOrder, SamplerRecord, SharedName, SizeOutcome, SizePlanner, standing_floor};
use pimentoslip_platform::{CommitOutcome, DutyCall, DutyClient, DutyOutcome, SizeOrder, StoreCommit};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{FloorEntry, KeyLayout},
};
use std::{collections::BTreeMap, sync::Arc};

/// Status with which the platform says that there are none of a kind at the moment.
const NONE_AVAILABLE: u16 = 409;

/// Plans the size of every service whose upstreams may be ordered.
pub struct SizeDuty {
    state: Arc<EdgeState>,
    provider: Option<DutyClient>,
    term: SharedTerm,
    store: StoreAccess,
    services: BTreeMap<SharedName, SizedService>,
}

/// What the holder knows of one service.
#[derive(Debug, Default)]
struct SizedService {
    planner: SizePlanner,
    /// Standing upstreams that stay in each failure domain, once that is known.
    floor: Option<BTreeMap<SharedName, u64>>,
}

impl SizeDuty {
    /// Orders under `term`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, term: SharedTerm) -> Self {
        let provider = state.settings.provider.map(DutyClient::new);
        Self { state, provider, term, store, services: BTreeMap::new() }
    }

    /// Gives the orders that are due.
    pub async fn round(&mut self) {
        let (Some(provider), Some(config)) = (self.provider.clone(), self.state.config()) else { return };
        for service in config.services.values() {
            let Some(rule) = &service.scaling else { continue };
            let upstreams = self.upstreams(&service.name);
            let demand = self.demand(&service.name);
            let sized = self.services.entry(service.name.clone()).or_default();
            if sized.floor.is_none() && demand > 0 {
                sized.floor = settle_floor(&self.store, &service.name, &upstreams).await;
            }
            let Some(floor) = &sized.floor else { continue };
            for order in sized.planner.plan(rule, &upstreams, floor, demand, self.state.now()) {
                let outcome = give(&self.state, &provider, &self.term, &service.name, &order, demand).await;
                sized.planner.ordered(&order, outcome, rule.startup_ms, self.state.now());
            }
        }
    }

    fn upstreams(&self, service: &str) -> Vec<SamplerRecord> {
        let samplers = self.state.upstreams();
        samplers.records().filter(|record| *record.service == *service).cloned().collect()
    }

    /// Items of open batch jobs whose route leads to `service`: all of a step should run at once.
    fn demand(&self, service: &str) -> u64 {
        let Some(config) = self.state.config() else { return 0 };
        let jobs = self.state.jobs();
        let open = jobs.iter().filter(|(_, view)| !view.ended && !view.settled).map(|(_, view)| &view.entry);
        let here = open.filter(|entry| {
            let rule = config.route(&entry.host, &entry.path);
            rule.is_some_and(|rule| rule.targets.iter().any(|target| *target.service == *service))
        });
        here.map(|entry| entry.items as u64).sum()
    }
}

/// The service's floor on record, or what runs now if there is none yet. None if that is not certain.
async fn settle_floor(
    store: &StoreAccess,
    service: &SharedName,
    upstreams: &[SamplerRecord],
) -> Option<BTreeMap<SharedName, u64>> {
    let key = KeyLayout::floor(service);
    let own = FloorEntry { standing: standing_floor(upstreams) };
    let settled = async {
        if let Some(item) = store.get(&key).await? {
            return Ok(decode::<FloorEntry>(&item.value)?);
        }
        let commit = StoreCommit::default().expect(key.clone(), 0).put(key.clone(), encode(&own)?, 0);
        match store.commit(&commit).await? {
            CommitOutcome::Done(_) => Ok(own.clone()),
            CommitOutcome::Conflict(_) => anyhow::bail!("another daemon wrote it at the same time"),
        }
    };
    match settled.await {
        Ok(entry) => Some(entry.standing),
        Err(error) => {
            LogLine::new("floor_not_settled").field("service", service).field("reason", error).warn();
            None
        }
    }
}

async fn give(
    state: &Arc<EdgeState>,
    provider: &DutyClient,
    term: &SharedTerm,
    service: &SharedName,
    order: &DomainOrder,
    demand: u64,
) -> SizeOutcome {
    let now = state.now();
    let held = term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_MS));
    let Some(held) = held else { return SizeOutcome::Failed };
    let _counted = state.track_duty_call();
    let duty = DutyCall { holder: &state.settings.vm, fencing_token: held.fencing_token };
    let message = SizeOrder {
        service: service.clone(),
        failure_domain: order.failure_domain.clone(),
        reclaimable: order.reclaimable,
        desired: order.desired,
    };
    let outcome = provider.scale(duty, &message).await;
    LogLine::new("upstreams_ordered")
        .field("service", service)
        .field("failure_domain", &order.failure_domain)
        .field("reclaimable", order.reclaimable)
        .field("desired", order.desired)
        .field("demand", demand)
        .field("fencing_token", held.fencing_token)
        .field("result", format!("{outcome:?}").to_lowercase())
        .info();
    match outcome {
        DutyOutcome::Accepted => SizeOutcome::Accepted,
        DutyOutcome::Refused(NONE_AVAILABLE) => SizeOutcome::Unavailable,
        DutyOutcome::Refused(_) | DutyOutcome::Unanswered => SizeOutcome::Failed,
    }
}

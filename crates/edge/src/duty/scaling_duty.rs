//! Orders upstreams from the platform to match the demand of the batch jobs.

use super::duty_task::SharedTerm;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{SamplerRecord, ScalingOrder, ScalingOutcome, ScalingPlanner, SharedName, standing_counts};
use pimentoslip_platform::{CommitOutcome, DutyAuthority, DutyCallOutcome, DutyClient, ScaleRequest, StoreCommit};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{FloorEntry, KeyLayout},
};
use std::{collections::BTreeMap, sync::Arc};

/// HTTP status with which the platform reports that no upstreams of the ordered type are available at the moment.
const NONE_AVAILABLE_STATUS: u16 = 409;

/// Plans the number of upstreams of every service that has a scaling rule, and sends the orders for them.
pub struct ScalingDuty {
    state: Arc<EdgeState>,
    /// Client for orders to the platform; `None` if its address is not configured.
    provider: Option<DutyClient>,
    term: SharedTerm,
    store: StoreAccess,
    /// Services with a scaling rule, by name.
    services: BTreeMap<SharedName, ScaledService>,
}

/// Plan and floor of one service.
#[derive(Debug, Default)]
struct ScaledService {
    /// Computes the due orders, and backs off after an order before it repeats it.
    planner: ScalingPlanner,
    /// Number of standing upstreams, which the platform may not reclaim, that are kept in each failure domain. `None`
    /// until it has been read or stored.
    floor: Option<BTreeMap<SharedName, u64>>,
}

impl ScalingDuty {
    /// Creates the scaling duty, which sends orders while `term` allows it.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, term: SharedTerm) -> Self {
        let provider = state.settings.provider_address.map(|address| DutyClient::new(address, state.clock.clone()));
        Self { state, provider, term, store, services: BTreeMap::new() }
    }

    /// Plans the number of upstreams of all services with a scaling rule, and sends the due orders.
    pub async fn tick(&mut self) {
        let (Some(provider), Some(config)) = (self.provider.clone(), self.state.config()) else { return };
        // The previous holder may have ordered by a configuration that this daemon did not know when it acquired the duty.
        let acquired_at = self.term.borrow().map(|term| term.acquired_at());
        if acquired_at.is_none_or(|acquired_at| self.state.config_current_as_of() < acquired_at) {
            return;
        }
        for service in config.services.values() {
            let Some(rule) = &service.scaling else { continue };
            let upstreams = self.upstreams(&service.name);
            let demand = self.demand(&service.name);
            let scaled_service = self.services.entry(service.name.clone()).or_default();
            if scaled_service.floor.is_none() && demand > 0 {
                scaled_service.floor = read_or_store_floor(&self.store, &service.name, &upstreams).await;
            }
            let Some(floor) = &scaled_service.floor else { continue };
            let rule = {
                let upstreams = self.state.upstreams();
                rule.without_domains(|failure_domain| upstreams.evacuations().contains(failure_domain))
            };
            for order in scaled_service.planner.plan(&rule, &upstreams, floor, demand, self.state.now()) {
                let outcome = send_order(&self.state, &provider, &self.term, &service.name, &order, demand).await;
                scaled_service.planner.order_answered(&order, outcome, rule.startup_ms, self.state.now());
            }
        }
    }

    /// The upstreams of `service` in the platform's list.
    fn upstreams(&self, service: &str) -> Vec<SamplerRecord> {
        let table = self.state.upstreams();
        table.records().filter(|record| *record.service == *service).cloned().collect()
    }

    /// Number of items of unfinished batch jobs whose route leads to `service`. All items of a step should run at once.
    fn demand(&self, service: &str) -> u64 {
        let Some(config) = self.state.config() else { return 0 };
        let jobs = self.state.jobs();
        let unfinished = jobs.iter().filter(|(_, view)| !view.ended && !view.settled).map(|(_, view)| &view.entry);
        let routed = unfinished.filter(|entry| {
            let rule = config.route(&entry.host, &entry.path);
            rule.is_some_and(|rule| rule.targets.iter().any(|target| *target.service == *service))
        });
        routed.map(|entry| entry.item_count as u64).sum()
    }
}

/// Reads the stored floor of the service, or stores the standing upstreams that run now as its floor. `None` if that
/// failed; the next pass tries it again.
async fn read_or_store_floor(
    store: &StoreAccess,
    service: &SharedName,
    upstreams: &[SamplerRecord],
) -> Option<BTreeMap<SharedName, u64>> {
    let key = KeyLayout::floor_key(service);
    let current = FloorEntry { standing: standing_counts(upstreams) };
    let floor = async {
        if let Some(store_entry) = store.get(&key).await? {
            return Ok(decode::<FloorEntry>(&store_entry.value)?);
        }
        let commit = StoreCommit::default().expect(key.clone(), 0).put(key.clone(), encode(&current)?, 0);
        match store.commit(&commit).await? {
            CommitOutcome::Committed(_) => Ok(current.clone()),
            CommitOutcome::Conflict(_) => {
                anyhow::bail!("another daemon stored the floor at the same time; it is read in the next pass")
            }
        }
    };
    match floor.await {
        Ok(entry) => Some(entry.standing),
        Err(error) => {
            LogLine::new("floor_not_settled").field("service", service).field("reason", error).warn();
            None
        }
    }
}

/// Sends an order to the platform and logs the outcome, with the demand that led to it. Returns `Failed` without a call
/// if the term does not allow one now.
async fn send_order(
    state: &Arc<EdgeState>,
    provider: &DutyClient,
    term: &SharedTerm,
    service: &SharedName,
    order: &ScalingOrder,
    demand: u64,
) -> ScalingOutcome {
    let now = state.now();
    let active_term = term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_TIMEOUT_MS));
    let Some(term) = active_term else { return ScalingOutcome::Failed };
    let _call_guard = state.track_duty_call();
    let send_before = state.clock.now().plus_ms(DutyClient::CALL_TIMEOUT_MS);
    let authority = DutyAuthority { holder: &state.settings.vm, fencing_token: term.fencing_token, send_before };
    let message = ScaleRequest {
        service: service.clone(),
        failure_domain: order.failure_domain.clone(),
        reclaimable: order.reclaimable,
        desired_count: order.desired,
    };
    let outcome = provider.scale(authority, &message).await;
    LogLine::new("upstreams_ordered")
        .field("service", service)
        .field("failure_domain", &order.failure_domain)
        .field("reclaimable", order.reclaimable)
        .field("desired", order.desired)
        .field("demand", demand)
        .field("fencing_token", term.fencing_token)
        .field("result", format!("{outcome:?}").to_lowercase())
        .info();
    match outcome {
        DutyCallOutcome::Accepted => ScalingOutcome::Accepted,
        DutyCallOutcome::Refused(NONE_AVAILABLE_STATUS) => ScalingOutcome::Unavailable,
        DutyCallOutcome::Refused(_) | DutyCallOutcome::Unanswered => ScalingOutcome::Failed,
    }
}

//! Moves model engines to the versions that trainers name.

use super::duty_task::SharedTerm;
use crate::edge_state::EdgeState;
use awc::Client;
use bytes::Bytes;
use pimentoslip_client::DeadlineBody;
use pimentoslip_kernel::{LoadOrder, LoadView, ModelDemand, OrderOutcome, SamplerRecord, SharedName, VersionPlanner};
use pimentoslip_platform::{ORDER_PATH, OrderMessage, REPORT_PATH, decode_report, encode_order, header};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::JobEntry;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

/// Longest wait for an order's answer, in milliseconds.
const ORDER_MS: u64 = 800;
/// Steps of a model whose work is averaged; a trainer's steps are alike.
const RECENT_STEPS: usize = 4;
/// Largest answer that is read.
const ANSWER_BYTES_MAX: usize = 64 << 10;

/// Plans loads and orders them.
pub struct LoadDuty {
    state: Arc<EdgeState>,
    upstreams: Client,
    term: SharedTerm,
    planner: Rc<RefCell<VersionPlanner>>,
}

impl LoadDuty {
    /// Orders under `term`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, upstreams: Client, term: SharedTerm) -> Self {
        Self { state, upstreams, term, planner: Rc::default() }
    }

    /// Gives the orders that are due.
    pub fn round(&mut self) {
        let now = self.state.now();
        let may_act = self.term.borrow().is_some_and(|term| term.may_act(now, ORDER_MS));
        let Some(config) = self.state.config().filter(|_| may_act) else { return };
        let runs = {
            let own = self.state.upstreams().model_runs();
            let mut board = self.state.run_board();
            board.reported(self.state.settings.vm.clone(), own, now);
            board.runs(now)
        };
        for service in config.services.values().filter(|service| !service.models.is_empty()) {
            let upstreams: Vec<SamplerRecord> =
                self.state.upstreams().records().filter(|record| record.service == service.name).cloned().collect();
            let models = model_demands(&self.state, &service.models);
            let view = LoadView { upstreams: &upstreams, models: &models, runs: &runs };
            let orders = self.planner.borrow_mut().plan(&view, now);
            for order in orders {
                let keep_runs = !single_version(&config, &service.name);
                actix_rt::spawn(carry_out(
                    self.state.clone(),
                    self.upstreams.clone(),
                    self.term.clone(),
                    self.planner.clone(),
                    order,
                    keep_runs,
                ));
            }
        }
    }
}

/// What the named versions and the newest steps ask of each model.
fn model_demands(state: &EdgeState, models: &[SharedName]) -> BTreeMap<SharedName, ModelDemand> {
    let named = state.newest_versions().clone();
    let jobs = state.jobs();
    let demand = |model: &SharedName| {
        let mut steps: Vec<&JobEntry> =
            jobs.iter().map(|(_, view)| &view.entry).filter(|entry| entry.model.as_ref() == Some(model)).collect();
        steps.sort_by_key(|entry| std::cmp::Reverse(entry.submitted_unix_ms));
        steps.truncate(RECENT_STEPS);
        let tokens: u64 = steps.iter().map(|entry| entry.tokens).sum();
        ModelDemand {
            named: named.get(model).copied().unwrap_or(0),
            oldest_usable: steps.first().map_or(0, |entry| entry.oldest_version),
            work: tokens / (steps.len().max(1) as u64),
        }
    };
    models.iter().map(|model| (model.clone(), demand(model))).collect()
}

/// Whether texts of `service` must come from one version, so that runs finish before a load.
fn single_version(config: &pimentoslip_kernel::TrafficConfig, service: &str) -> bool {
    let names: BTreeSet<&SharedName> = config
        .rules()
        .filter(|rule| rule.batch().is_some_and(|batch| batch.single_version))
        .flat_map(|rule| rule.targets.iter().map(|target| &target.service))
        .collect();
    names.iter().any(|name| ***name == *service)
}

async fn carry_out(
    state: Arc<EdgeState>,
    upstreams: Client,
    term: SharedTerm,
    planner: Rc<RefCell<VersionPlanner>>,
    mut order: LoadOrder,
    keep_runs: bool,
) {
    let (outcome, reason) = give(&state, &upstreams, &term, &mut order, keep_runs).await;
    LogLine::new("load_order")
        .field("upstream", &order.upstream)
        .field("model", &order.model)
        .field("version", order.version)
        .field("fencing_token", term.borrow().map_or(0, |term| term.fencing_token))
        .field("accepted_before", order.accepted_before.map_or_else(|| "unknown".to_owned(), |count| count.to_string()))
        .field("result", reason)
        .info();
    planner.borrow_mut().ordered(&order, outcome, state.now());
}

async fn give(
    state: &Arc<EdgeState>,
    upstreams: &Client,
    term: &SharedTerm,
    order: &mut LoadOrder,
    keep_runs: bool,
) -> (OrderOutcome, String) {
    if order.accepted_before.is_none() {
        match accepted(upstreams, order).await {
            Ok(count) => order.accepted_before = Some(count),
            Err(reason) => return (OrderOutcome::Conflict, reason),
        }
    }
    let now = state.now();
    let Some(held) = term.borrow().filter(|term| term.may_act(now, ORDER_MS)) else {
        return (OrderOutcome::Conflict, "duty_lost".to_owned());
    };
    let _counted = state.track_duty_call();
    let message = OrderMessage {
        model: &order.model,
        version: order.version,
        keep_runs,
        holder: &state.settings.vm,
        fencing_token: held.fencing_token,
        accepted_before: order.accepted_before,
    };
    let Ok(body) = encode_order(&message) else { return (OrderOutcome::Refused, "unencodable".to_owned()) };
    // A process that is frozen here must not deliver the order when it wakes.
    let last = state.clock.now().plus_ms(ORDER_MS);
    let body = DeadlineBody::new(state.clock.clone(), last, Bytes::from(body));
    let request = upstreams
        .post(format!("http://{}{ORDER_PATH}", order.address))
        .timeout(Duration::from_millis(ORDER_MS))
        .insert_header((header::EXPECTED_UPSTREAM, &*order.upstream))
        .insert_header(("content-type", "application/json"));
    match request.send_body(body).await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            let outcome = match status {
                202 => OrderOutcome::Accepted,
                200 => OrderOutcome::Held,
                409 => OrderOutcome::Conflict,
                _ => OrderOutcome::Refused,
            };
            (outcome, status.to_string())
        }
        Err(error) => (OrderOutcome::Unanswered, error.to_string()),
    }
}

/// Orders that the upstream has accepted since its start.
async fn accepted(upstreams: &Client, order: &LoadOrder) -> Result<u64, String> {
    let request = upstreams
        .get(format!("http://{}{REPORT_PATH}", order.address))
        .timeout(Duration::from_millis(ORDER_MS))
        .insert_header((header::EXPECTED_UPSTREAM, &*order.upstream));
    let mut answer = request.send().await.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("report_{}", answer.status().as_u16()));
    }
    let body = answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| error.to_string())?;
    let report = decode_report(&body).map_err(|error| error.to_string())?;
    if report.order_in_progress {
        return Err("order_in_progress".to_owned());
    }
    Ok(report.orders_accepted)
}

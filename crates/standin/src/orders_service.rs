//! The ordering interface's stand-in. Started upstreams are taken from a list of spare ones and put on
//! the VM list.

use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpResponse, web};
use pimentoslip_wire::provider::{OrderAction, OrderRequest, OrderResponse, OrderState, VmEntry, VmRole, VmState};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// An upstream that an order may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareUpstream {
    /// VM name.
    pub name: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Kind.
    pub reclaimable: bool,
}

/// How the stand-in behaves.
#[derive(Clone, Debug, Default)]
pub struct OrderSettings {
    /// Whether old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Address of the VM list stand-in.
    pub vm_list_address: Option<String>,
    /// What can be started.
    pub spares: Vec<SpareUpstream>,
}

/// One order as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// The order.
    pub request: OrderRequest,
    /// Outcome; a repeated order gets the outcome of the first.
    pub state: OrderState,
    /// VM that was started.
    pub vm: Option<Arc<str>>,
}

struct OrderBook {
    settings: OrderSettings,
    spares: Mutex<Vec<SpareUpstream>>,
    log: Mutex<Vec<RecordedOrder>>,
}

/// Starts the stand-in on `listen`.
pub fn start_orders(listen: &str, settings: OrderSettings) -> Result<RunningStandin> {
    let spares = Mutex::new(settings.spares.clone());
    let state = web::Data::from(Arc::new(OrderBook { settings, spares, log: Mutex::default() }));
    start!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/orders/{id}", web::put().to(take))
            .route("/v1/orders/{id}", web::get().to(get))
            .route("/standin/orders", web::get().to(all))
            .route("/standin/spares", web::put().to(add_spare))
    })
}

async fn take(state: web::Data<OrderBook>, request: web::Json<OrderRequest>) -> HttpResponse {
    let request = request.into_inner();
    let (outcome, started) = decide(&state, &request);
    if let Some(spare) = started {
        list_vm(&state, &request, &spare).await;
    }
    if request.action == OrderAction::Stop && outcome == OrderState::Done {
        unlist_vm(&state, &request).await;
    }
    let vm = state
        .log
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
        .find(|entry| entry.request.order_id == request.order_id)
        .and_then(|entry| entry.vm.clone());
    let answer = OrderResponse { order_id: request.order_id, state: outcome, vm };
    if outcome == OrderState::Fenced {
        return HttpResponse::Conflict().json(answer);
    }
    HttpResponse::Ok().json(answer)
}

fn decide(state: &OrderBook, request: &OrderRequest) -> (OrderState, Option<SpareUpstream>) {
    let mut log = state.log.lock().unwrap_or_else(PoisonError::into_inner);
    let known = log.iter().find(|entry| entry.request.order_id == request.order_id).map(|entry| entry.state);
    let newest = log
        .iter()
        .filter(|entry| entry.request.failure_domain == request.failure_domain)
        .map(|entry| entry.request.fencing)
        .max()
        .unwrap_or(0);
    let fenced = state.settings.checks_fencing && request.fencing < newest;
    let mut started = None;
    let outcome = match known {
        _ if fenced => OrderState::Fenced,
        Some(known) => known,
        None if request.action == OrderAction::Stop => OrderState::Done,
        None => {
            started = take_spare(state, request);
            if started.is_some() { OrderState::Done } else { OrderState::Unavailable }
        }
    };
    let vm = started.as_ref().map(|spare| spare.name.clone());
    log.push(RecordedOrder { request: request.clone(), state: outcome, vm });
    (outcome, started)
}

fn take_spare(state: &OrderBook, request: &OrderRequest) -> Option<SpareUpstream> {
    let mut spares = state.spares.lock().unwrap_or_else(PoisonError::into_inner);
    let at = spares.iter().position(|spare| {
        spare.service == request.service
            && spare.failure_domain == request.failure_domain
            && spare.reclaimable == request.reclaimable
    })?;
    Some(spares.remove(at))
}

async fn list_vm(state: &OrderBook, request: &OrderRequest, spare: &SpareUpstream) {
    let Some(vms) = &state.settings.vm_list_address else { return };
    let entry = VmEntry {
        name: spare.name.clone(),
        role: VmRole::Upstream,
        failure_domain: request.failure_domain.clone(),
        address: spare.address.clone(),
        service: Some(request.service.clone()),
        reclaimable: request.reclaimable,
        state: VmState::Live,
    };
    // The list is a hint; a failed update shows as a lagging entry.
    let _ = awc::Client::default().put(format!("http://{vms}/v1/vms/{}", spare.name)).send_json(&entry).await;
}

async fn unlist_vm(state: &OrderBook, request: &OrderRequest) {
    let (Some(vms), Some(vm)) = (&state.settings.vm_list_address, &request.vm) else { return };
    let _ = awc::Client::default().delete(format!("http://{vms}/v1/vms/{vm}")).send().await;
}

async fn get(state: web::Data<OrderBook>, id: web::Path<String>) -> HttpResponse {
    let log = state.log.lock().unwrap_or_else(PoisonError::into_inner);
    match log.iter().find(|entry| *entry.request.order_id == **id) {
        Some(entry) => HttpResponse::Ok().json(OrderResponse {
            order_id: entry.request.order_id.clone(),
            state: entry.state,
            vm: entry.vm.clone(),
        }),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn all(state: web::Data<OrderBook>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.log.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn add_spare(state: web::Data<OrderBook>, spare: web::Json<SpareUpstream>) -> HttpResponse {
    state.spares.lock().unwrap_or_else(PoisonError::into_inner).push(spare.into_inner());
    HttpResponse::NoContent().finish()
}

//! Stand-in for the service that starts and stops upstreams by order. It starts upstreams from a list of spares and
//! adds them to the VM list stand-in.

use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpResponse, web};
use pimentoslip_wire::provider::{OrderAction, OrderRequest, OrderResponse, OrderState, VmEntry, VmRole, VmState};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// An upstream that an order may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareUpstream {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Service that the upstream serves.
    pub service: Arc<str>,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// Address of the upstream, `ip:port`.
    pub address: Arc<str>,
    /// Whether the platform may reclaim the VM.
    pub reclaimable: bool,
}

/// Settings of the orders stand-in.
#[derive(Clone, Debug, Default)]
pub struct OrderSettings {
    /// Whether an order is rejected if an earlier order for its failure domain had a higher fencing number.
    pub checks_fencing: bool,
    /// Address of the VM list stand-in, `ip:port`. Without it, started upstreams are not listed.
    pub vm_list_address: Option<String>,
    /// Upstreams that can be started.
    pub spares: Vec<SpareUpstream>,
}

/// A received order and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// Order as received.
    pub request: OrderRequest,
    /// Outcome; a repeated order gets the outcome of the first one, unless its fencing number is outdated.
    pub state: OrderState,
    /// Name of the VM that was started; `None` if none was, as for a repeated order.
    pub vm: Option<Arc<str>>,
}

/// State shared by the request handlers.
struct OrderServiceState {
    settings: OrderSettings,
    spares: Mutex<Vec<SpareUpstream>>,
    orders: Mutex<Vec<RecordedOrder>>,
}

/// Starts the stand-in at the address `listen` (`ip:port`).
pub fn start_orders(listen: &str, settings: OrderSettings) -> Result<RunningStandin> {
    let spares = Mutex::new(settings.spares.clone());
    let state = web::Data::from(Arc::new(OrderServiceState { settings, spares, orders: Mutex::default() }));
    start_server!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/orders/{id}", web::put().to(place_order))
            .route("/v1/orders/{id}", web::get().to(get_order))
            .route("/standin/orders", web::get().to(list_orders))
            .route("/standin/spares", web::put().to(add_spare))
    })
}

/// Carries out an order and answers with its outcome.
async fn place_order(state: web::Data<OrderServiceState>, request: web::Json<OrderRequest>) -> HttpResponse {
    let request = request.into_inner();
    let (outcome, started_spare) = record_order(&state, &request);
    if let Some(spare) = started_spare {
        list_vm(&state, &request, &spare).await;
    }
    if request.action == OrderAction::Stop && outcome == OrderState::Done {
        unlist_vm(&state, &request).await;
    }
    let vm = state
        .orders
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
        .find(|order| order.request.order_id == request.order_id)
        .and_then(|order| order.vm.clone());
    let response = OrderResponse { order_id: request.order_id, state: outcome, vm };
    if outcome == OrderState::Fenced {
        return HttpResponse::Conflict().json(response);
    }
    HttpResponse::Ok().json(response)
}

/// Decides the outcome of an order and records both. Also returns the spare upstream that the order starts, if any.
fn record_order(state: &OrderServiceState, request: &OrderRequest) -> (OrderState, Option<SpareUpstream>) {
    let mut orders = state.orders.lock().unwrap_or_else(PoisonError::into_inner);
    let previous_outcome =
        orders.iter().find(|order| order.request.order_id == request.order_id).map(|order| order.state);
    let max_fencing = orders
        .iter()
        .filter(|order| order.request.failure_domain == request.failure_domain)
        .map(|order| order.request.fencing)
        .max()
        .unwrap_or(0);
    let is_fenced = state.settings.checks_fencing && request.fencing < max_fencing;
    let mut started_spare = None;
    let outcome = match previous_outcome {
        _ if is_fenced => OrderState::Fenced,
        Some(previous) => previous,
        None if request.action == OrderAction::Stop => OrderState::Done,
        None => {
            started_spare = take_spare(state, request);
            if started_spare.is_some() { OrderState::Done } else { OrderState::Unavailable }
        }
    };
    let vm = started_spare.as_ref().map(|spare| spare.name.clone());
    orders.push(RecordedOrder { request: request.clone(), state: outcome, vm });
    (outcome, started_spare)
}

/// Removes and returns the first spare upstream that matches the order.
fn take_spare(state: &OrderServiceState, request: &OrderRequest) -> Option<SpareUpstream> {
    let mut spares = state.spares.lock().unwrap_or_else(PoisonError::into_inner);
    let index = spares.iter().position(|spare| {
        spare.service == request.service
            && spare.failure_domain == request.failure_domain
            && spare.reclaimable == request.reclaimable
    })?;
    Some(spares.remove(index))
}

/// Adds a started upstream to the VM list.
async fn list_vm(state: &OrderServiceState, request: &OrderRequest, spare: &SpareUpstream) {
    let Some(vm_list) = &state.settings.vm_list_address else { return };
    let entry = VmEntry {
        name: spare.name.clone(),
        role: VmRole::Upstream,
        failure_domain: request.failure_domain.clone(),
        address: spare.address.clone(),
        service: Some(request.service.clone()),
        reclaimable: request.reclaimable,
        state: VmState::Live,
    };
    // Errors are ignored: the VM list is only a hint, and a failed update appears as an outdated entry.
    let _ = awc::Client::default().put(format!("http://{vm_list}/v1/vms/{}", spare.name)).send_json(&entry).await;
}

/// Removes a stopped upstream from the VM list.
async fn unlist_vm(state: &OrderServiceState, request: &OrderRequest) {
    let (Some(vm_list), Some(vm)) = (&state.settings.vm_list_address, &request.vm) else { return };
    let _ = awc::Client::default().delete(format!("http://{vm_list}/v1/vms/{vm}")).send().await;
}

async fn get_order(state: web::Data<OrderServiceState>, id: web::Path<String>) -> HttpResponse {
    let orders = state.orders.lock().unwrap_or_else(PoisonError::into_inner);
    match orders.iter().find(|order| *order.request.order_id == **id) {
        Some(order) => HttpResponse::Ok().json(OrderResponse {
            order_id: order.request.order_id.clone(),
            state: order.state,
            vm: order.vm.clone(),
        }),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list_orders(state: web::Data<OrderServiceState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.orders.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn add_spare(state: web::Data<OrderServiceState>, spare: web::Json<SpareUpstream>) -> HttpResponse {
    state.spares.lock().unwrap_or_else(PoisonError::into_inner).push(spare.into_inner());
    HttpResponse::NoContent().finish()
}

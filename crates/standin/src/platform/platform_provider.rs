//! The interface that takes usage reports and orders for upstreams.

use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpRequest, HttpResponse, http::StatusCode, web};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

/// A report as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformUsageReport {
    /// Who holds the duty.
    pub holder: String,
    /// The holder's fencing token.
    pub fencing_token: u64,
    /// Window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: Value,
}

/// An order for upstreams as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOrder {
    /// Who holds the duty.
    pub holder: String,
    /// The holder's fencing token.
    pub fencing_token: u64,
    /// Body.
    pub order: Value,
    /// Status of the answer.
    pub status: u16,
}

#[derive(Default)]
struct ProviderState {
    reports: Mutex<Vec<PlatformUsageReport>>,
    orders: Mutex<Vec<ScaleOrder>>,
    /// Whether there are no reclaimable upstreams.
    dry: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running interface.
#[derive(Clone)]
pub struct PlatformProvider {
    /// Bound address.
    pub address: SocketAddr,
    state: Arc<ProviderState>,
}

impl PlatformProvider {
    /// Starts it on a port picked by the kernel, on the current runtime.
    pub fn start() -> Result<Self> {
        let state = Arc::new(ProviderState::default());
        let data = web::Data::from(state.clone());
        let app = move || {
            let app = App::new().app_data(data.clone());
            app.route("/usage", web::post().to(usage)).route("/scale", web::post().to(scale))
        };
        let running: Result<RunningStandin> = start!("127.0.0.1:0", app);
        let (address, _) = running?.spawn();
        Ok(Self { address, state })
    }

    /// Reports so far, in order.
    #[must_use]
    pub fn reports(&self) -> Vec<PlatformUsageReport> {
        lock(&self.state.reports).clone()
    }

    /// Orders for upstreams so far, in order.
    #[must_use]
    pub fn scale_orders(&self) -> Vec<ScaleOrder> {
        lock(&self.state.orders).clone()
    }

    /// Whether there are no reclaimable upstreams from now on.
    pub fn set_reclaimable_unavailable(&self, dry: bool) {
        self.state.dry.store(dry, Ordering::SeqCst);
    }
}

fn header(request: &HttpRequest, name: &str) -> String {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn scale(state: web::Data<ProviderState>, request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let refused = body["spot"] == true && state.dry.load(Ordering::SeqCst);
    let status = if refused { StatusCode::CONFLICT } else { StatusCode::OK };
    lock(&state.orders).push(ScaleOrder {
        holder: header(&request, "duty-holder"),
        fencing_token: header(&request, "fencing-token").parse().unwrap_or(0),
        order: body.into_inner(),
        status: status.as_u16(),
    });
    HttpResponse::build(status).finish()
}

async fn usage(state: web::Data<ProviderState>, request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let report = PlatformUsageReport {
        holder: header(&request, "duty-holder"),
        fencing_token: header(&request, "fencing-token").parse().unwrap_or(0),
        window: body["window"].as_u64().unwrap_or(0),
        counts: body["counts"].clone(),
    };
    lock(&state.reports).push(report);
    HttpResponse::Ok().finish()
}

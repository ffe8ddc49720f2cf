//! Stand-in for the platform's service that receives usage reports and orders for upstreams.

use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpRequest, HttpResponse, http::StatusCode, web};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

/// A received usage report.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformUsageReport {
    /// Holder of the duty, as named by the sender.
    pub holder: String,
    /// Fencing token of the holder, zero if the header is missing.
    pub fencing_token: u64,
    /// Number of the usage window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: Value,
}

/// A received order for upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOrder {
    /// Holder of the duty, as named by the sender.
    pub holder: String,
    /// Fencing token of the holder, zero if the header is missing.
    pub fencing_token: u64,
    /// Body of the order.
    pub order: Value,
    /// HTTP status that the order was answered with.
    pub status: u16,
}

/// State shared by the request handlers.
#[derive(Default)]
struct ProviderState {
    reports: Mutex<Vec<PlatformUsageReport>>,
    orders: Mutex<Vec<ScaleOrder>>,
    /// Whether orders for reclaimable upstreams are rejected.
    reclaimable_unavailable: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running stand-in for the platform's service for usage reports and scaling orders.
#[derive(Clone)]
pub struct PlatformProvider {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    state: Arc<ProviderState>,
}

impl PlatformProvider {
    /// Starts the stand-in on the current runtime, at a free loopback port.
    pub fn start() -> Result<Self> {
        let state = Arc::new(ProviderState::default());
        let data = web::Data::from(state.clone());
        let app = move || {
            let app = App::new().app_data(data.clone());
            app.route("/usage", web::post().to(record_usage)).route("/scale", web::post().to(record_scale_order))
        };
        let running: Result<RunningStandin> = start_server!("127.0.0.1:0", app);
        let (address, _) = running?.spawn();
        Ok(Self { address, state })
    }

    /// Usage reports received so far, in order.
    #[must_use]
    pub fn reports(&self) -> Vec<PlatformUsageReport> {
        lock(&self.state.reports).clone()
    }

    /// Orders for upstreams received so far, in order.
    #[must_use]
    pub fn scale_orders(&self) -> Vec<ScaleOrder> {
        lock(&self.state.orders).clone()
    }

    /// Sets whether orders for reclaimable upstreams are rejected with status 409 from now on.
    pub fn set_reclaimable_unavailable(&self, unavailable: bool) {
        self.state.reclaimable_unavailable.store(unavailable, Ordering::SeqCst);
    }
}

/// Value of a request header, or an empty text if it is missing.
fn header(request: &HttpRequest, name: &str) -> String {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn record_scale_order(
    state: web::Data<ProviderState>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    let is_rejected = body["spot"] == true && state.reclaimable_unavailable.load(Ordering::SeqCst);
    let status = if is_rejected { StatusCode::CONFLICT } else { StatusCode::OK };
    lock(&state.orders).push(ScaleOrder {
        holder: header(&request, "duty-holder"),
        fencing_token: header(&request, "fencing-token").parse().unwrap_or(0),
        order: body.into_inner(),
        status: status.as_u16(),
    });
    HttpResponse::build(status).finish()
}

async fn record_usage(state: web::Data<ProviderState>, request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let report = PlatformUsageReport {
        holder: header(&request, "duty-holder"),
        fencing_token: header(&request, "fencing-token").parse().unwrap_or(0),
        window: body["window"].as_u64().unwrap_or(0),
        counts: body["counts"].clone(),
    };
    lock(&state.reports).push(report);
    HttpResponse::Ok().finish()
}

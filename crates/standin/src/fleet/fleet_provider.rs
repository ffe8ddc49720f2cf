//! The interface that takes usage reports.

use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpRequest, HttpResponse, web};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

/// A report as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Who holds the duty.
    pub holder: String,
    /// The holder's fencing token.
    pub fencing_token: u64,
    /// Window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: Value,
}

type Reports = Mutex<Vec<UsageReport>>;

/// A running interface.
#[derive(Clone)]
pub struct FleetProvider {
    /// Bound address.
    pub address: SocketAddr,
    reports: Arc<Reports>,
}

impl FleetProvider {
    /// Starts it on a port picked by the kernel, on the current runtime.
    pub fn start() -> Result<Self> {
        let reports = Arc::new(Reports::default());
        let data = web::Data::from(reports.clone());
        let running: Result<RunningStandin> =
            start!("127.0.0.1:0", move || App::new().app_data(data.clone()).route("/usage", web::post().to(usage)));
        let (address, _) = running?.spawn();
        Ok(Self { address, reports })
    }

    /// Reports so far, in order.
    #[must_use]
    pub fn reports(&self) -> Vec<UsageReport> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn usage(reports: web::Data<Reports>, request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let report = UsageReport {
        holder: header("duty-holder"),
        fencing_token: header("fencing-token").parse().unwrap_or(0),
        window: body["window"].as_u64().unwrap_or(0),
        counts: body["counts"].clone(),
    };
    reports.lock().unwrap_or_else(PoisonError::into_inner).push(report);
    HttpResponse::Ok().finish()
}

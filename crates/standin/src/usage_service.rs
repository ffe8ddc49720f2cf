//! The usage interface's stand-in. It keeps every report, so that tests can look for differing ones.

use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::provider::UsageReport;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// One report as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedUsageReport {
    /// Window named in the path.
    pub window: u64,
    /// Fencing number of the reporter.
    pub fencing: u64,
    /// Body, byte for byte.
    pub body: String,
    /// Whether it was refused for an old fencing number.
    pub fenced: bool,
}

impl RecordedUsageReport {
    /// The parsed report.
    pub fn parse(&self) -> serde_json::Result<UsageReport> {
        serde_json::from_str(&self.body)
    }
}

struct UsageState {
    checks_fencing: bool,
    log: Mutex<Vec<RecordedUsageReport>>,
}

/// Starts the stand-in on `listen`.
pub fn start_usage(listen: &str, checks_fencing: bool) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(UsageState { checks_fencing, log: Mutex::default() }));
    start!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/usage/{site}/{window}", web::put().to(take))
            .route("/standin/reports", web::get().to(reports))
    })
}

async fn take(
    state: web::Data<UsageState>,
    path: web::Path<(String, u64)>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let fencing = request.headers().get("x-fencing").and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    let mut log = state.log.lock().unwrap_or_else(PoisonError::into_inner);
    let newest = log.iter().map(|entry| entry.fencing).max().unwrap_or(0);
    let fenced = state.checks_fencing && fencing < newest;
    let body = String::from_utf8_lossy(&body).into_owned();
    log.push(RecordedUsageReport { window: path.1, fencing, body, fenced });
    if fenced {
        return HttpResponse::Conflict().finish();
    }
    HttpResponse::NoContent().finish()
}

async fn reports(state: web::Data<UsageState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.log.lock().unwrap_or_else(PoisonError::into_inner))
}

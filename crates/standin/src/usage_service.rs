//! Stand-in for the service that receives usage reports. It records every report, so that tests can compare repeated
//! reports of one window.

use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::provider::UsageReport;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// A received usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedUsageReport {
    /// Number of the usage window, from the request path.
    pub window: u64,
    /// Fencing number of the sender, zero if the header is missing.
    pub fencing: u64,
    /// Unparsed body, so that reports can be compared byte for byte.
    pub body: String,
    /// Whether the report was rejected for an outdated fencing number.
    pub fenced: bool,
}

impl RecordedUsageReport {
    /// Parses the body of the report.
    pub fn parse(&self) -> serde_json::Result<UsageReport> {
        serde_json::from_str(&self.body)
    }
}

/// State shared by the request handlers.
struct UsageState {
    checks_fencing: bool,
    reports: Mutex<Vec<RecordedUsageReport>>,
}

/// Starts the stand-in at the address `listen` (`ip:port`). With `checks_fencing`, it rejects reports whose fencing
/// number is lower than one that it has received.
pub fn start_usage(listen: &str, checks_fencing: bool) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(UsageState { checks_fencing, reports: Mutex::default() }));
    start_server!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/v1/usage/{site}/{window}", web::put().to(record_report))
            .route("/standin/reports", web::get().to(list_reports))
    })
}

/// Records a report, and rejects it if its fencing number is outdated.
async fn record_report(
    state: web::Data<UsageState>,
    path: web::Path<(String, u64)>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let fencing = request.headers().get("x-fencing").and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    let mut reports = state.reports.lock().unwrap_or_else(PoisonError::into_inner);
    let max_fencing = reports.iter().map(|report| report.fencing).max().unwrap_or(0);
    let fenced = state.checks_fencing && fencing < max_fencing;
    let body = String::from_utf8_lossy(&body).into_owned();
    reports.push(RecordedUsageReport { window: path.1, fencing, body, fenced });
    if fenced {
        return HttpResponse::Conflict().finish();
    }
    HttpResponse::NoContent().finish()
}

async fn list_reports(state: web::Data<UsageState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.reports.lock().unwrap_or_else(PoisonError::into_inner))
}

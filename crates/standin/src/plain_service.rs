//! Stand-in for a plain service. It records every request that it runs and answers with the number of runs so far.

use crate::{PlainFault, RecordedRequest, Result, RunningStandin, running::start_server};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::{NOT_RUN, REQUEST_ID_HEADER, RUN_STATE_HEADER};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// State shared by the request handlers.
#[derive(Default)]
struct PlainState {
    fault: Mutex<PlainFault>,
    runs: Mutex<Vec<RecordedRequest>>,
}

/// Starts the stand-in at the address `listen` (`ip:port`).
pub fn start_plain(listen: &str) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(PlainState::default()));
    start_server!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/standin/seen", web::get().to(list_runs))
            .route("/standin/fault", web::put().to(set_fault))
            .default_service(web::to(run_request))
    })
}

/// Runs and records a request, unless a simulated fault refuses it.
async fn run_request(state: web::Data<PlainState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let recorded = RecordedRequest::from_request(&request, &body);
    let fault = {
        let mut fault = state.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let current = *fault;
        fault.refuse_requests = fault.refuse_requests.saturating_sub(1);
        fault.wrong_request_ids = fault.wrong_request_ids.saturating_sub(1);
        current
    };
    let id = recorded.header(REQUEST_ID_HEADER).to_owned();
    if fault.refuse_requests > 0 {
        return HttpResponse::ServiceUnavailable()
            .insert_header((REQUEST_ID_HEADER, id))
            .insert_header((RUN_STATE_HEADER, NOT_RUN))
            .finish();
    }
    let run_count = {
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(recorded);
        runs.len()
    };
    if fault.answer_after_ms > 0 {
        tokio::time::sleep(Duration::from_millis(fault.answer_after_ms)).await;
    }
    let answer_id = if fault.wrong_request_ids > 0 { "another-request".to_owned() } else { id };
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, answer_id)).json(serde_json::json!({ "run": run_count }))
}

async fn list_runs(state: web::Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.runs.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn set_fault(state: web::Data<PlainState>, fault: web::Json<PlainFault>) -> HttpResponse {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = *fault;
    HttpResponse::NoContent().finish()
}

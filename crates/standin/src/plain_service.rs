//! A plain service's stand-in: counts every run of every request.

use crate::{PlainFault, RecordedRequest, Result, RunningStandin, running::start};
use actix_web::{App, HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::{NOT_RUN, REQUEST_ID_HEADER, RUN_STATE_HEADER};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

#[derive(Default)]
struct PlainState {
    fault: Mutex<PlainFault>,
    seen: Mutex<Vec<RecordedRequest>>,
}

/// Starts the stand-in on `listen`.
pub fn start_plain(listen: &str) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(PlainState::default()));
    start!(listen, move || {
        App::new()
            .app_data(state.clone())
            .route("/standin/seen", web::get().to(seen))
            .route("/standin/fault", web::put().to(set_fault))
            .default_service(web::to(run))
    })
}

async fn run(state: web::Data<PlainState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let seen = RecordedRequest::from_request(&request, &body);
    let fault = {
        let mut fault = state.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let now = *fault;
        fault.refuse_requests = fault.refuse_requests.saturating_sub(1);
        fault.wrong_request_ids = fault.wrong_request_ids.saturating_sub(1);
        now
    };
    let id = seen.header(REQUEST_ID_HEADER).to_owned();
    if fault.refuse_requests > 0 {
        return HttpResponse::ServiceUnavailable()
            .insert_header((REQUEST_ID_HEADER, id))
            .insert_header((RUN_STATE_HEADER, NOT_RUN))
            .finish();
    }
    let run = {
        let mut all = state.seen.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(seen);
        all.len()
    };
    if fault.answer_after_ms > 0 {
        tokio::time::sleep(Duration::from_millis(fault.answer_after_ms)).await;
    }
    let answered = if fault.wrong_request_ids > 0 { "another-request".to_owned() } else { id };
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, answered)).json(serde_json::json!({ "run": run }))
}

async fn seen(state: web::Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.seen.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn set_fault(state: web::Data<PlainState>, fault: web::Json<PlainFault>) -> HttpResponse {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = *fault;
    HttpResponse::NoContent().finish()
}

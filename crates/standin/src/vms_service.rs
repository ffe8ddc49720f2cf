//! The VM list stand-in. `PUT /v1/vms/NAME` adds or changes an entry, `DELETE` removes it.

use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpResponse, web};
use pimentoslip_wire::provider::{VmEntry, VmList};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

type VmTable = Mutex<BTreeMap<String, VmEntry>>;

/// Starts the stand-in on `listen`.
pub fn start_vms(listen: &str) -> Result<RunningStandin> {
    let table = web::Data::from(Arc::new(VmTable::default()));
    start!(listen, move || {
        App::new()
            .app_data(table.clone())
            .route("/v1/vms", web::get().to(list))
            .route("/v1/vms/{name}", web::put().to(put))
            .route("/v1/vms/{name}", web::delete().to(remove))
    })
}

async fn list(table: web::Data<VmTable>) -> HttpResponse {
    let vms = table.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect();
    HttpResponse::Ok().json(VmList { vms })
}

async fn put(table: web::Data<VmTable>, name: web::Path<String>, entry: web::Json<VmEntry>) -> HttpResponse {
    table.lock().unwrap_or_else(PoisonError::into_inner).insert(name.into_inner(), entry.into_inner());
    HttpResponse::NoContent().finish()
}

async fn remove(table: web::Data<VmTable>, name: web::Path<String>) -> HttpResponse {
    table.lock().unwrap_or_else(PoisonError::into_inner).remove(&name.into_inner());
    HttpResponse::NoContent().finish()
}

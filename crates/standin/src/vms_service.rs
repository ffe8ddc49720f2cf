//! Stand-in for the service that lists VMs. `PUT /v1/vms/NAME` adds or replaces an entry, `DELETE` removes it.

use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpResponse, web};
use pimentoslip_wire::provider::{VmEntry, VmList};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

/// Entries of the VM list by name.
type VmTable = Mutex<BTreeMap<String, VmEntry>>;

/// Starts the stand-in at the address `listen` (`ip:port`).
pub fn start_vms(listen: &str) -> Result<RunningStandin> {
    let table = web::Data::from(Arc::new(VmTable::default()));
    start_server!(listen, move || {
        App::new()
            .app_data(table.clone())
            .route("/v1/vms", web::get().to(list_vms))
            .route("/v1/vms/{name}", web::put().to(put_vm))
            .route("/v1/vms/{name}", web::delete().to(remove_vm))
    })
}

async fn list_vms(table: web::Data<VmTable>) -> HttpResponse {
    let vms = table.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect();
    HttpResponse::Ok().json(VmList { vms })
}

async fn put_vm(table: web::Data<VmTable>, name: web::Path<String>, entry: web::Json<VmEntry>) -> HttpResponse {
    table.lock().unwrap_or_else(PoisonError::into_inner).insert(name.into_inner(), entry.into_inner());
    HttpResponse::NoContent().finish()
}

async fn remove_vm(table: web::Data<VmTable>, name: web::Path<String>) -> HttpResponse {
    table.lock().unwrap_or_else(PoisonError::into_inner).remove(&name.into_inner());
    HttpResponse::NoContent().finish()
}

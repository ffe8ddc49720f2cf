//! What daemons send each other.

use super::WorkerParts;
use crate::job::{NewJob, receive};
use actix_web::{HttpResponse, web};
use pimentoslip_kernel::OwnerRecord;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{decode, peer::JobPush};

/// Largest push: submissions are bounded by the operators' limit on bodies, 32 MB by default.
pub const PUSH_BYTES_MAX: usize = 33 << 20;

/// Takes in a job that this process owns.
pub async fn take_job(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    let state = &parts.state;
    let push: JobPush = match decode(&body) {
        Ok(push) => push,
        Err(error) => {
            LogLine::new("push_malformed").field("reason", error).warn();
            return HttpResponse::BadRequest().finish();
        }
    };
    if push.incarnation != state.incarnation || state.is_draining() {
        return HttpResponse::Conflict().finish();
    }
    let owner =
        OwnerRecord { daemon: state.settings.vm.clone(), incarnation: push.incarnation, revision: push.revision };
    let job = NewJob { id: push.job, entry: push.entry, kind: "".into(), body: push.body.into() };
    receive(state, &job, Some(owner));
    HttpResponse::Ok().finish()
}

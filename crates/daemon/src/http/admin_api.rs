//! Administration API for operators.

use super::WorkerState;
use crate::{
    config_writer::{ConfigWriter, WriteError},
    step::ListStepsMessage,
    task::{PeerUpdate, push_update},
};
use actix_web::{HttpResponse, web};
use pimentoslip_client::KeyValueClient;
use pimentoslip_kernel::{ConfigRecord, MemberState, RecordEntry, RecordName, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::admin::{
    ApplyRequest, ChangeResponse, ConfigResponse, DaemonStatus, DutyStatus, RecordBody, StatusResponse, UpstreamStatus,
};
use std::{
    sync::{PoisonError, atomic::Ordering},
    time::Duration,
};

/// Time for which a change waits for confirmations before the response reports it as not accepted yet.
const CONFIRM_TIMEOUT_MS: u64 = 2_500;
const CONFIRM_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Response to a failed change.
pub fn error_response(error: &WriteError) -> HttpResponse {
    let body = serde_json::json!({ "error": error.to_string() });
    match error {
        WriteError::Unconfirmed(_) => HttpResponse::ServiceUnavailable().json(body),
        WriteError::Conflicting(_) | WriteError::Rejected(_) => HttpResponse::Conflict().json(body),
        WriteError::Malformed(_) => HttpResponse::InternalServerError().json(body),
    }
}

/// Applies written records on this daemon, sends them to the peers, and returns the response to the change. The change
/// is accepted once every daemon that may be running has confirmed it, so that a later crash cannot remove it from all
/// daemons at once.
pub async fn distribute_change(worker: &WorkerState, entries: Vec<RecordEntry>) -> HttpResponse {
    worker.shared.apply_records(entries.clone(), 0);
    let changed_count = entries.len();
    let revision = entries.iter().map(|entry| entry.revision).max();
    let revision = revision.unwrap_or_else(|| worker.shared.config().newest_revision());
    let (confirmed, unconfirmed) = push_until_confirmed(worker, entries).await;
    let accepted = unconfirmed.is_empty();
    LogLine::new("change").field("revision", revision).field("accepted", accepted).info();
    let response = ChangeResponse { accepted, revision, changed_count, confirmed, unconfirmed };
    if accepted { HttpResponse::Ok().json(response) } else { HttpResponse::Accepted().json(response) }
}

/// Sends records until every daemon has confirmed them or [`CONFIRM_TIMEOUT_MS`] has passed. Returns the names of the
/// daemons that confirmed, and of those that did not.
async fn push_until_confirmed(worker: &WorkerState, entries: Vec<RecordEntry>) -> (Vec<SharedName>, Vec<SharedName>) {
    let deadline = worker.shared.now().plus_ms(CONFIRM_TIMEOUT_MS);
    loop {
        let update = PeerUpdate::records(entries.clone());
        let (confirmed, unconfirmed) = push_update(&worker.shared, &worker.peer_client, update).await;
        if unconfirmed.is_empty() || worker.shared.now() >= deadline {
            return (confirmed, unconfirmed);
        }
        actix_rt::time::sleep(CONFIRM_RETRY_PAUSE).await;
    }
}

/// Handles `POST /apply`: replaces the configuration of the site, its services and organisations.
pub async fn apply(worker: web::Data<WorkerState>, request: web::Json<ApplyRequest>) -> HttpResponse {
    let request = request.into_inner();
    match write_records(&worker, request).await {
        Ok(entries) => distribute_change(&worker, entries).await,
        Err(error) => error_response(&error),
    }
}

/// Writes the records that differ from the stored ones, and marks the stored services and organisations that are
/// missing from the request as removed. Returns the written entries.
async fn write_records(worker: &WorkerState, request: ApplyRequest) -> Result<Vec<RecordEntry>, WriteError> {
    let writer = ConfigWriter::new(&worker.kv, &worker.shared);
    let mut wanted: Vec<(RecordName, ConfigRecord)> =
        request.records.into_iter().map(|body| (body.name, body.record)).collect();
    for name in removed_names(worker, &wanted).await? {
        wanted.push((name, ConfigRecord::Removed));
    }
    let mut entries = Vec::new();
    for (name, record) in wanted {
        let edit = |stored: Option<&ConfigRecord>| Ok((stored != Some(&record)).then(|| record.clone()));
        entries.extend(writer.update(&name, &request.change_id, edit).await?);
    }
    Ok(entries)
}

/// Names of the stored services and organisations that are missing from `wanted`.
async fn removed_names(
    worker: &WorkerState,
    wanted: &[(RecordName, ConfigRecord)],
) -> Result<Vec<RecordName>, WriteError> {
    let prefix = crate::config_writer::config_prefix(&worker.shared.settings.site);
    let stored = worker.kv.range(&prefix, 0).await?;
    let names = stored.kvs.iter().filter_map(|entry| {
        let name = RecordName::parse(std::str::from_utf8(&entry.key).ok()?.strip_prefix(&prefix)?)?;
        let is_removable = matches!(name, RecordName::Service(_) | RecordName::Organisation(_));
        (is_removable && !wanted.iter().any(|(kept, _)| *kept == name)).then_some(name)
    });
    Ok(names.collect())
}

/// Handles `GET /config`: the cached configuration, without keys.
pub async fn config(worker: web::Data<WorkerState>) -> HttpResponse {
    let shared = &worker.shared;
    let now = shared.now();
    let age_ms = shared.freshness().age_ms(now);
    let view = shared.config();
    let records = view
        .iter()
        .filter(|entry| !matches!(entry.name, RecordName::Keys(_)))
        .map(|entry| RecordBody { name: entry.name.clone(), revision: entry.revision, record: (*entry.record).clone() })
        .collect();
    HttpResponse::Ok().json(ConfigResponse {
        daemon: shared.settings.name.clone(),
        revision: view.newest_revision(),
        age_ms,
        records,
    })
}

/// Handles `POST /drain`: the daemon shuts down as if its supervisor had sent a termination signal.
pub async fn drain(worker: web::Data<WorkerState>) -> HttpResponse {
    worker.shared.drain_requested.notify_one();
    HttpResponse::Accepted().json(serde_json::json!({ "draining": &worker.shared.settings.name }))
}

/// Handles `GET /usage`: the reports of the sealed windows, oldest first.
pub async fn usage(worker: web::Data<WorkerState>) -> HttpResponse {
    match crate::task::sealed_reports(&worker.kv, &worker.shared.settings.site).await {
        Ok(reports) => HttpResponse::Ok().json(reports),
        Err(error) => error_response(&error.into()),
    }
}

/// Handles `GET /status`: the state of the site as this daemon sees it.
pub async fn status(worker: web::Data<WorkerState>) -> HttpResponse {
    let steps = worker.step_actor.send(ListStepsMessage).await.unwrap_or_default();
    let shared = &worker.shared;
    let keys_trusted = shared.is_config_fresh();
    let config = shared.config();
    let site = config.site();
    let published_versions =
        config.service_names().into_iter().map(|name| (name.clone(), config.published_version(&name))).collect();
    let upstreams = upstream_statuses(&worker);
    let response = StatusResponse {
        daemon: shared.settings.name.clone(),
        revision: config.newest_revision(),
        keys_trusted,
        draining: shared.draining.load(Ordering::SeqCst),
        daemons: daemon_statuses(&worker),
        duties: duty_statuses(&worker),
        spend_cents_per_hour: spend_cents_per_hour(&config, &upstreams),
        upstreams,
        steps,
        staleness_bound: site.map_or(0, |site| site.staleness_bound),
        published: published_versions,
        floor_cents_per_hour: site.map_or(0, |site| site.spend_floor_cents_per_hour),
        ceiling_cents_per_hour: site.map_or(0, |site| site.spend_ceiling_cents_per_hour),
    };
    HttpResponse::Ok().json(response)
}

/// Status of this daemon and the other members.
fn daemon_statuses(worker: &WorkerState) -> Vec<DaemonStatus> {
    let own_member = worker.shared.own_member();
    let state_name = |state: MemberState| format!("{state:?}").to_lowercase();
    let own_status = DaemonStatus {
        name: own_member.name,
        failure_domain: own_member.failure_domain,
        state: state_name(own_member.state),
        incarnation: own_member.incarnation,
    };
    let members = worker.shared.members();
    let others = members.iter().map(|member| DaemonStatus {
        name: member.name.clone(),
        failure_domain: member.failure_domain.clone(),
        state: state_name(member.state),
        incarnation: member.incarnation,
    });
    std::iter::once(own_status).chain(others).collect()
}

fn duty_statuses(worker: &WorkerState) -> Vec<DutyStatus> {
    let duties = worker.shared.duty_states.lock().unwrap_or_else(PoisonError::into_inner);
    let status = |(duty, (state, fencing)): (&SharedName, &(&'static str, Option<u64>))| DutyStatus {
        duty: duty.clone(),
        state: (*state).to_owned(),
        fencing: *fencing,
    };
    duties.iter().map(status).collect()
}

fn upstream_statuses(worker: &WorkerState) -> Vec<UpstreamStatus> {
    let routes = worker.shared.routes();
    let status = routes.iter().map(|entry| UpstreamStatus {
        name: entry.name.clone(),
        service: entry.service.clone(),
        failure_domain: entry.failure_domain.clone(),
        state: if entry.accepts_requests() { "live" } else { "leaving" }.to_owned(),
        reclaimable: entry.reclaimable,
        inflight: entry.inflight(),
        version: entry.version,
    });
    status.collect()
}

/// Price of all upstreams together, in cents per hour.
fn spend_cents_per_hour(config: &pimentoslip_kernel::ConfigView, upstreams: &[UpstreamStatus]) -> u64 {
    let cents_per_hour = |upstream: &UpstreamStatus| {
        config.service(&upstream.service).map_or(0, |service| match upstream.reclaimable {
            true => service.reclaimable_cents_per_hour,
            false => service.standing_cents_per_hour,
        })
    };
    upstreams.iter().map(cents_per_hour).sum()
}

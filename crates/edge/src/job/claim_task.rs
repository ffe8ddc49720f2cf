//! Claims batch jobs that have no owner, and starts the tasks that run the jobs owned by this daemon.

use super::{job_runner::run_job, owned_job::job_placement};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{DueClaim, JobPlacement, OwnerRecord, SharedName};
use pimentoslip_platform::{CommitOutcome, StoreCommit};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{encode, stored::KeyLayout};
use std::{sync::Arc, time::Duration};

/// Longest time between two checks for jobs to claim or to start; a change of the jobs triggers one at once.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Claims and starts jobs until the daemon drains.
pub async fn claim_jobs(state: Arc<EdgeState>, upstream_client: Client, store: StoreAccess) {
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(CHECK_PERIOD, state.job_changed.notified()).await;
        let now = state.now();
        let has_running_jobs = state.jobs().running_count() > 0;
        state.path_selector().set_urgent(has_running_jobs);
        let claims = {
            let returned_at = state.store_returned_at();
            let jobs = state.jobs();
            let placement = |job: &SharedName| match jobs.get(job) {
                Some(view) => job_placement(&state, &view.entry),
                None => JobPlacement::from(job.clone()),
            };
            state.ownership().due_claims(now, returned_at, |job| jobs.has_state(job), placement)
        };
        let lease = state.lease_view().lease;
        if let Some(lease) = lease {
            for claim in claims {
                claim_job(&state, &store, &claim, lease).await;
            }
        }
        start_owned_jobs(&state, &upstream_client, &store);
    }
}

/// Writes this daemon as the owner of a job under its lease, unless another daemon was faster or the job has ended.
async fn claim_job(state: &EdgeState, store: &StoreAccess, claim: &DueClaim, lease: u64) {
    let entry = match encode(&state.daemon_entry()) {
        Ok(entry) => entry,
        Err(error) => return LogLine::new("job_claim_failed").field("job", &claim.job).field("reason", error).warn(),
    };
    let key = KeyLayout::owner_key(&claim.job);
    // The end may be stored although this daemon has only read the removal of the owner yet.
    let condition = StoreCommit::default().expect(KeyLayout::end_key(&claim.job), 0);
    let commit = condition.expect(key.clone(), claim.replaced_revision).put(key, entry, lease);
    match store.commit(&commit).await {
        Ok(CommitOutcome::Committed(revision)) => {
            LogLine::new("job_claimed")
                .field("job", &claim.job)
                .field("replaces", claim.replaced_revision)
                .field("revision", revision)
                .info();
            let daemon = state.settings.vm.clone();
            let owner = OwnerRecord { daemon, incarnation: state.incarnation, revision };
            let now = state.now();
            state.ownership().job_claimed(claim.job.clone(), owner, now);
        }
        Ok(CommitOutcome::Conflict(store_entries)) => {
            if store_entries.iter().any(|store_entry| store_entry.key == KeyLayout::end_key(&claim.job)) {
                state.jobs().job_ended(&claim.job);
                state.ownership().job_closed(&claim.job);
            }
            LogLine::new("job_claim_lost").field("job", &claim.job).field("replaces", claim.replaced_revision).info();
        }
        Err(error) => LogLine::new("job_claim_failed").field("job", &claim.job).field("reason", error).warn(),
    }
}

/// Starts a task for each owned job that is unfinished and not running yet.
fn start_owned_jobs(state: &Arc<EdgeState>, upstream_client: &Client, store: &StoreAccess) {
    let now = state.now();
    let owned_jobs: Vec<SharedName> = {
        let (jobs, ownership) = (state.jobs(), state.ownership());
        let unfinished = jobs.iter().filter(|(_, view)| !view.ended && !view.settled);
        unfinished
            .map(|(job, _)| job.clone())
            .filter(|job| ownership.may_start(job, jobs.is_pending(job), now))
            .collect()
    };
    for job in owned_jobs {
        if state.jobs().try_mark_running(job.clone()) {
            EdgeMetrics::global().jobs_owned.inc();
            actix_rt::spawn(run_job(state.clone(), upstream_client.clone(), store.clone(), job));
        }
    }
}

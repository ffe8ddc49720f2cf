//! Claims jobs without an owner, and starts work on jobs that this daemon owns.

use super::job_runner::run_job;
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{ClaimOrder, OwnerRecord, SharedName};
use pimentoslip_platform::{CommitOutcome, StoreCommit};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{encode, stored::KeyLayout};
use std::{sync::Arc, time::Duration};

/// Longest time between two looks at the table of owners.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Runs until the daemon drains.
pub async fn claim_jobs(state: Arc<EdgeState>, upstreams: Client, store: StoreAccess) {
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(LOOK_PERIOD, state.job_changed.notified()).await;
        let now = state.now();
        let claims = {
            let regained_at = state.store_reconnected_at();
            let jobs = state.jobs();
            state.ownership().claims(now, regained_at, |job| jobs.is_held(job))
        };
        let lease = state.lease().lease;
        if let Some(lease) = lease {
            for claim in claims {
                claim_job(&state, &store, &claim, lease).await;
            }
        }
        start_owned(&state, &upstreams, &store);
    }
}

async fn claim_job(state: &EdgeState, store: &StoreAccess, claim: &ClaimOrder, lease: u64) {
    let entry = match encode(&state.daemon_entry()) {
        Ok(entry) => entry,
        Err(error) => return LogLine::new("job_claim_failed").field("job", &claim.job).field("reason", error).warn(),
    };
    let key = KeyLayout::owner(&claim.job);
    let commit = StoreCommit::default().expect(key.clone(), claim.replaces).put(key, entry, lease);
    match store.commit(&commit).await {
        Ok(CommitOutcome::Done(revision)) => {
            LogLine::new("job_claimed")
                .field("job", &claim.job)
                .field("replaces", claim.replaces)
                .field("revision", revision)
                .info();
            let daemon = state.settings.vm.clone();
            let owner = OwnerRecord { daemon, incarnation: state.incarnation, revision };
            let now = state.now();
            state.ownership().claimed(claim.job.clone(), owner, now);
        }
        Ok(CommitOutcome::Conflict(_)) => {
            LogLine::new("job_claim_lost").field("job", &claim.job).field("replaces", claim.replaces).info();
        }
        Err(error) => LogLine::new("job_claim_failed").field("job", &claim.job).field("reason", error).warn(),
    }
}

fn start_owned(state: &Arc<EdgeState>, upstreams: &Client, store: &StoreAccess) {
    let now = state.now();
    let owned: Vec<SharedName> = {
        let (jobs, ownership) = (state.jobs(), state.ownership());
        let open = jobs.iter().filter(|(_, view)| !view.ended && !view.settled);
        open.map(|(job, _)| job.clone()).filter(|job| ownership.may_begin(job, jobs.has_submission(job), now)).collect()
    };
    for job in owned {
        if state.jobs().hold(job.clone()) {
            EdgeMetrics::global().jobs_owned.inc();
            actix_rt::spawn(run_job(state.clone(), upstreams.clone(), store.clone(), job));
        }
    }
}

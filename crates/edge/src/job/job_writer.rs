//! Puts batch jobs and their ends on record.

use crate::edge_state::EdgeState;
use bytes::Bytes;
use pimentoslip_kernel::{OwnerRecord, SharedName, TimePoint};
use pimentoslip_platform::{BatchSubmission, CommitOutcome, StoreClient, StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{JobEntry, KeyLayout},
};
use std::{sync::Arc, time::Duration};

/// Largest part of a submission in bytes, below the platform's limit on values.
const PART_BYTES_MAX: usize = 700_000;
/// Pause before a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is on record.
    Accepted,
    /// It is on record for another organisation.
    Foreign,
    /// It is not on record and will not be.
    NotDone,
    /// It may be on record, now or later.
    Unknown,
}

/// Puts a job on record, owned by this daemon.
pub async fn submit(
    state: &Arc<EdgeState>,
    store: &StoreClient,
    job: &SharedName,
    entry: JobEntry,
    submission: BatchSubmission,
    body: &Bytes,
    deadline: TimePoint,
) -> SubmitOutcome {
    let mut unknown = false;
    loop {
        let lease = state.lease().lease;
        let Some(commit) = submission_commit(state, job, &entry, body, lease) else { return SubmitOutcome::NotDone };
        match store.commit(&commit).await {
            Ok(CommitOutcome::Done(revision)) => {
                accept(state, job, entry, submission, lease.map(|_| revision));
                return SubmitOutcome::Accepted;
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let record = items.first().and_then(|item| decode::<JobEntry>(&item.value).ok());
                let foreign = record.is_some_and(|record| record.organisation != entry.organisation);
                return if foreign { SubmitOutcome::Foreign } else { SubmitOutcome::Accepted };
            }
            Err(error) => {
                LogLine::new("submit_retry").field("job", job).field("reason", &error).warn();
                match error {
                    StoreError::LeaseGone => {
                        let mut view = state.lease();
                        if view.lease == lease {
                            view.lease = None;
                        }
                    }
                    StoreError::NotDone { .. } => {}
                    _ => unknown = true,
                }
            }
        }
        if state.now() >= deadline {
            return if unknown { SubmitOutcome::Unknown } else { SubmitOutcome::NotDone };
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// The commit that puts a job, its parts and, under a lease, its owner on record.
fn submission_commit(
    state: &EdgeState,
    job: &str,
    entry: &JobEntry,
    body: &Bytes,
    lease: Option<u64>,
) -> Option<StoreCommit> {
    let record = encode(entry).ok()?;
    let mut commit = StoreCommit::default().expect(KeyLayout::job(job), 0).put(KeyLayout::job(job), record, 0);
    if let Some(lease) = lease {
        commit = commit.put(KeyLayout::owner(job), encode(&state.signature()).ok()?, lease);
    }
    let parts =
        (0..body.len()).step_by(PART_BYTES_MAX).map(|from| body.slice(from..body.len().min(from + PART_BYTES_MAX)));
    Some(parts.enumerate().fold(commit, |commit, (number, part)| commit.put(KeyLayout::part(job, number), part, 0)))
}

fn accept(state: &EdgeState, job: &SharedName, entry: JobEntry, submission: BatchSubmission, owned: Option<u64>) {
    let now = state.now();
    {
        let mut jobs = state.jobs();
        jobs.accepted(job.clone(), entry);
        jobs.keep_submission(job.clone(), Arc::new(submission));
    }
    let mut ownership = state.ownership();
    ownership.job_accepted(job.clone(), now);
    if let Some(revision) = owned {
        let daemon = state.settings.vm.clone();
        ownership.owner_known(job.clone(), OwnerRecord { daemon, incarnation: state.incarnation, revision }, now);
    }
    drop(ownership);
    state.job_changed.notify_waiters();
}

/// Puts a job's end on record. False if that is not certain.
pub async fn end(state: &EdgeState, store: &StoreClient, job: &str, deadline: TimePoint) -> bool {
    if state.jobs().is_ended(job) {
        return true;
    }
    let commit = StoreCommit::default().put(KeyLayout::end(job), Bytes::new(), 0).remove(KeyLayout::owner(job));
    loop {
        match store.commit(&commit).await {
            Ok(_) => {
                state.jobs().ended(job);
                state.ownership().job_closed(job);
                state.job_changed.notify_waiters();
                return true;
            }
            Err(error) => LogLine::new("end_retry").field("job", job).field("reason", &error).warn(),
        }
        if state.now() >= deadline {
            return false;
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

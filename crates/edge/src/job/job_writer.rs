//! Puts batch jobs and their ends on record.

use super::KeptJob;
use crate::{edge_state::EdgeState, store::StoreAccess, worker_parts::WorkerParts};
use awc::Client;
use bytes::Bytes;
use pimentoslip_kernel::{DaemonPresence, LedgerState, OwnerRecord, SharedName, TimePoint};
use pimentoslip_platform::{BatchSubmission, CommitOutcome, StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    peer::JobPush,
    stored::{DaemonEntry, JobEntry, KeyLayout},
};
use std::{sync::Arc, time::Duration};

/// Largest part of a submission in bytes, below the platform's limit on values.
const PART_BYTES_MAX: usize = 700_000;
/// Pause before a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Longest wait for the owner to take a job in; it answers in milliseconds.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Path at which daemons take jobs in.
pub const JOB_PUSH_PATH: &str = "/peer/job";

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

/// A job that is to be put on record.
#[derive(Clone, Debug)]
pub struct NewJob {
    /// Job.
    pub id: SharedName,
    /// Its record.
    pub entry: JobEntry,
    /// Jobs of one kind have one owner.
    pub kind: SharedName,
    /// The submission's body.
    pub body: Bytes,
    /// What the body says.
    pub submission: Arc<BatchSubmission>,
}

impl NewJob {
    /// The message for the owner, whose record stands at `revision`.
    fn push(&self, owner: &ChosenOwner, revision: u64, state: Option<LedgerState>) -> JobPush {
        JobPush {
            job: self.id.clone(),
            entry: self.entry.clone(),
            incarnation: owner.signature.incarnation,
            revision,
            state,
            body: self.body.to_vec(),
        }
    }
}

/// The daemon that will own a job.
#[derive(Clone, Debug)]
struct ChosenOwner {
    signature: DaemonEntry,
    presence: DaemonPresence,
}

/// Puts a job on record with an owner, and hands it to the owner.
pub async fn submit(parts: &WorkerParts, job: &NewJob, deadline: TimePoint) -> SubmitOutcome {
    let state = &parts.state;
    if let Some(known) = state.jobs().get(&job.id) {
        let is_own = known.entry.organisation == job.entry.organisation;
        return if is_own { SubmitOutcome::Accepted } else { SubmitOutcome::Foreign };
    }
    let mut owner = choose_owner(state, &job.kind, None);
    let mut unknown = false;
    loop {
        let Some(commit) = submission_commit(job, owner.as_ref()) else { return SubmitOutcome::NotDone };
        match parts.store.commit(&commit).await {
            Ok(CommitOutcome::Done(revision)) => {
                accept(parts, job, owner, revision);
                return SubmitOutcome::Accepted;
            }
            Ok(CommitOutcome::Conflict(items)) => {
                let record = items.first().and_then(|item| decode::<JobEntry>(&item.value).ok());
                let foreign = record.is_some_and(|record| record.organisation != job.entry.organisation);
                return if foreign { SubmitOutcome::Foreign } else { SubmitOutcome::Accepted };
            }
            Err(error) => {
                LogLine::new("submit_retry").field("job", &job.id).field("reason", &error).warn();
                match error {
                    // Any daemon may claim a job without an owner.
                    StoreError::LeaseGone => owner = None,
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

fn choose_owner(state: &EdgeState, kind: &str, excluded: Option<&str>) -> Option<ChosenOwner> {
    let ownership = state.ownership();
    let (daemon, presence) = ownership.preferred(kind, excluded)?;
    let signature = DaemonEntry { daemon: daemon.clone(), incarnation: presence.incarnation };
    Some(ChosenOwner { signature, presence: presence.clone() })
}

/// The commit that puts a job, its parts and its owner on record.
fn submission_commit(job: &NewJob, owner: Option<&ChosenOwner>) -> Option<StoreCommit> {
    let record = encode(&job.entry).ok()?;
    let key = KeyLayout::job(&job.id);
    let mut commit = StoreCommit::default().expect(key.clone(), 0).put(key, record, 0);
    if let Some(owner) = owner {
        commit = commit.put(KeyLayout::owner(&job.id), encode(&owner.signature).ok()?, owner.presence.lease);
    }
    let length = job.body.len();
    let parts = (0..length).step_by(PART_BYTES_MAX).map(|from| job.body.slice(from..length.min(from + PART_BYTES_MAX)));
    Some(parts.enumerate().fold(commit, |commit, (number, part)| commit.put(KeyLayout::part(&job.id, number), part, 0)))
}

fn accept(parts: &WorkerParts, job: &NewJob, owner: Option<ChosenOwner>, revision: u64) {
    let Some(owner) = owner else { return receive(&parts.state, job, None, None) };
    let record = owner.signature.clone().into_owner(revision);
    if owner.signature == parts.state.daemon_entry() {
        return receive(&parts.state, job, Some(record), None);
    }
    {
        let now = parts.state.now();
        parts.state.jobs().accepted(job.id.clone(), job.entry.clone());
        let mut ownership = parts.state.ownership();
        ownership.job_accepted(job.id.clone(), now);
        ownership.owner_known(job.id.clone(), record, now);
    }
    let push = job.push(&owner, revision, None);
    actix_rt::spawn(push_job(parts.upstream_client.clone(), owner.presence.control, push));
}

/// Hands a job to its owner. If that fails, the owner reads the job from the store.
async fn push_job(client: Client, control: SharedName, push: JobPush) {
    let body = match encode(&push) {
        Ok(body) => body,
        Err(error) => return LogLine::new("job_not_pushed").field("job", &push.job).field("reason", error).warn(),
    };
    let request = client.post(format!("http://{control}{JOB_PUSH_PATH}")).timeout(PUSH_TIMEOUT);
    let result = match request.send_body(body).await {
        Ok(answer) => answer.status().as_u16().to_string(),
        Err(error) => error.to_string(),
    };
    LogLine::new("job_pushed").field("job", &push.job).field("owner", control).field("result", result).info();
}

/// Hands a job to another daemon with all that is known of it, before this one stops.
pub async fn hand_over(parts: &WorkerParts, job: &NewJob, revision: u64, ledger: LedgerState) {
    let own = parts.state.settings.vm.clone();
    let Some(owner) = choose_owner(&parts.state, &job.kind, Some(&own)) else { return };
    let Ok(signature) = encode(&owner.signature) else { return };
    let key = KeyLayout::owner(&job.id);
    let commit = StoreCommit::default().expect(key.clone(), revision).put(key, signature, owner.presence.lease);
    match parts.store.commit(&commit).await {
        Ok(CommitOutcome::Done(revision)) => {
            let push = job.push(&owner, revision, Some(ledger));
            push_job(parts.upstream_client.clone(), owner.presence.control, push).await;
        }
        Ok(CommitOutcome::Conflict(_)) => {
            LogLine::new("job_not_handed_over").field("job", &job.id).field("reason", "owner changed").info()
        }
        Err(error) => LogLine::new("job_not_handed_over").field("job", &job.id).field("reason", error).warn(),
    }
}

/// Takes a job in that is on record.
pub fn receive(state: &EdgeState, job: &NewJob, owner: Option<OwnerRecord>, ledger: Option<LedgerState>) {
    let now = state.now();
    {
        let mut jobs = state.jobs();
        jobs.accepted(job.id.clone(), job.entry.clone());
        if !jobs.is_held(&job.id) {
            jobs.keep_submission(
                job.id.clone(),
                KeptJob { submission: job.submission.clone(), body: job.body.clone(), ledger },
            );
        }
    }
    let mut ownership = state.ownership();
    ownership.job_accepted(job.id.clone(), now);
    if let Some(owner) = owner {
        ownership.owner_known(job.id.clone(), owner, now);
    }
    drop(ownership);
    state.job_changed.notify_waiters();
}

/// Puts a job's end on record. False if that is not certain.
pub async fn end(state: &EdgeState, store: &StoreAccess, job: &str, deadline: TimePoint) -> bool {
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

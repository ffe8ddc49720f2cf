//! Stores batch jobs and their ends, and transfers jobs to the daemons that own them.

use super::PendingJob;
use crate::{edge_state::EdgeState, store::StoreAccess, worker_parts::WorkerParts};
use awc::Client;
use bytes::Bytes;
use pimentoslip_kernel::{DaemonPresence, JobPlacement, LedgerState, OwnerRecord, SharedName, TimePoint};
use pimentoslip_platform::{BatchSubmission, CommitOutcome, Result, StoreCommit, StoreEntry, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    peer::JobPush,
    stored::{DaemonEntry, JobEntry, KeyLayout},
};
use std::{fmt::Display, sync::Arc, time::Duration};

/// Largest stored part of a submission; below the platform's limit on the size of a value.
const PART_BYTES_MAX: usize = 700_000;
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Longest wait for the owner to accept a job; it normally responds within milliseconds.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Path of the peer interface at which a daemon accepts jobs that it owns.
pub const JOB_PUSH_PATH: &str = "/peer/job";

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// A job of another organisation is stored under the same id.
    Foreign,
    /// The job is not stored, and no write is in progress that could still store it.
    NotDone,
    /// The job may be stored, or may still become stored: the outcome of a write is unknown.
    Unknown,
}

/// Outcome of a request to end a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end is stored.
    Ended,
    /// The end is not stored, and no write is in progress that could still store it.
    NotDone,
    /// The end may be stored, or may still become stored: the outcome of a write is unknown.
    Unknown,
}

/// A batch job with its submission, to be stored in the store or transferred to another daemon.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    /// Id of the job.
    pub id: SharedName,
    /// Stored entry of the job, or the entry to be stored.
    pub entry: JobEntry,
    /// How the owner is chosen.
    pub placement: JobPlacement,
    /// Encoded submission.
    pub body: Bytes,
    /// Decoded submission.
    pub submission: Arc<BatchSubmission>,
}

impl SubmittedJob {
    /// Builds the message that transfers the job to `owner`, whose ownership entry was written at `revision`.
    /// `ledger_state` is the progress of a job that has run before.
    fn push_message(&self, owner: &ChosenOwner, revision: u64, ledger_state: Option<LedgerState>) -> JobPush {
        JobPush {
            job: self.id.clone(),
            entry: self.entry.clone(),
            owner_incarnation: owner.daemon_entry.incarnation,
            ownership_revision: revision,
            ledger_state,
            body: self.body.to_vec(),
        }
    }
}

/// The daemon selected to own a job.
#[derive(Clone, Debug)]
struct ChosenOwner {
    /// Value of the ownership entry.
    daemon_entry: DaemonEntry,
    /// Lease of the ownership entry, and address for the transfer.
    presence: DaemonPresence,
}

/// Stores a job together with its owner in one commit, and transfers it to the owner. A failed commit is repeated until
/// `deadline`.
pub async fn submit_job(parts: &WorkerParts, job: &SubmittedJob, deadline: TimePoint) -> SubmitOutcome {
    let state = &parts.state;
    if let Some(existing) = state.jobs().get(&job.id) {
        let is_own = existing.entry.organisation == job.entry.organisation;
        return if is_own { SubmitOutcome::Accepted } else { SubmitOutcome::Foreign };
    }
    let mut owner = choose_owner(state, &job.placement, None);
    let mut outcome_unknown = false;
    loop {
        let Some(commit) = submission_commit(job, owner.as_ref()) else { return SubmitOutcome::NotDone };
        match parts.store.commit(&commit).await {
            Ok(CommitOutcome::Committed(revision)) => {
                assign_stored_job(parts, job, owner, revision);
                return SubmitOutcome::Accepted;
            }
            Ok(CommitOutcome::Conflict(store_entries)) => return existing_outcome(job, &store_entries),
            Err(error) => {
                LogLine::new("submit_retry").field("job", &job.id).field("reason", &error).warn();
                match error {
                    // The owner's lease has expired. The job is stored without an owner, and any daemon may claim it.
                    StoreError::LeaseNotFound => owner = None,
                    StoreError::NotApplied { .. } => {}
                    _ => outcome_unknown = true,
                }
            }
        }
        if state.now() >= deadline {
            return if outcome_unknown { SubmitOutcome::Unknown } else { SubmitOutcome::NotDone };
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Outcome of a submission whose job is stored already, as `store_entries`.
fn existing_outcome(job: &SubmittedJob, store_entries: &[StoreEntry]) -> SubmitOutcome {
    let existing = store_entries.first().map(|store_entry| decode::<JobEntry>(&store_entry.value));
    match existing {
        Some(Ok(existing)) if existing.organisation == job.entry.organisation => SubmitOutcome::Accepted,
        Some(Ok(_)) => SubmitOutcome::Foreign,
        Some(Err(error)) => {
            LogLine::new("entry_unreadable").field("key", KeyLayout::job_key(&job.id)).field("reason", error).warn();
            SubmitOutcome::Unknown
        }
        // The store names the job as existing, but its entry could not be read.
        None => SubmitOutcome::Unknown,
    }
}

/// The present daemon that jobs with `placement` are assigned to, other than `excluded`.
fn choose_owner(state: &EdgeState, placement: &JobPlacement, excluded: Option<&str>) -> Option<ChosenOwner> {
    let ownership = state.ownership();
    let (daemon, presence) = ownership.preferred_daemon(placement, excluded)?;
    let daemon_entry = DaemonEntry { daemon: daemon.clone(), incarnation: presence.incarnation };
    Some(ChosenOwner { daemon_entry, presence: presence.clone() })
}

/// The commit that stores a job's entry, the parts of its submission and its owner, unless the job is stored already.
/// `None` if an entry cannot be encoded.
fn submission_commit(job: &SubmittedJob, owner: Option<&ChosenOwner>) -> Option<StoreCommit> {
    let entry = encode(&job.entry).ok()?;
    let key = KeyLayout::job_key(&job.id);
    let mut commit = StoreCommit::default().expect(key.clone(), 0).put(key, entry, 0);
    if let Some(owner) = owner {
        commit = commit.put(KeyLayout::owner_key(&job.id), encode(&owner.daemon_entry).ok()?, owner.presence.lease);
    }
    let length = job.body.len();
    let parts =
        (0..length).step_by(PART_BYTES_MAX).map(|start| job.body.slice(start..length.min(start + PART_BYTES_MAX)));
    Some(
        parts.enumerate().fold(commit, |commit, (number, part)| {
            commit.put(KeyLayout::submission_part_key(&job.id, number), part, 0)
        }),
    )
}

/// Records a job that was stored at `revision`, and transfers it to its owner: at once if that is this process, or else
/// with a message in the background.
fn assign_stored_job(parts: &WorkerParts, job: &SubmittedJob, owner: Option<ChosenOwner>, revision: u64) {
    let Some(owner) = owner else { return accept_job(&parts.state, job, None, None) };
    let owner_record = owner.daemon_entry.clone().into_owner(revision);
    if owner.daemon_entry == parts.state.daemon_entry() {
        return accept_job(&parts.state, job, Some(owner_record), None);
    }
    {
        let now = parts.state.now();
        parts.state.jobs().job_accepted(job.id.clone(), job.entry.clone());
        let mut ownership = parts.state.ownership();
        ownership.job_accepted(job.id.clone(), now);
        ownership.owner_recorded(job.id.clone(), owner_record, now);
    }
    let push = job.push_message(&owner, revision, None);
    actix_rt::spawn(push_job(parts.upstream_client.clone(), owner.presence.control_address, push));
}

/// Sends a job to its owner. If that fails, the owner reads the job from the store.
async fn push_job(client: Client, control_address: SharedName, push: JobPush) {
    let body = match encode(&push) {
        Ok(body) => body,
        Err(error) => return LogLine::new("job_not_pushed").field("job", &push.job).field("reason", error).warn(),
    };
    let request = client.post(format!("http://{control_address}{JOB_PUSH_PATH}")).timeout(PUSH_TIMEOUT);
    let result = match request.send_body(body).await {
        Ok(response) => response.status().as_u16().to_string(),
        Err(error) => error.to_string(),
    };
    LogLine::new("job_pushed").field("job", &push.job).field("owner", control_address).field("result", result).info();
}

/// Transfers a job with its progress to another daemon, before this one stops. `revision` is that of the ownership
/// entry to be replaced. If that entry cannot be replaced, the job is claimed by another daemon once this one's lease
/// has ended; if the message fails, the new owner reads the job from the store.
pub async fn hand_over_job(parts: &WorkerParts, job: &SubmittedJob, revision: u64, ledger: LedgerState) {
    let own_vm = parts.state.settings.vm.clone();
    let Some(owner) = choose_owner(&parts.state, &job.placement, Some(&own_vm)) else { return };
    match store_owner(parts, &job.id, &owner, revision).await {
        Ok(Some(revision)) => {
            let push = job.push_message(&owner, revision, Some(ledger));
            push_job(parts.upstream_client.clone(), owner.presence.control_address, push).await;
        }
        Ok(None) => log_not_handed_over(&job.id, "another daemon has become the owner"),
        Err(error) => log_not_handed_over(&job.id, error),
    }
}

fn log_not_handed_over(job: &str, reason: impl Display) {
    LogLine::new("job_not_handed_over").field("job", job).field("reason", reason).warn();
}

/// Stores `owner` in place of the ownership entry that was written at `replaced_revision`. Returns the revision of the new
/// entry, also if the response to the write was lost; `None` if another daemon has become the owner.
async fn store_owner(
    parts: &WorkerParts,
    job: &str,
    owner: &ChosenOwner,
    replaced_revision: u64,
) -> Result<Option<u64>> {
    let value = encode(&owner.daemon_entry).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let key = KeyLayout::owner_key(job);
    let commit = StoreCommit::default().expect(key.clone(), replaced_revision).put(
        key.clone(),
        value.clone(),
        owner.presence.lease,
    );
    match parts.store.commit(&commit).await {
        Ok(CommitOutcome::Committed(revision)) => Ok(Some(revision)),
        Ok(CommitOutcome::Conflict(_)) => Ok(None),
        Err(error) => {
            LogLine::new("job_handover_unanswered").field("job", job).field("reason", &error).warn();
            let stored = parts.store.get(&key).await?;
            stored.filter(|entry| entry.value == value).map(|entry| Some(entry.revision)).ok_or(error)
        }
    }
}

/// Adds a stored job to the index, with its submission and, if it has run before, the `ledger` of its previous owner.
/// Without an `owner`, any daemon may claim the job.
pub fn accept_job(state: &EdgeState, job: &SubmittedJob, owner: Option<OwnerRecord>, ledger: Option<LedgerState>) {
    let now = state.now();
    {
        let mut jobs = state.jobs();
        jobs.job_accepted(job.id.clone(), job.entry.clone());
        if !jobs.has_state(&job.id) {
            jobs.add_pending(
                job.id.clone(),
                PendingJob {
                    submission: job.submission.clone(),
                    body: job.body.clone(),
                    ledger,
                    owner_revision: owner.as_ref().map(|owner| owner.revision),
                },
            );
        }
    }
    let mut ownership = state.ownership();
    ownership.job_accepted(job.id.clone(), now);
    if let Some(owner) = owner {
        ownership.owner_recorded(job.id.clone(), owner, now);
    }
    drop(ownership);
    state.job_changed.notify_waiters();
}

/// Stores the end of a job and deletes its ownership entry. A failed commit is repeated until `deadline`.
pub async fn end_job(state: &EdgeState, store: &StoreAccess, job: &str, deadline: TimePoint) -> EndOutcome {
    if state.jobs().is_ended(job) {
        return EndOutcome::Ended;
    }
    let mut outcome_unknown = false;
    let commit = StoreCommit::default().put(KeyLayout::end_key(job), Bytes::new(), 0).remove(KeyLayout::owner_key(job));
    loop {
        match store.commit(&commit).await {
            Ok(_) => {
                state.jobs().job_ended(job);
                state.ownership().job_closed(job);
                state.job_changed.notify_waiters();
                return EndOutcome::Ended;
            }
            Err(error) => {
                LogLine::new("job_end_retried").field("job", job).field("reason", &error).warn();
                outcome_unknown |= !matches!(error, StoreError::NotApplied { .. });
            }
        }
        if state.now() >= deadline {
            return if outcome_unknown { EndOutcome::Unknown } else { EndOutcome::NotDone };
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

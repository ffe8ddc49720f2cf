//! Stores the progress of an owned job: finished results, and checkpoints of unfinished texts for the next owner.

use super::owned_job::OwnedJob;
use bytes::Bytes;
use pimentoslip_kernel::{ListingRecord, TimePoint, WriteSchedule};
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreEntry, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    CodecResult, encode,
    stored::{JobCheckpointEntry, KeyLayout, ResultsEntry},
};

/// Largest total size of the results of one write; below the platform's limit on the size of a value.
const CHUNK_BYTES_MAX: usize = 600_000;
/// Size at which a checkpoint is closed, so that only its last text exceeds it; below the platform's limit on the size
/// of a value.
const CHECKPOINT_BYTES_MAX: usize = 400_000;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The owner may continue, also after a failed write, which is repeated.
    Continue,
    /// The store holds other results in place of those of this owner, which must stop.
    Superseded,
}

/// A chunk of results to be stored.
struct ResultsWrite {
    key: String,
    entry: ResultsEntry,
    /// Encoded `entry`.
    value: Bytes,
}

/// A text checkpoint to be stored.
struct CheckpointWrite {
    key: String,
    /// Number of the checkpoint in its job.
    number: usize,
    /// Encoded checkpoint.
    value: Bytes,
}

/// Makes the writes of one job.
#[derive(Debug)]
pub struct LedgerWriter {
    schedule: WriteSchedule,
}

impl LedgerWriter {
    /// Creates a writer that writes the first results as soon as there are any.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { schedule: WriteSchedule::new(now) }
    }

    /// Writes due results and checkpoints. Each commit fails if the ownership entry has another revision than recorded.
    pub async fn write_due(&mut self, job: &OwnedJob) -> WriteOutcome {
        loop {
            let now = job.state.now();
            let (results_due, failures_due) = {
                let ledger = job.ledger.borrow();
                let failures_due = ledger.has_unsaved_failures() && self.schedule.are_failures_due(now);
                let is_urgent = ledger.all_items_finished() || ledger.is_listing_urgent() || failures_due;
                (self.schedule.are_results_due(now) || is_urgent, failures_due)
            };
            let results = if results_due { results_write(job) } else { None };
            let checkpoint_due = results.is_some() || failures_due || self.schedule.is_checkpoint_due(now);
            let checkpoint = if checkpoint_due { checkpoint_write(job) } else { None };
            if results.is_none() && checkpoint.is_none() {
                return WriteOutcome::Continue;
            }
            let waiting_count = job.ledger.borrow().unlisted_count();
            let outcome = commit_writes(job, results.as_ref(), checkpoint.as_ref()).await;
            let is_stored = |write: &ResultsWrite| job.ledger.borrow().listed_count() >= write.entry.next_position();
            let has_backlog = waiting_count > 0 && results.as_ref().is_some_and(is_stored);
            self.schedule.written(has_backlog, job.state.now());
            if !has_backlog {
                return outcome;
            }
        }
    }
}

/// The next chunk of results, if there is one.
fn results_write(job: &OwnedJob) -> Option<ResultsWrite> {
    let mut ledger = job.ledger.borrow_mut();
    let chunk = ledger.next_chunk(CHUNK_BYTES_MAX)?;
    let entry = ResultsEntry::from_chunk(chunk, |index| job.submission.items[index].id.clone());
    let value = encoded_entry(job, encode(&entry))?;
    Some(ResultsWrite { key: KeyLayout::results_key(&job.id, entry.first_position), entry, value })
}

/// The next text checkpoint, if there is one.
fn checkpoint_write(job: &OwnedJob) -> Option<CheckpointWrite> {
    let mut ledger = job.ledger.borrow_mut();
    let (number, checkpoint) = ledger.next_checkpoint(CHECKPOINT_BYTES_MAX)?;
    let value = encoded_entry(job, encode(&JobCheckpointEntry::from(checkpoint)))?;
    Some(CheckpointWrite { key: KeyLayout::checkpoint_key(&job.id, number), number, value })
}

/// The encoded entry. `None` if it could not be encoded, which is logged.
fn encoded_entry(job: &OwnedJob, entry: CodecResult<Vec<u8>>) -> Option<Bytes> {
    match entry {
        Ok(value) => Some(value.into()),
        Err(error) => {
            LogLine::new("entry_not_encoded").field("job", &job.id).field("reason", error).warn();
            None
        }
    }
}

/// Commits the results and the checkpoint, on the condition that neither key exists and the ownership entry is
/// unchanged.
async fn commit_writes(
    job: &OwnedJob,
    results: Option<&ResultsWrite>,
    checkpoint: Option<&CheckpointWrite>,
) -> WriteOutcome {
    let mut commit = StoreCommit::default().expect(KeyLayout::owner_key(&job.id), job.owner_revision.get());
    let results_put = results.map(|write| (&write.key, &write.value));
    let checkpoint_put = checkpoint.map(|write| (&write.key, &write.value));
    for (key, value) in results_put.into_iter().chain(checkpoint_put) {
        commit = commit.expect(key.clone(), 0).put(key.clone(), value.clone(), 0);
    }
    if results.is_some() {
        job.state.jobs().write_sent(&job.id, job.owner_revision.get());
    }
    match job.store.commit(&commit).await {
        Ok(CommitOutcome::Committed(revision)) => {
            let written_under = Some(job.owner_revision.get());
            results.into_iter().for_each(|results| results_stored(job, &results.entry, revision, written_under));
            checkpoint.into_iter().for_each(|checkpoint| checkpoint_stored(job, checkpoint, revision));
            WriteOutcome::Continue
        }
        Ok(CommitOutcome::Conflict(store_entries)) => resolve_conflict(job, results, checkpoint, &store_entries),
        Err(error) => {
            if results.is_some() {
                let is_refused = matches!(error, StoreError::NotApplied { .. } | StoreError::Rejected { .. });
                let record = if is_refused { ListingRecord::write_refused } else { ListingRecord::write_unanswered };
                write_failed(job, record);
            }
            LogLine::new("ledger_not_written")
                .field("job", &job.id)
                .field("first", results.map_or(0, |results| results.entry.first_position))
                .field("texts", checkpoint.map_or(0, |checkpoint| checkpoint.number))
                .field("reason", error)
                .warn();
            WriteOutcome::Continue
        }
    }
}

/// Updates what this process knows of the stored results of the job.
fn update_listing(job: &OwnedJob, update: impl FnOnce(&mut ListingRecord)) {
    if let Some(listing) = job.state.jobs().listing_mut(&job.id) {
        update(listing);
    }
}

/// Records that a write of results has failed, and wakes the readers that wait for its end.
fn write_failed(job: &OwnedJob, update: impl FnOnce(&mut ListingRecord)) {
    update_listing(job, update);
    job.state.results_listed.notify_waiters();
}

/// Resolves a conflict by comparing `store_entries`, which the store holds, with the values to be written. An earlier
/// write may have succeeded without a response; equal values count as stored. If the ownership entry has changed
/// instead, the next pass over the job checks whether this daemon is still the owner.
fn resolve_conflict(
    job: &OwnedJob,
    results: Option<&ResultsWrite>,
    checkpoint: Option<&CheckpointWrite>,
    store_entries: &[StoreEntry],
) -> WriteOutcome {
    let stored_entry = |key: &str| store_entries.iter().find(|store_entry| store_entry.key == key);
    if let Some(checkpoint) = checkpoint
        && let Some(store_entry) = stored_entry(&checkpoint.key)
    {
        if store_entry.value == checkpoint.value {
            checkpoint_stored(job, checkpoint, store_entry.revision);
        } else {
            LogLine::new("texts_conflict").field("job", &job.id).field("number", checkpoint.number).warn();
            job.ledger.borrow_mut().checkpoint_conflicted(checkpoint.number);
        }
    }
    let owner_entry = stored_entry(&KeyLayout::owner_key(&job.id));
    if owner_entry.is_none_or(|store_entry| store_entry.revision != job.owner_revision.get()) {
        update_listing(job, ListingRecord::write_superseded);
    }
    let Some(results) = results else { return WriteOutcome::Continue };
    match stored_entry(&results.key) {
        Some(store_entry) if store_entry.value == results.value => {
            results_stored(job, &results.entry, store_entry.revision, None);
        }
        Some(_) => {
            LogLine::new("results_conflict").field("job", &job.id).field("first", results.entry.first_position).warn();
            write_failed(job, ListingRecord::write_superseded);
            return WriteOutcome::Superseded;
        }
        None => write_failed(job, ListingRecord::write_refused),
    }
    WriteOutcome::Continue
}

/// Removes stored results from the ledger, and publishes them to readers. `written_under` is the revision of the ownership entry
/// under which they were just written; `None` if the store held them already.
fn results_stored(job: &OwnedJob, entry: &ResultsEntry, revision: u64, written_under: Option<u64>) {
    LogLine::new("results_listed")
        .field("job", &job.id)
        .field("first", entry.first_position)
        .field("next", entry.next_position())
        .field("revision", revision)
        .info();
    job.ledger.borrow_mut().chunk_stored(entry.first_position);
    job.state.jobs().results_stored(&job.id, entry.first_position, &entry.results, written_under);
    job.state.results_listed.notify_waiters();
}

/// Removes stored texts from the next checkpoints.
fn checkpoint_stored(job: &OwnedJob, checkpoint: &CheckpointWrite, revision: u64) {
    LogLine::new("texts_saved")
        .field("job", &job.id)
        .field("number", checkpoint.number)
        .field("bytes", checkpoint.value.len())
        .field("revision", revision)
        .info();
    job.ledger.borrow_mut().checkpoint_stored(checkpoint.number);
}

//! Puts on record what an owner has: finished results, and texts in the middle for the next owner.

use super::owned_job::OwnedJob;
use bytes::Bytes;
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreItem};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    CodecResult, encode,
    stored::{KeyLayout, ResultsEntry, TextsEntry},
};

/// Time between two writes, in which further results gather, in milliseconds.
const WRITE_PERIOD_MS: u64 = 400;
/// Time after a write until texts are put on record where no result is, in milliseconds: what a takeover may cost.
const TEXT_PERIOD_MS: u64 = 800;
/// Largest results of one write in bytes, below the platform's limit on values.
const CHUNK_BYTES_MAX: usize = 600_000;
/// Largest texts of one write in bytes, up to the last item's; below the platform's limit on values.
const TEXT_BYTES_MAX: usize = 400_000;

/// Whether the owner may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It may.
    Continue,
    /// The record holds what this owner did not write.
    Superseded,
}

/// Results on their way to the record.
struct ResultsWrite {
    key: String,
    entry: ResultsEntry,
    value: Bytes,
}

/// Texts on their way to the record.
struct TextsWrite {
    key: String,
    number: usize,
    value: Bytes,
}

/// Writes of one job.
#[derive(Debug)]
pub struct LedgerWriter {
    results_at: TimePoint,
    texts_at: TimePoint,
}

impl LedgerWriter {
    /// The first results are written as soon as there are any.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { results_at: now, texts_at: now.plus_ms(TEXT_PERIOD_MS) }
    }

    /// Writes what is due, under the ownership record's revision.
    pub async fn write_due(&mut self, job: &OwnedJob, now: TimePoint) -> WriteOutcome {
        let due = {
            let ledger = job.ledger.borrow();
            now >= self.results_at || ledger.is_finished() || ledger.is_urgent()
        };
        let results = if due { results_write(job) } else { None };
        let texts = if results.is_some() || now >= self.texts_at { texts_write(job) } else { None };
        if results.is_none() && texts.is_none() {
            return WriteOutcome::Continue;
        }
        let outcome = write(job, results.as_ref(), texts.as_ref()).await;
        let written = job.state.now();
        self.results_at = written.plus_ms(WRITE_PERIOD_MS);
        self.texts_at = written.plus_ms(TEXT_PERIOD_MS);
        outcome
    }
}

fn results_write(job: &OwnedJob) -> Option<ResultsWrite> {
    let mut ledger = job.ledger.borrow_mut();
    let chunk = ledger.chunk(CHUNK_BYTES_MAX)?;
    let entry = ResultsEntry::of(chunk, |index| job.submission.items[index].id.clone());
    let value = encoded(job, encode(&entry))?;
    Some(ResultsWrite { key: KeyLayout::chunk(&job.id, entry.first), entry, value })
}

fn texts_write(job: &OwnedJob) -> Option<TextsWrite> {
    let mut ledger = job.ledger.borrow_mut();
    let (number, checkpoint) = ledger.checkpoint(TEXT_BYTES_MAX)?;
    let value = encoded(job, encode(&TextsEntry::from(checkpoint)))?;
    Some(TextsWrite { key: KeyLayout::text(&job.id, number), number, value })
}

fn encoded(job: &OwnedJob, entry: CodecResult<Vec<u8>>) -> Option<Bytes> {
    match entry {
        Ok(value) => Some(value.into()),
        Err(error) => {
            LogLine::new("entry_not_encoded").field("job", &job.id).field("reason", error).warn();
            None
        }
    }
}

async fn write(job: &OwnedJob, results: Option<&ResultsWrite>, texts: Option<&TextsWrite>) -> WriteOutcome {
    let mut commit = StoreCommit::default().expect(KeyLayout::owner(&job.id), job.owner_revision.get());
    let results_put = results.map(|write| (&write.key, &write.value));
    let texts_put = texts.map(|write| (&write.key, &write.value));
    for (key, value) in results_put.into_iter().chain(texts_put) {
        commit = commit.expect(key.clone(), 0).put(key.clone(), value.clone(), 0);
    }
    match job.store.commit(&commit).await {
        Ok(CommitOutcome::Done(revision)) => {
            results.into_iter().for_each(|results| listed(job, &results.entry, revision));
            texts.into_iter().for_each(|texts| saved(job, texts, revision));
            WriteOutcome::Continue
        }
        Ok(CommitOutcome::Conflict(items)) => settle_conflict(job, results, texts, &items),
        Err(error) => {
            LogLine::new("ledger_not_written")
                .field("job", &job.id)
                .field("first", results.map_or(0, |results| results.entry.first))
                .field("texts", texts.map_or(0, |texts| texts.number))
                .field("reason", error)
                .warn();
            WriteOutcome::Continue
        }
    }
}

/// An earlier write may have been done without an answer, or the ownership record has changed; the next look shows
/// whether that is still this daemon's.
fn settle_conflict(
    job: &OwnedJob,
    results: Option<&ResultsWrite>,
    texts: Option<&TextsWrite>,
    items: &[StoreItem],
) -> WriteOutcome {
    let stored = |key: &str| items.iter().find(|item| item.key == key);
    if let Some(texts) = texts
        && let Some(item) = stored(&texts.key)
    {
        if item.value == texts.value {
            saved(job, texts, item.revision);
        } else {
            LogLine::new("texts_conflict").field("job", &job.id).field("number", texts.number).warn();
            job.ledger.borrow_mut().checkpoint_taken(texts.number);
        }
    }
    let Some(results) = results else { return WriteOutcome::Continue };
    match stored(&results.key) {
        Some(item) if item.value == results.value => listed(job, &results.entry, item.revision),
        Some(_) => {
            LogLine::new("results_conflict").field("job", &job.id).field("first", results.entry.first).warn();
            return WriteOutcome::Superseded;
        }
        None => {}
    }
    WriteOutcome::Continue
}

fn listed(job: &OwnedJob, entry: &ResultsEntry, revision: u64) {
    LogLine::new("results_listed")
        .field("job", &job.id)
        .field("first", entry.first)
        .field("next", entry.next())
        .field("revision", revision)
        .info();
    job.ledger.borrow_mut().chunk_listed(entry.first);
    {
        let mut jobs = job.state.jobs();
        jobs.chunk_stored(&job.id, entry.first, entry.next());
        jobs.append_results(&job.id, entry.first, &entry.results);
    }
    job.state.results_listed.notify_waiters();
}

fn saved(job: &OwnedJob, texts: &TextsWrite, revision: u64) {
    LogLine::new("texts_saved")
        .field("job", &job.id)
        .field("number", texts.number)
        .field("bytes", texts.value.len())
        .field("revision", revision)
        .info();
    job.ledger.borrow_mut().checkpoint_saved(texts.number);
}

//! Reads batch jobs, their submissions and results, from the job's owner or from the store.

use super::{
    JobView,
    owner_read::{item_from_owner, results_from_owner},
    read_source::ReadSource,
};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess};
use bytes::{Bytes, BytesMut};
use pimentoslip_kernel::{JobCheckpoint, SharedName, TimePoint};
use pimentoslip_platform::{BatchSubmission, RangePage, StoreChange, StoreEntry, StoreError, decode_submission};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode,
    stored::{JobCheckpointEntry, JobEntry, KeyLayout, ResultEntry, ResultsEntry},
};
use std::{collections::BTreeMap, sync::Arc};

/// Result of a read from the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Selects a range of a job's results, and how long to wait for it.
#[derive(Clone, Copy, Debug)]
pub struct ResultsQuery {
    /// Position of the first requested result.
    pub position: usize,
    /// Limit on the total size of the returned texts, in bytes; one result is returned even if it is larger.
    pub bytes_max: usize,
    /// Until when the read waits if no result at the position is stored yet.
    pub wait_until: TimePoint,
}

/// Results read from the store.
#[derive(Clone, Debug)]
struct StoredResults {
    /// Results from the requested position on, without a gap.
    results: Vec<Arc<ResultEntry>>,
    /// Revision of the store at the read, from which a watch can continue.
    revision: u64,
    /// Whether the store was read or watched for these results.
    source: ReadSource,
}

/// Returns the job from this process's index, or else from the store. `None` if the store has no such job.
pub async fn read_job(state: &EdgeState, store: &StoreAccess, job: &str) -> Result<Option<JobView>> {
    if let Some(view) = state.jobs().get(job) {
        return Ok(Some(view.clone()));
    }
    let Some(store_entry) = store.get(&KeyLayout::job_key(job)).await? else { return Ok(None) };
    let entry =
        decode::<JobEntry>(&store_entry.value).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let ended = store.get(&KeyLayout::end_key(job)).await?.is_some();
    Ok(Some(JobView { entry, ended, settled: false, chunk_ends: BTreeMap::new(), results_end: None }))
}

/// Reads results from the job's owner, or else from the store. Waits until at least one is stored or the query's wait
/// is over; the returned list is empty in the latter case.
pub async fn read_results(
    state: &EdgeState,
    store: &StoreAccess,
    peer_client: &PeerClient,
    job: &SharedName,
    query: &ResultsQuery,
) -> Result<Vec<Arc<ResultEntry>>> {
    let (results, source, revision) = match results_from_owner(state, peer_client, job, query).await {
        Some((results, source)) => (results, source, None),
        None => {
            let StoredResults { results, revision, source } = read_from_store(state, store, job, query).await?;
            (results, source, Some(revision))
        }
    };
    EdgeMetrics::increment(&EdgeMetrics::global().result_reads, source.name());
    if results.is_empty() {
        log_empty_read(state, job, query.position, source, revision);
    }
    Ok(results)
}

/// Logs a read that returns nothing, unless `position` is after the last item.
fn log_empty_read(state: &EdgeState, job: &str, position: usize, source: ReadSource, revision: Option<u64>) {
    let view = state.jobs().get(job).cloned();
    if view.as_ref().is_some_and(|view| position >= view.entry.item_count) {
        return;
    }
    let known_end = view.as_ref().and_then(|view| view.results_end);
    LogLine::new("results_empty")
        .field("job", job)
        .field("position", position)
        .field("source", source.name())
        .field("revision", revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string()))
        .field("known_end", known_end.map_or_else(|| "none".to_owned(), |(count, at)| format!("{count}@{at}")))
        .field("ended", view.is_some_and(|view| view.ended))
        .info();
}

/// Reads results from the store, and watches the store for new chunks while there is none.
async fn read_from_store(
    state: &EdgeState,
    store: &StoreAccess,
    job: &str,
    query: &ResultsQuery,
) -> Result<StoredResults> {
    let ResultsQuery { position, bytes_max, wait_until } = *query;
    let stored_end = state.jobs().get(job).and_then(|view| view.results_end).filter(|(count, _)| *count == position);
    let mut stored = match stored_end {
        // No result was stored at the position at that revision, so a watch from there returns every later result.
        Some((_, revision)) if wait_until > state.now() => {
            StoredResults { results: Vec::new(), revision, source: ReadSource::RememberedEnd }
        }
        _ => read_chunks(state, store, job, position, bytes_max).await?,
    };
    while stored.results.is_empty() {
        let left_ms = wait_until.since_ms(state.now());
        if left_ms == 0 || state.jobs().is_ended(job) {
            break;
        }
        let (batch, _) = match store.watch(&KeyLayout::results_prefix(job), stored.revision, left_ms).await {
            Ok(batch) => batch,
            Err(StoreError::HistoryCompacted) => return read_chunks(state, store, job, position, bytes_max).await,
            // The results read before the watch are still valid.
            Err(error) => {
                LogLine::new("result_watch_failed").field("job", job).field("reason", error).warn();
                break;
            }
        };
        stored.revision = batch.revision;
        stored.source = ReadSource::Store;
        let written_entries = batch.changes.into_iter().filter_map(|change| match change {
            StoreChange::Written(store_entry) => Some(store_entry),
            StoreChange::Removed { .. } => None,
        });
        append_consecutive(state, job, written_entries, position, bytes_max, &mut stored.results)?;
        if total_text_bytes(&stored.results) < bytes_max {
            state.jobs().results_end_observed(job, position + stored.results.len(), stored.revision);
        }
    }
    Ok(stored)
}

/// Reads the chunks in the store that hold the results from `position` on, page by page, up to `bytes_max` bytes.
async fn read_chunks(
    state: &EdgeState,
    store: &StoreAccess,
    job: &str,
    position: usize,
    bytes_max: usize,
) -> Result<StoredResults> {
    let prefix = KeyLayout::results_prefix(job);
    // Starts at the chunk that holds the position, or else after the last chunk before it that has been read.
    let first_chunk = state.jobs().get(job).map_or(0, |view| {
        let nearest_chunk = view.chunk_ends.range(..=position).next_back();
        nearest_chunk.map_or(0, |(first, next)| if position < *next { *first } else { *next })
    });
    let mut after = KeyLayout::key_before_results(job, first_chunk);
    let mut results = Vec::new();
    loop {
        let page: RangePage = store.page(&prefix, after.as_deref()).await?;
        after = page.entries.last().map(|store_entry| store_entry.key.clone()).or(after);
        let has_more = page.has_more && !page.entries.is_empty();
        append_consecutive(state, job, page.entries.into_iter(), position, bytes_max, &mut results)?;
        let bytes = total_text_bytes(&results);
        if !has_more && bytes < bytes_max {
            state.jobs().results_end_observed(job, position + results.len(), page.revision);
        }
        if !has_more || bytes >= bytes_max {
            return Ok(StoredResults { results, revision: page.revision, source: ReadSource::Store });
        }
    }
}

/// Total size of the results' texts, in bytes.
fn total_text_bytes(results: &[Arc<ResultEntry>]) -> usize {
    results.iter().map(|result| result.text.len()).sum()
}

/// Decodes the chunks in `store_entries`, and appends those results that continue `results`, whose first one is at
/// `position`. Stops before a result with which the texts would exceed `bytes_max` bytes.
fn append_consecutive(
    state: &EdgeState,
    job: &str,
    store_entries: impl Iterator<Item = StoreEntry>,
    position: usize,
    bytes_max: usize,
    results: &mut Vec<Arc<ResultEntry>>,
) -> Result<()> {
    let mut bytes = total_text_bytes(results);
    for store_entry in store_entries {
        let entry: ResultsEntry =
            decode(&store_entry.value).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
        state.jobs().chunk_stored(job, entry.first_position, entry.next_position());
        for (result_position, result) in (entry.first_position..).zip(entry.results) {
            if result_position != position + results.len() {
                continue;
            }
            bytes += result.text.len();
            if bytes > bytes_max && !results.is_empty() {
                return Ok(());
            }
            results.push(Arc::new(result));
        }
    }
    Ok(())
}

/// The encoded submission, joined from its stored parts.
async fn read_encoded_submission(store: &StoreAccess, job: &str) -> Result<Bytes> {
    let page = store.range(&KeyLayout::submission_prefix(job)).await?;
    let mut body = BytesMut::new();
    for store_entry in &page.entries {
        body.extend_from_slice(&store_entry.value);
    }
    Ok(body.freeze())
}

/// Reads a job's submission from the store. Returns it decoded and encoded.
pub async fn read_submission(store: &StoreAccess, job: &str) -> Result<(BatchSubmission, Bytes)> {
    let body = read_encoded_submission(store, job).await?;
    let submission = decode_submission(&body).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    Ok((submission, body))
}

/// Reads the body of the item `item_id` from the job's owner, or else from the store. `None` if the job has no such
/// item.
pub async fn read_item_body(
    state: &EdgeState,
    store: &StoreAccess,
    peer_client: &PeerClient,
    job: &SharedName,
    item_id: &str,
) -> Result<Option<Bytes>> {
    if let Some(body) = item_from_owner(state, peer_client, job, item_id).await {
        return Ok(body);
    }
    let (submission, _) = read_submission(store, job).await?;
    Ok(submission.items.into_iter().find(|item| *item.id == *item_id).map(|item| item.body))
}

/// Reads all stored results of a job, in order of their positions.
pub async fn read_all_results(state: &EdgeState, store: &StoreAccess, job: &str) -> Result<Vec<ResultEntry>> {
    let page = store.range(&KeyLayout::results_prefix(job)).await?;
    let mut results = Vec::new();
    append_consecutive(state, job, page.entries.into_iter(), 0, usize::MAX, &mut results)?;
    Ok(results.into_iter().map(Arc::unwrap_or_clone).collect())
}

/// Reads the text checkpoints that previous owners stored. A malformed entry counts as an empty checkpoint: the
/// generation of its texts starts again.
pub async fn read_checkpoints(store: &StoreAccess, job: &str) -> Result<Vec<JobCheckpoint>> {
    let page = store.range(&KeyLayout::checkpoints_prefix(job)).await?;
    let checkpoints = page.entries.iter().map(|store_entry| match decode::<JobCheckpointEntry>(&store_entry.value) {
        Ok(entry) => JobCheckpoint::from(entry),
        Err(error) => {
            LogLine::new("entry_unreadable").field("key", &store_entry.key).field("reason", error).warn();
            JobCheckpoint::default()
        }
    });
    Ok(checkpoints.collect())
}

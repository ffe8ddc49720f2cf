//! Reads batch jobs, their submissions and results, from the job's owner or from the store.

use super::{
    JobView,
    owner_read::{item_from_owner, results_from_owner},
    read_source::ReadSource,
};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess};
use bytes::{Bytes, BytesMut};
use pimentoslip_kernel::{AbsenceProof, JobCheckpoint, ProofBasis, ReadAnswer, SharedName, TimePoint, WatchStart};
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
    /// When the request arrived.
    pub arrived_at: TimePoint,
    /// Until when the read waits if no result at the position is stored yet.
    pub wait_until: TimePoint,
}

/// Answer to a read of results, and where it comes from.
pub type SourcedAnswer = (ReadAnswer<Arc<ResultEntry>>, ReadSource);

/// Results read from the store.
#[derive(Debug)]
struct StoredResults {
    /// Results from the requested position on, without a gap.
    results: Vec<Arc<ResultEntry>>,
    /// Revision of the store, from which a watch can continue.
    revision: u64,
    /// The proof that none is stored if there are no results; `None` if the store has not answered a call for this read yet.
    absence: Option<AbsenceProof>,
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
    Ok(Some(JobView {
        entry,
        ended,
        settled: false,
        chunk_ends: BTreeMap::new(),
        watch_start: WatchStart::default(),
        used_entry: None,
    }))
}

/// Reads results from the job's owner, or else from the store. Waits until at least one is stored or the query's wait
/// is over. Fails if there is none and neither can tell that none is stored.
pub async fn read_results(
    state: &EdgeState,
    store: &StoreAccess,
    peer_client: &PeerClient,
    job: &SharedName,
    query: &ResultsQuery,
) -> Result<ReadAnswer<Arc<ResultEntry>>> {
    let (answer, source) = match results_from_owner(state, peer_client, job, query).await {
        Some(sourced_answer) => sourced_answer,
        None => (read_from_store(state, store, job, query).await?, ReadSource::Store),
    };
    EdgeMetrics::increment(&EdgeMetrics::global().result_reads, source.name());
    if let Some(proof) = answer.absence() {
        log_empty_read(state, job, query.position, source, proof);
    }
    Ok(answer)
}

/// Logs a read that returns nothing.
fn log_empty_read(state: &EdgeState, job: &str, position: usize, source: ReadSource, proof: &AbsenceProof) {
    let revision = match proof.basis() {
        ProofBasis::StoreCall { revision } => revision.to_string(),
        ProofBasis::JobSize | ProofBasis::OwnMemory | ProofBasis::OwnerCall => "none".to_owned(),
    };
    LogLine::new("results_empty")
        .field("job", job)
        .field("position", position)
        .field("source", source.name())
        .field("revision", revision)
        .field("ended", state.jobs().is_ended(job))
        .info();
}

/// Reads results from the store, and watches the store for new chunks while there is none.
async fn read_from_store(
    state: &EdgeState,
    store: &StoreAccess,
    job: &str,
    query: &ResultsQuery,
) -> Result<ReadAnswer<Arc<ResultEntry>>> {
    let watch_start = state.jobs().get(job).and_then(|view| view.watch_start.revision_for(query.position));
    let mut stored = match watch_start {
        Some(revision) if watch_ms(state, job, query) > 0 => {
            StoredResults { results: Vec::new(), revision, absence: None }
        }
        _ => read_chunks(state, store, job, query).await?,
    };
    loop {
        let left_ms = watch_ms(state, job, query);
        if left_ms == 0 || !stored.results.is_empty() {
            break;
        }
        match watch_chunks(state, store, job, query, stored.revision, left_ms).await {
            Ok(watched) => stored = watched,
            Err(error) => {
                LogLine::new("result_watch_failed").field("job", job).field("reason", error).warn();
                // What was read before the watch may be older than what other daemons have returned since.
                stored = read_chunks(state, store, job, query).await?;
                break;
            }
        }
    }
    if stored.results.is_empty() && stored.absence.is_none() {
        stored = read_chunks(state, store, job, query).await?;
    }
    ReadAnswer::new(stored.results, stored.absence).ok_or_else(unproven_error)
}

/// The error of a read that found no result before the store was asked.
fn unproven_error() -> StoreError {
    StoreError::NotApplied { problem: "no call to the store has shown that no result is stored".to_owned() }
}

/// Time for which a read may watch the store now, in milliseconds. Nothing is listed after the end of a job is stored.
fn watch_ms(state: &EdgeState, job: &str, query: &ResultsQuery) -> u64 {
    if state.jobs().is_ended(job) { 0 } else { query.wait_until.since_ms(state.now()) }
}

/// Watches the store for chunks that are stored after `revision`, and returns those of their results that are requested.
async fn watch_chunks(
    state: &EdgeState,
    store: &StoreAccess,
    job: &str,
    query: &ResultsQuery,
    revision: u64,
    wait_ms: u64,
) -> Result<StoredResults> {
    let sent_at = state.now();
    let (batch, _) = store.watch(&KeyLayout::results_prefix(job), revision, wait_ms).await?;
    let written_entries = batch.changes.into_iter().filter_map(|change| match change {
        StoreChange::Written(store_entry) => Some(store_entry),
        StoreChange::Removed { .. } => None,
    });
    let mut results = Vec::new();
    let is_complete = append_consecutive(state, job, written_entries, query, &mut results)?;
    if is_complete {
        state.jobs().absence_observed(job, query.position + results.len(), batch.revision);
    }
    let absence = AbsenceProof::from_store_call(query.arrived_at, sent_at, batch.revision);
    // A watch that ends before the revision from which it starts shows nothing.
    let absence = absence.filter(|_| batch.revision >= revision);
    Ok(StoredResults { results, revision: batch.revision.max(revision), absence })
}

/// Reads the chunks in the store that hold the requested results, page by page.
async fn read_chunks(state: &EdgeState, store: &StoreAccess, job: &str, query: &ResultsQuery) -> Result<StoredResults> {
    let prefix = KeyLayout::results_prefix(job);
    let position = query.position;
    // Starts at the chunk that holds the position, or else after the last chunk before it that has been read.
    let first_chunk = state.jobs().get(job).map_or(0, |view| {
        let nearest_chunk = view.chunk_ends.range(..=position).next_back();
        nearest_chunk.map_or(0, |(first, next)| if position < *next { *first } else { *next })
    });
    let mut after = KeyLayout::key_before_results(job, first_chunk);
    let mut results = Vec::new();
    let sent_at = state.now();
    loop {
        let page: RangePage = store.page(&prefix, after.as_deref()).await?;
        if page.has_more && page.entries.is_empty() {
            return Err(StoreError::Malformed { problem: "a page without entries that is not the last".to_owned() });
        }
        after = page.entries.last().map(|store_entry| store_entry.key.clone()).or(after);
        let is_complete = append_consecutive(state, job, page.entries.into_iter(), query, &mut results)?;
        if page.has_more && is_complete {
            continue;
        }
        if is_complete {
            state.jobs().absence_observed(job, position + results.len(), page.revision);
        }
        let absence = AbsenceProof::from_store_call(query.arrived_at, sent_at, page.revision);
        return Ok(StoredResults { results, revision: page.revision, absence });
    }
}

/// Whether the store holds a chunk of the job's results that begins at `position` or later.
pub async fn has_chunk_from(store: &StoreAccess, job: &str, position: usize) -> Result<bool> {
    let after = KeyLayout::key_before_results(job, position);
    let page = store.page(&KeyLayout::results_prefix(job), after.as_deref()).await?;
    Ok(!page.entries.is_empty() || page.has_more)
}

/// Total size of the results' texts, in bytes.
fn total_text_bytes(results: &[Arc<ResultEntry>]) -> usize {
    results.iter().map(|result| result.text.len()).sum()
}

/// Decodes the chunks in `store_entries`, and appends those results that continue `results`, the first of which is at the
/// query's position. Returns false if it stopped before a result with which the texts would exceed the query's limit.
fn append_consecutive(
    state: &EdgeState,
    job: &str,
    store_entries: impl Iterator<Item = StoreEntry>,
    query: &ResultsQuery,
    results: &mut Vec<Arc<ResultEntry>>,
) -> Result<bool> {
    let mut bytes = total_text_bytes(results);
    for store_entry in store_entries {
        let entry: ResultsEntry =
            decode(&store_entry.value).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
        state.jobs().chunk_stored(job, entry.first_position, entry.next_position());
        for (result_position, result) in (entry.first_position..).zip(entry.results) {
            if result_position != query.position + results.len() {
                continue;
            }
            bytes += result.text.len();
            if bytes > query.bytes_max && !results.is_empty() {
                return Ok(false);
            }
            results.push(Arc::new(result));
        }
    }
    Ok(true)
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
    let now = state.now();
    let query = ResultsQuery { position: 0, bytes_max: usize::MAX, arrived_at: now, wait_until: now };
    append_consecutive(state, job, page.entries.into_iter(), &query, &mut results)?;
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

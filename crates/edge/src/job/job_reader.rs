//! Reads batch jobs from the store.

use super::{
    JobView,
    owner_read::{item_from_owner, results_from_owner},
};
use crate::{edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess};
use bytes::{Bytes, BytesMut};
use pimentoslip_kernel::{SharedName, TextCheckpoint, TimePoint};
use pimentoslip_platform::{BatchSubmission, RangePage, StoreChange, StoreError, StoreItem, decode_submission};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode,
    stored::{JobEntry, KeyLayout, ResultEntry, ResultsEntry, TextsEntry},
};
use std::{collections::BTreeMap, sync::Arc};

/// Result of a read.
pub type Result<T> = std::result::Result<T, StoreError>;

/// What is read of a job's results.
#[derive(Clone, Copy, Debug)]
pub struct ResultsQuery {
    /// Position of the first result asked for.
    pub position: usize,
    /// Largest texts together, in bytes, unless the first alone is larger.
    pub bytes_max: usize,
    /// Until when the first result is waited for.
    pub wait_until: TimePoint,
}

/// Results from a position on.
#[derive(Clone, Debug)]
struct PageRead {
    results: Vec<Arc<ResultEntry>>,
    /// Revision of the read, from which a watch may go on.
    revision: u64,
}

/// The job as known here or on record; none if there is none on record.
pub async fn read_job(state: &EdgeState, store: &StoreAccess, job: &str) -> Result<Option<JobView>> {
    if let Some(view) = state.jobs().get(job) {
        return Ok(Some(view.clone()));
    }
    let Some(item) = store.get(&KeyLayout::job(job)).await? else { return Ok(None) };
    let entry =
        decode::<JobEntry>(&item.value).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let ended = store.get(&KeyLayout::end(job)).await?.is_some();
    Ok(Some(JobView { entry, ended, settled: false, chunk_ends: BTreeMap::new(), results_end: None }))
}

/// Results as asked for: from the job's owner, or else from the store. Waits for the first one.
pub async fn read_results(
    state: &EdgeState,
    store: &StoreAccess,
    peers: &PeerClient,
    job: &SharedName,
    read: &ResultsQuery,
) -> Result<Vec<Arc<ResultEntry>>> {
    match results_from_owner(state, peers, job, read).await {
        Some(results) => Ok(results),
        None => Ok(read_stored(state, store, job, read).await?.results),
    }
}

async fn read_stored(state: &EdgeState, store: &StoreAccess, job: &str, read: &ResultsQuery) -> Result<PageRead> {
    let ResultsQuery { position, bytes_max, wait_until } = *read;
    let tail = state.jobs().get(job).and_then(|view| view.results_end).filter(|(listed, _)| *listed == position);
    let mut page = match tail {
        // Nothing was listed there at that revision, so the watch tells everything.
        Some((_, revision)) if wait_until > state.now() => PageRead { results: Vec::new(), revision },
        _ => read_from(state, store, job, position, bytes_max).await?,
    };
    while page.results.is_empty() {
        let left_ms = wait_until.since_ms(state.now());
        if left_ms == 0 || state.jobs().is_ended(job) {
            break;
        }
        let batch = match store.watch(&KeyLayout::chunks(job), page.revision, left_ms).await {
            Ok(batch) => batch,
            Err(StoreError::HistoryGone) => return read_from(state, store, job, position, bytes_max).await,
            // What was read before still holds.
            Err(error) => {
                LogLine::new("result_watch_failed").field("job", job).field("reason", error).warn();
                break;
            }
        };
        page.revision = batch.revision;
        let written = batch.changes.into_iter().filter_map(|change| match change {
            StoreChange::Written(item) => Some(item),
            StoreChange::Removed { .. } => None,
        });
        take_results(state, job, written, position, bytes_max, &mut page.results)?;
        if text_bytes(&page.results) < bytes_max {
            state.jobs().results_end_observed(job, position + page.results.len(), page.revision);
        }
    }
    Ok(page)
}

async fn read_from(
    state: &EdgeState,
    store: &StoreAccess,
    job: &str,
    position: usize,
    bytes_max: usize,
) -> Result<PageRead> {
    let prefix = KeyLayout::chunks(job);
    // Reading begins at the chunk that holds the position, or after the last known one.
    let first = state.jobs().get(job).map_or(0, |view| {
        let known = view.chunk_ends.range(..=position).next_back();
        known.map_or(0, |(first, next)| if position < *next { *first } else { *next })
    });
    let mut after = KeyLayout::before_chunk(job, first);
    let mut results = Vec::new();
    loop {
        let page: RangePage = store.page(&prefix, after.as_deref()).await?;
        after = page.items.last().map(|item| item.key.clone()).or(after);
        let more = page.more && !page.items.is_empty();
        take_results(state, job, page.items.into_iter(), position, bytes_max, &mut results)?;
        let bytes = text_bytes(&results);
        if !more && bytes < bytes_max {
            state.jobs().results_end_observed(job, position + results.len(), page.revision);
        }
        if !more || bytes >= bytes_max {
            return Ok(PageRead { results, revision: page.revision });
        }
    }
}

fn text_bytes(results: &[Arc<ResultEntry>]) -> usize {
    results.iter().map(|result| result.text.len()).sum()
}

/// Appends the results at `position` and after from `items`, as long as they follow each other.
fn take_results(
    state: &EdgeState,
    job: &str,
    items: impl Iterator<Item = StoreItem>,
    position: usize,
    bytes_max: usize,
    results: &mut Vec<Arc<ResultEntry>>,
) -> Result<()> {
    let mut bytes = text_bytes(results);
    for item in items {
        let entry: ResultsEntry =
            decode(&item.value).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
        state.jobs().chunk_stored(job, entry.first, entry.next());
        for (at, result) in (entry.first..).zip(entry.results) {
            if at != position + results.len() {
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

/// The submission's body as it came.
async fn read_submission_bytes(store: &StoreAccess, job: &str) -> Result<Bytes> {
    let page = store.range(&KeyLayout::parts(job)).await?;
    let mut body = BytesMut::new();
    for item in &page.items {
        body.extend_from_slice(&item.value);
    }
    Ok(body.freeze())
}

/// The submission, with its body as it came.
pub async fn read_submission(store: &StoreAccess, job: &str) -> Result<(BatchSubmission, Bytes)> {
    let body = read_submission_bytes(store, job).await?;
    let submission = decode_submission(&body).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    Ok((submission, body))
}

/// The body of an item, if the job has it.
pub async fn read_item_body(
    state: &EdgeState,
    store: &StoreAccess,
    peers: &PeerClient,
    job: &SharedName,
    id: &str,
) -> Result<Option<Bytes>> {
    if let Some(body) = item_from_owner(state, peers, job, id).await {
        return Ok(body);
    }
    let (submission, _) = read_submission(store, job).await?;
    Ok(submission.items.into_iter().find(|item| *item.id == *id).map(|item| item.body))
}

/// All listed results, in order.
pub async fn read_all_results(state: &EdgeState, store: &StoreAccess, job: &str) -> Result<Vec<ResultEntry>> {
    let page = store.range(&KeyLayout::chunks(job)).await?;
    let mut results = Vec::new();
    take_results(state, job, page.items.into_iter(), 0, usize::MAX, &mut results)?;
    Ok(results.into_iter().map(Arc::unwrap_or_clone).collect())
}

/// Texts in the middle, as former owners put them on record. An unreadable entry is passed over: its texts begin anew.
pub async fn read_checkpoints(store: &StoreAccess, job: &str) -> Result<Vec<TextCheckpoint>> {
    let page = store.range(&KeyLayout::texts(job)).await?;
    let decoded = page.items.iter().map(|item| match decode::<TextsEntry>(&item.value) {
        Ok(entry) => TextCheckpoint::from(entry),
        Err(error) => {
            LogLine::new("entry_unreadable").field("key", &item.key).field("reason", error).warn();
            TextCheckpoint::default()
        }
    });
    Ok(decoded.collect())
}

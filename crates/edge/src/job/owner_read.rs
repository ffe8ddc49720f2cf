//! Reads from a job's owner, which holds the stored results in memory and is the first to see new ones.

use super::{
    job_reader::{ResultsQuery, SourcedAnswer},
    read_source::ReadSource,
};
use crate::{edge_state::EdgeState, peer_client::PeerClient};
use bytes::Bytes;
use pimentoslip_kernel::{AbsenceProof, OwnerView, ReadAnswer, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    peer::{ItemRequest, ItemResponse, ResultsRequest, ResultsResponse},
    stored::ResultEntry,
};
use std::{sync::Arc, time::Duration};

/// Path of the peer interface at which daemons read the results of an owned job.
pub const RESULTS_PATH: &str = "/peer/results";
/// Path of the peer interface at which daemons read the body of an item of an owned job.
pub const ITEM_BODY_PATH: &str = "/peer/item";
/// Timeout of a call, in addition to the time for which the owner may delay its response until there is a result.
const CALL_SLACK_MS: u64 = 500;

/// Reads results from the memory of this process, and waits for the first one if this process owns the job. `None` if the job's
/// results are not cached, or if there is none and this process cannot be sure that none is stored.
pub async fn local_results(state: &EdgeState, job: &str, query: &ResultsQuery) -> Option<ReadAnswer<Arc<ResultEntry>>> {
    loop {
        let notification = state.results_listed.notified();
        let now = state.now();
        let left_ms = query.wait_until.since_ms(now);
        // Taken before the results: the memory may gain results after it, but not lose any.
        let standing = state.owner_standing(job);
        let (results, view, is_ended) = {
            let jobs = state.jobs();
            let results = jobs.cached_results(job, query.position, query.bytes_max)?;
            (results, jobs.owner_view(job, &standing, now), jobs.is_ended(job))
        };
        if !results.is_empty() {
            return ReadAnswer::new(results, None);
        }
        let is_last_look = left_ms == 0 || is_ended;
        match view {
            OwnerView::Unsure => return None,
            OwnerView::Absent(proof) if is_last_look => return Some(ReadAnswer::absent(proof)),
            OwnerView::WriteInProgress if is_last_look => return None,
            OwnerView::Absent(_) | OwnerView::WriteInProgress => {}
        }
        // The next iteration checks for results, whether notified or timed out.
        let _ = actix_rt::time::timeout(Duration::from_millis(left_ms), notification).await;
    }
}

/// Reads results from the job's owner, which may be this process. `None` if they must be read from the store.
pub async fn results_from_owner(
    state: &EdgeState,
    peer_client: &PeerClient,
    job: &SharedName,
    query: &ResultsQuery,
) -> Option<SourcedAnswer> {
    if let Some(answer) = local_results(state, job, query).await {
        return Some((answer, ReadSource::OwnMemory));
    }
    let control_address = owner_control_address(state, job)?;
    let sent_at = state.now();
    let wait_ms = query.wait_until.since_ms(sent_at);
    let ResultsQuery { position, bytes_max, arrived_at, .. } = *query;
    let request = ResultsRequest { job: job.clone(), position, bytes_max, wait_ms, knows_absent: true };
    let answer = match peer_client.call(&control_address, RESULTS_PATH, &request, wait_ms + CALL_SLACK_MS).await {
        Ok(ResultsResponse::Listed(results)) => ReadAnswer::new(results, None),
        Ok(ResultsResponse::Absent) => AbsenceProof::from_owner_call(arrived_at, sent_at).map(ReadAnswer::absent),
        Ok(ResultsResponse::Unavailable) => None,
        Err(error) => {
            LogLine::new("owner_read_failed")
                .field("job", job)
                .field("owner", control_address)
                .field("reason", error)
                .warn();
            None
        }
    };
    answer.map(|answer| (answer, ReadSource::OwnerPeer))
}

/// Reads the body of an item from the job's owner, which may be this process. The outer `None` means that it must be
/// read from the store, the inner `None` that the job has no such item.
pub async fn item_from_owner(
    state: &EdgeState,
    peer_client: &PeerClient,
    job: &SharedName,
    item: &str,
) -> Option<Option<Bytes>> {
    let response = match local_item(state, job, item) {
        ItemResponse::Unavailable => {
            let control_address = owner_control_address(state, job)?;
            let request = ItemRequest { job: job.clone(), item: item.into() };
            peer_client.call(&control_address, ITEM_BODY_PATH, &request, CALL_SLACK_MS).await
        }
        local_response => Ok(local_response),
    };
    match response {
        Ok(ItemResponse::Body(body)) => Some(Some(body.into())),
        Ok(ItemResponse::Unknown) => Some(None),
        Ok(ItemResponse::Unavailable) => None,
        Err(error) => {
            LogLine::new("owner_read_failed").field("job", job).field("item", item).field("reason", error).warn();
            None
        }
    }
}

/// Reads the body of an item from the memory of this process. Returns `Unavailable` unless this process runs the job.
pub fn local_item(state: &EdgeState, job: &str, item: &str) -> ItemResponse {
    let Some(submission) = state.jobs().running_submission(job) else { return ItemResponse::Unavailable };
    let matching_item = submission.items.iter().find(|candidate| *candidate.id == *item);
    matching_item.map_or(ItemResponse::Unknown, |item| ItemResponse::Body(item.body.to_vec()))
}

/// Control address of the process that owns `job`, if that is another process and it is present.
fn owner_control_address(state: &EdgeState, job: &str) -> Option<SharedName> {
    let ownership = state.ownership();
    let owner = ownership.owner(job)?;
    let presence = ownership.daemon(&owner.daemon)?;
    let is_present = presence.incarnation == owner.incarnation && !ownership.is_owned_here(job);
    is_present.then(|| presence.control_address.clone())
}

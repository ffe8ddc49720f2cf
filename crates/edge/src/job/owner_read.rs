//! Reads of jobs at their owner: it has what is listed in memory, and knows when there is more.

use super::job_reader::BoundedRead;
use crate::{edge_state::EdgeState, peer_client::PeerClient};
use bytes::Bytes;
use pimentoslip_kernel::SharedName;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    peer::{ItemAnswer, ItemRequest, ResultsAnswer, ResultsRequest},
    stored::ResultEntry,
};
use std::{sync::Arc, time::Duration};

/// Path at which daemons read results.
pub const RESULTS_PATH: &str = "/peer/results";
/// Path at which daemons read bodies of items.
pub const ITEM_BODY_PATH: &str = "/peer/item";
/// Added to the time for which the owner may keep a read waiting, in milliseconds.
const ANSWER_SLACK_MS: u64 = 500;

/// The answer of this process, which may own the job.
pub async fn owned_results(state: &EdgeState, job: &str, read: &BoundedRead) -> ResultsAnswer {
    loop {
        let listed = state.results_listed.notified();
        let Some(results) = state.jobs().listed(job, read.position, read.bytes_max) else {
            return ResultsAnswer::Unsure;
        };
        if !results.is_empty() {
            return ResultsAnswer::Listed(results);
        }
        // Only the one owner can say that nothing is listed.
        let is_owner = state.ownership().is_mine(job) && state.jobs().is_held(job) && state.is_lease_valid();
        if !is_owner {
            return ResultsAnswer::Unsure;
        }
        let left_ms = read.until.since_ms(state.now());
        if left_ms == 0 || state.jobs().is_ended(job) {
            return ResultsAnswer::Listed(results);
        }
        // Woken or not, the next look tells.
        let _ = actix_rt::time::timeout(Duration::from_millis(left_ms), listed).await;
    }
}

/// Results as the job's owner has them; none if the store is to be asked.
pub async fn owner_results(
    state: &EdgeState,
    peers: &PeerClient,
    job: &SharedName,
    read: &BoundedRead,
) -> Option<Vec<Arc<ResultEntry>>> {
    if let ResultsAnswer::Listed(results) = owned_results(state, job, read).await {
        return Some(results);
    }
    let control = owner_control(state, job)?;
    let wait_ms = read.until.since_ms(state.now());
    let BoundedRead { position, bytes_max, .. } = *read;
    let request = ResultsRequest { job: job.clone(), position, bytes_max, wait_ms };
    match peers.call(&control, RESULTS_PATH, &request, wait_ms + ANSWER_SLACK_MS).await {
        Ok(ResultsAnswer::Listed(results)) => Some(results),
        Ok(ResultsAnswer::Unsure) => None,
        Err(error) => {
            LogLine::new("owner_not_read").field("job", job).field("owner", control).field("reason", error).warn();
            None
        }
    }
}

/// The body of an item as the job's owner has it; none if the store is to be asked.
pub async fn owner_item(state: &EdgeState, peers: &PeerClient, job: &SharedName, item: &str) -> Option<Option<Bytes>> {
    let answer = match owned_item(state, job, item) {
        ItemAnswer::Unsure => {
            let control = owner_control(state, job)?;
            let request = ItemRequest { job: job.clone(), item: item.into() };
            peers.call(&control, ITEM_BODY_PATH, &request, ANSWER_SLACK_MS).await
        }
        known => Ok(known),
    };
    match answer {
        Ok(ItemAnswer::Body(body)) => Some(Some(body.into())),
        Ok(ItemAnswer::Unknown) => Some(None),
        Ok(ItemAnswer::Unsure) => None,
        Err(error) => {
            LogLine::new("owner_not_read").field("job", job).field("item", item).field("reason", error).warn();
            None
        }
    }
}

/// The answer of this process, which may run the job.
pub fn owned_item(state: &EdgeState, job: &str, item: &str) -> ItemAnswer {
    let Some(submission) = state.jobs().submission(job) else { return ItemAnswer::Unsure };
    let found = submission.items.iter().find(|known| *known.id == *item);
    found.map_or(ItemAnswer::Unknown, |item| ItemAnswer::Body(item.body.to_vec()))
}

/// Address of the process that owns `job`, if that is another one.
fn owner_control(state: &EdgeState, job: &str) -> Option<SharedName> {
    let ownership = state.ownership();
    let owner = ownership.owner(job)?;
    let presence = ownership.daemon(&owner.daemon)?;
    let lives = presence.incarnation == owner.incarnation && !ownership.is_mine(job);
    lives.then(|| presence.control.clone())
}

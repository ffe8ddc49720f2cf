//! Writes crash marks to the store, through which they reach the other daemons and outlive all of them.

use super::{
    crash_outbox::{MarkChange, MarkKey},
    reach_check::distant_peers,
};
use crate::{edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess};
use pimentoslip_kernel::SuspectTable;
use pimentoslip_platform::{StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    peer::{CrashMarkBody, CrashPush},
    stored::{CrashEntry, KeyLayout},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Path of the peer interface at which daemons keep marks of others.
pub const CRASHES_PATH: &str = "/peer/crashes";
/// Marks that one commit changes at most; below the platform's limit on the size of a commit.
const CHANGES_PER_COMMIT_MAX: usize = 24;
/// Time from a change until its write. Most requests that merely ran beside a crashing one complete meanwhile, so that
/// their marks need not be written.
const GATHER_DELAY: Duration = Duration::from_millis(60);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Peers that keep marks while the store is unreachable.
const PEERS_MAX: usize = 2;
/// Longest wait for each of them.
const PEER_TIMEOUT_MS: u64 = 300;

/// Writes queued marks for as long as the process runs. Marks that cannot be written are sent to peers, which write them as
/// soon as they can, so that they outlive this process.
pub async fn store_crash_marks(state: Arc<EdgeState>, store: StoreAccess, peer_client: PeerClient) {
    let mut pushed: BTreeSet<MarkKey> = BTreeSet::new();
    loop {
        while state.crash_outbox().is_empty() {
            state.crashes_changed.notified().await;
        }
        actix_rt::time::sleep(GATHER_DELAY).await;
        let changes = state.crash_outbox().take(CHANGES_PER_COMMIT_MAX);
        // All changes may have been dropped during the delay.
        let written = if changes.is_empty() { Ok(()) } else { write_changes(&state, &store, &changes).await };
        match written {
            Ok(()) => {
                pushed.retain(|key| !changes.contains_key(key));
                state.crash_outbox().written();
            }
            Err(error) => {
                LogLine::new("crashes_not_recorded").field("marks", changes.len()).field("reason", error).warn();
                push_marks(&state, &peer_client, &changes, &mut pushed).await;
                state.crash_outbox().restore(changes);
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Sends the new marks among `changes` to peers, once each.
async fn push_marks(
    state: &EdgeState,
    peer_client: &PeerClient,
    changes: &BTreeMap<MarkKey, MarkChange>,
    pushed: &mut BTreeSet<MarkKey>,
) {
    let now = state.now();
    let unpushed: BTreeSet<MarkKey> = changes
        .iter()
        .filter(|(key, change)| change.is_put() && !pushed.contains(key))
        .map(|(key, _)| key.clone())
        .collect();
    let marks = state.suspects().active_marks(now);
    let marks = marks.into_iter().filter(|mark| unpushed.contains(&(mark.fingerprint, mark.process.clone())));
    let push = CrashPush { marks: marks.map(|mark| CrashMarkBody::from_mark(mark, now)).collect() };
    if push.marks.is_empty() {
        return;
    }
    for address in distant_peers(state, &state.settings.vm, PEERS_MAX) {
        match peer_client.call::<bool>(&address, CRASHES_PATH, &push, PEER_TIMEOUT_MS).await {
            Ok(_) => pushed.extend(unpushed.iter().cloned()),
            Err(error) => LogLine::new("crashes_not_pushed").field("peer", address).field("reason", error).warn(),
        }
    }
}

/// Keeps the marks of a peer that cannot write them, and writes them in its place.
pub fn receive_marks(state: &EdgeState, push: CrashPush) {
    let now = state.now();
    for mark in push.marks.into_iter().map(|body| body.into_mark(now)).filter(|mark| !mark.is_cleared) {
        let is_new = {
            let mut suspects = state.suspects();
            !suspects.is_disproved(mark.fingerprint, mark.sent_unix_ms) && suspects.merge(mark.clone(), now)
        };
        if is_new {
            state.crash_outbox().put(&mark);
            state.crashes_changed.notify_one();
        }
    }
}

/// Writes and removes marks in one commit. It may be repeated, as its entries do not depend on what is stored.
async fn write_changes(
    state: &EdgeState,
    store: &StoreAccess,
    changes: &BTreeMap<MarkKey, MarkChange>,
) -> Result<(), StoreError> {
    let put_count = changes.values().filter(|change| change.is_put()).count();
    // The store removes the marks at the end of the lease, also if no daemon is left.
    let lease = if put_count > 0 { store.grant_lease(SuspectTable::MARK_TTL_MS).await? } else { 0 };
    let observed_unix_ms = state.unix_ms();
    let mut commit = StoreCommit::default();
    for ((fingerprint, process), change) in changes {
        let key = KeyLayout::crash_key(*fingerprint, process);
        commit = match change {
            MarkChange::Put { sent_unix_ms, is_inferred } => {
                let (daemon, sent_unix_ms, inferred) = (state.settings.vm.clone(), *sent_unix_ms, *is_inferred);
                let value = encode(&CrashEntry { daemon, observed_unix_ms, sent_unix_ms, inferred })
                    .map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
                commit.put(key, value, lease)
            }
            MarkChange::Remove => commit.remove(key),
        };
    }
    store.commit(&commit).await?;
    LogLine::new("crashes_recorded").field("written", put_count).field("removed", changes.len() - put_count).info();
    Ok(())
}

//! Writes crash marks to the store, through which they reach the other daemons and outlive all of them.

use super::crash_outbox::{MarkChange, MarkKey};
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::SuspectTable;
use pimentoslip_platform::{StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{CrashEntry, KeyLayout},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Marks that one commit changes at most; below the platform's limit on the size of a commit.
const CHANGES_PER_COMMIT_MAX: usize = 24;
/// Time from a change until its write. Most requests that merely ran beside a crashing one complete meanwhile, so that
/// their marks need not be written.
const GATHER_DELAY: Duration = Duration::from_millis(60);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Writes queued marks for as long as the process runs.
pub async fn store_crash_marks(state: Arc<EdgeState>, store: StoreAccess) {
    loop {
        while state.crash_outbox().is_empty() {
            state.crashes_changed.notified().await;
        }
        actix_rt::time::sleep(GATHER_DELAY).await;
        let changes = state.crash_outbox().take(CHANGES_PER_COMMIT_MAX);
        if changes.is_empty() {
            continue;
        }
        if let Err(error) = write_changes(&state, &store, &changes).await {
            LogLine::new("crashes_not_recorded").field("marks", changes.len()).field("reason", error).warn();
            state.crash_outbox().restore(changes);
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes and removes marks in one commit. It may be repeated, as its entries do not depend on what is stored.
async fn write_changes(
    state: &EdgeState,
    store: &StoreAccess,
    changes: &BTreeMap<MarkKey, MarkChange>,
) -> Result<(), StoreError> {
    let is_put = |change: &&MarkChange| **change == MarkChange::Put;
    // The store removes the marks at the end of the lease, also if no daemon is left.
    let lease = match changes.values().find(is_put) {
        Some(_) => store.grant_lease(SuspectTable::MARK_TTL_MS).await?,
        None => 0,
    };
    let entry = CrashEntry { daemon: state.settings.vm.clone(), observed_unix_ms: state.unix_ms() };
    let value = encode(&entry).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let mut commit = StoreCommit::default();
    for ((fingerprint, process), change) in changes {
        let key = KeyLayout::crash_key(*fingerprint, process);
        commit = match change {
            MarkChange::Put => commit.put(key, value.clone(), lease),
            MarkChange::Remove => commit.remove(key),
        };
    }
    store.commit(&commit).await?;
    let put_count = changes.values().filter(is_put).count();
    LogLine::new("crashes_recorded").field("written", put_count).field("removed", changes.len() - put_count).info();
    Ok(())
}

//! Stores the origins of the streams that this daemon starts, while several software versions serve.

use super::sole_software;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{STREAM_TTL_MS, StreamOrigin, TimePoint};
use pimentoslip_platform::{StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{KeyLayout, StreamsEntry},
};
use std::{sync::Arc, time::Duration};

/// Shortest time between two writes of a daemon. The first stream after a pause is written at once.
const WRITE_INTERVAL_MS_MIN: u64 = 100;
/// Time between two writes of a daemon for each daemon that is present, so that all together write at most 200 times a
/// second.
const WRITE_INTERVAL_MS_PER_DAEMON: u64 = 5;
/// Time after which a new entry is created; each write repeats the streams of its entry.
const ENTRY_MS: u64 = 10_000;
/// Streams of one entry, of some ten bytes each.
const ENTRY_STREAMS_MAX: usize = 10_000;
/// Time between two checks whether several versions serve, while streams are not stored.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An entry of the store to which streams are added.
struct OpenEntry {
    key: String,
    /// Lease with which the entry expires.
    lease: u64,
    streams: Vec<(u64, StreamOrigin)>,
    /// When a new entry is created.
    closes_at: TimePoint,
}

/// Stores streams for as long as the process runs. A stream does not wait for this: one that is not stored is refused when
/// its caller resumes it, unless the daemon that started it still knows it.
pub async fn store_streams(state: Arc<EdgeState>, store: StoreAccess) {
    let mut open_entry: Option<OpenEntry> = None;
    let mut entry_count = 0;
    loop {
        let now = state.now();
        let taken = {
            let is_mixed = |service: &str| sole_software(&state, service).is_none();
            state.streams().take_unstored(is_mixed, ENTRY_STREAMS_MAX, now)
        };
        if taken.is_empty() {
            if state.streams().is_all_stored() {
                state.streams_started.notified().await;
            } else {
                actix_rt::time::sleep(CHECK_PERIOD).await;
            }
            continue;
        }
        let mut entry = match open_entry.take() {
            Some(entry) if now < entry.closes_at && entry.streams.len() < ENTRY_STREAMS_MAX => entry,
            _ => {
                entry_count += 1;
                create_entry(&state, &store, entry_count).await
            }
        };
        entry.streams.extend(taken);
        store_entry(&store, &mut entry).await;
        open_entry = Some(entry);
        let daemons = state.ownership().daemons().count() as u64;
        let interval_ms = WRITE_INTERVAL_MS_MIN.max(daemons * WRITE_INTERVAL_MS_PER_DAEMON);
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Prepares the next entry of this process.
async fn create_entry(state: &EdgeState, store: &StoreAccess, number: u64) -> OpenEntry {
    OpenEntry {
        key: KeyLayout::streams_key(&state.settings.vm, state.incarnation, number),
        lease: grant_lease(store).await,
        streams: Vec::new(),
        closes_at: state.now().plus_ms(ENTRY_MS),
    }
}

/// Requests a lease that outlives the streams of an entry, until one is granted.
async fn grant_lease(store: &StoreAccess) -> u64 {
    loop {
        match store.grant_lease(STREAM_TTL_MS + ENTRY_MS).await {
            Ok(lease) => return lease,
            Err(error) => {
                LogLine::new("streams_not_stored").field("reason", error).warn();
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes an entry, and repeats failed writes.
async fn store_entry(store: &StoreAccess, entry: &mut OpenEntry) {
    while let Err(error) = write_entry(store, entry).await {
        LogLine::new("streams_not_stored").field("streams", entry.streams.len()).field("reason", &error).warn();
        match error {
            // It would fail again; the streams are refused when they are resumed elsewhere.
            StoreError::Malformed { .. } => return,
            StoreError::LeaseNotFound => entry.lease = grant_lease(store).await,
            _ => actix_rt::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Writes all streams of an entry. It may be repeated, as only this process writes the entry.
async fn write_entry(store: &StoreAccess, entry: &OpenEntry) -> Result<(), StoreError> {
    let value = encode(&StreamsEntry::from(&entry.streams[..]))
        .map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    store.commit(&StoreCommit::default().put(&*entry.key, value, entry.lease)).await?;
    Ok(())
}

//! Keeps the versions of the software with which services have served in the store, where they outlive all daemons.

use super::listed_software;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{HistoryUpdate, SharedName, rank};
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{KeyLayout, SoftwareEntry},
};
use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Longest time between two comparisons of the stored versions with the list of upstreams.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Updates the stored versions of the services of streaming routes for as long as the process runs.
pub async fn keep_software_history(state: Arc<EdgeState>, store: StoreAccess) {
    loop {
        tokio::select! {
            () = state.upstreams_changed.notified() => {}
            () = state.software_unrecorded.notified() => {}
            () = actix_rt::time::sleep(CHECK_PERIOD) => {}
        }
        // A request that waits for an upstream with a new version does not wait for other daemons.
        let is_urgent = state.software_wanted.swap(false, Ordering::SeqCst);
        for service in streaming_services(&state) {
            let listed = listed_software(&state, &service);
            let own_rank = if is_urgent { 0 } else { own_rank(&state, &service) };
            let (now, unix_ms) = (state.now(), state.unix_ms());
            let update = state.software_history().due_update(&service, &listed, own_rank, now, unix_ms);
            let Some(update) = update else { continue };
            if let Err(error) = store_update(&state, &store, &service, update).await {
                LogLine::new("software_not_recorded").field("service", &service).field("reason", error).warn();
            }
        }
    }
}

/// Services that streaming routes send requests to.
fn streaming_services(state: &EdgeState) -> BTreeSet<SharedName> {
    let Some(config) = state.config() else { return BTreeSet::new() };
    let rules = config.routes().filter(|rule| rule.is_stream);
    rules.flat_map(|rule| rule.targets.iter().map(|target| target.service.clone())).collect()
}

/// Number of daemons that precede this one for `service`.
fn own_rank(state: &EdgeState, service: &str) -> usize {
    let daemons: Vec<SharedName> = state.ownership().daemons().map(|(daemon, _)| daemon.clone()).collect();
    rank(service, &daemons).iter().position(|daemon| **daemon == state.settings.vm).unwrap_or(daemons.len())
}

/// Stores the versions of a service, unless another daemon has changed them meanwhile.
async fn store_update(
    state: &EdgeState,
    store: &StoreAccess,
    service: &str,
    update: HistoryUpdate,
) -> Result<(), StoreError> {
    let key = KeyLayout::software_key(service);
    let value = encode(&SoftwareEntry::from(&update.uses[..]))
        .map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let commit = StoreCommit::default().expect(key.clone(), update.replaced_revision).put(key, value, 0);
    match store.commit(&commit).await? {
        CommitOutcome::Committed(revision) => {
            let versions: Vec<&str> = update.uses.iter().map(|software_use| &*software_use.software).collect();
            LogLine::new("software_recorded")
                .field("service", service)
                .field("versions", versions.join(","))
                .field("revision", revision)
                .info();
            state.software_history().uses_stored(service, update.uses, revision);
        }
        // The change of the other daemon arrives like any other.
        CommitOutcome::Conflict(_) => LogLine::new("software_conflict").field("service", service).info(),
    }
    Ok(())
}

//! Keeps the daemon's lease, on which its presence, its jobs and the duty hang.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{KeyLayout, PresenceEntry},
};
use std::{sync::Arc, time::Duration};

/// Time to live of the lease: a dead daemon's jobs are taken over after it.
pub const LEASE_TTL_MS: u64 = 3_000;
/// Time between renewals; two may be lost.
const RENEW_PERIOD: Duration = Duration::from_millis(900);
/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Takes and renews the lease until the daemon drains.
pub async fn maintain_lease(state: Arc<EdgeState>, store: StoreAccess) {
    let lease_ms = LEASE_TTL_MS.max(state.settings.lease_ms_min);
    while !state.is_draining() {
        let held = state.lease().lease;
        let asked = state.now();
        let pause = match held {
            None => take(&state, &store, lease_ms).await,
            Some(lease) => match store.renew_lease(lease).await {
                Ok(()) => {
                    renewed(&state, lease, asked.plus_ms(lease_ms));
                    RENEW_PERIOD
                }
                Err(StoreError::LeaseGone) => {
                    LogLine::new("lease_lost").field("lease", lease).warn();
                    lost(&state);
                    Duration::ZERO
                }
                Err(error) => {
                    LogLine::new("lease_not_renewed").field("lease", lease).field("reason", error).warn();
                    RETRY_PAUSE
                }
            },
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn renewed(state: &EdgeState, lease: u64, ends_at: TimePoint) {
    let mut view = state.lease();
    if view.lease == Some(lease) {
        view.ends_at = ends_at;
    }
}

fn lost(state: &EdgeState) {
    let mut view = state.lease();
    view.lease = None;
    view.ends_at = TimePoint(0);
}

async fn take(state: &EdgeState, store: &StoreAccess, lease_ms: u64) -> Duration {
    let asked = state.now();
    let lease = match store.grant_lease(lease_ms).await {
        Ok(lease) => lease,
        Err(error) => {
            LogLine::new("lease_not_granted").field("reason", error).warn();
            return RETRY_PAUSE;
        }
    };
    let control = state.settings.control.map(|address| address.to_string()).unwrap_or_default();
    let presence = PresenceEntry {
        incarnation: state.incarnation,
        lease,
        control: control.into(),
        failure_domain: state.settings.failure_domain.clone(),
        region: state.settings.region.clone(),
    };
    let entry = match encode(&presence) {
        Ok(entry) => entry,
        Err(error) => {
            LogLine::new("lease_not_used").field("reason", error).warn();
            return RETRY_PAUSE;
        }
    };
    let commit = StoreCommit::default().put(KeyLayout::daemon(&state.settings.vm), entry, lease);
    if let Err(error) = store.commit(&commit).await {
        LogLine::new("presence_not_recorded").field("reason", error).warn();
        return RETRY_PAUSE;
    }
    LogLine::new("lease_granted").field("lease", lease).info();
    let mut view = state.lease();
    view.lease = Some(lease);
    view.ends_at = asked.plus_ms(lease_ms);
    RENEW_PERIOD
}

/// Ends the lease, so that others take over at once.
pub async fn revoke_lease(state: &EdgeState, store: &StoreAccess) {
    let held = state.lease().lease.take();
    state.lease().ends_at = TimePoint(0);
    let Some(lease) = held else { return };
    match store.revoke_lease(lease).await {
        Ok(()) => LogLine::new("lease_ended").field("lease", lease).info(),
        Err(error) => LogLine::new("lease_left_to_expire").field("lease", lease).field("reason", error).warn(),
    }
}

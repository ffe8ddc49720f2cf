//! Acquires and renews the daemon's lease, to which its store entries for presence, owned jobs and the duty are bound.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{KeyLayout, PresenceEntry},
};
use std::{sync::Arc, time::Duration};

/// Time to live of the lease, unless the settings require a longer one; other daemons take over a dead daemon's jobs
/// after it.
pub const LEASE_TTL_MS: u64 = 3_000;
/// Interval between renewals. One that fails is repeated within the lease, by its timeout and [`RETRY_DELAY`].
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);
/// Delay before a failed grant or renewal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A lease under which the daemon's presence is not known to be stored.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease: u64,
    ends_at: TimePoint,
}

/// Acquires and renews the lease until the daemon drains.
pub async fn maintain_lease(state: Arc<EdgeState>, store: StoreAccess) {
    let lease_ms = LEASE_TTL_MS.max(state.settings.lease_ms_min);
    let mut granted_lease = None;
    while !state.is_draining() {
        let current_lease = state.lease_view().lease;
        let requested_at = state.now();
        let delay = match current_lease {
            None => acquire_lease(&state, &store, lease_ms, &mut granted_lease).await,
            Some(lease) => match store.renew_lease(lease).await {
                Ok(()) => {
                    lease_renewed(&state, lease, requested_at.plus_ms(lease_ms));
                    RENEW_INTERVAL
                }
                Err(StoreError::LeaseNotFound) => {
                    LogLine::new("lease_lost").field("lease", lease).warn();
                    lease_lost(&state);
                    Duration::ZERO
                }
                Err(error) => {
                    LogLine::new("lease_not_renewed").field("lease", lease).field("reason", error).warn();
                    RETRY_DELAY
                }
            },
        };
        actix_rt::time::sleep(delay).await;
    }
}

/// Extends `lease` until `ends_at`, if it is still the current one.
fn lease_renewed(state: &EdgeState, lease: u64, ends_at: TimePoint) {
    let mut view = state.lease_view();
    if view.lease == Some(lease) {
        view.ends_at = ends_at;
    }
}

/// Clears the lease, so that a new one is acquired.
fn lease_lost(state: &EdgeState) {
    let mut view = state.lease_view();
    view.lease = None;
    view.ends_at = TimePoint(0);
    view.presence_revision = None;
}

/// Requests a lease, stores the daemon's presence under it, and returns the delay before the next call. A write without a
/// response is repeated under the same lease: done late, under another one, it would remove the presence with that one.
async fn acquire_lease(
    state: &EdgeState,
    store: &StoreAccess,
    lease_ms: u64,
    granted_lease: &mut Option<GrantedLease>,
) -> Duration {
    let granted = match *granted_lease {
        Some(granted) => granted,
        None => {
            let requested_at = state.now();
            match store.grant_lease(lease_ms).await {
                Ok(lease) => GrantedLease { lease, ends_at: requested_at.plus_ms(lease_ms) },
                Err(error) => {
                    LogLine::new("lease_not_granted").field("reason", error).warn();
                    return RETRY_DELAY;
                }
            }
        }
    };
    *granted_lease = Some(granted);
    let GrantedLease { lease, ends_at } = granted;
    let control_address = state.settings.control_address.map(|address| address.to_string()).unwrap_or_default();
    let presence = PresenceEntry {
        incarnation: state.incarnation,
        lease,
        control_address: control_address.into(),
        failure_domain: state.settings.failure_domain.clone(),
        region: state.settings.region.clone(),
        relay_token: state.relay_token.clone(),
    };
    let entry = match encode(&presence) {
        Ok(entry) => entry,
        Err(error) => {
            LogLine::new("lease_not_used").field("reason", error).warn();
            return RETRY_DELAY;
        }
    };
    let commit = StoreCommit::default().put(KeyLayout::presence_key(&state.settings.vm), entry, lease);
    let presence_revision = match store.commit(&commit).await {
        Ok(CommitOutcome::Committed(revision)) => Some(revision),
        // The commit has no conditions. Without a revision, this daemon proves nothing from its memory.
        Ok(CommitOutcome::Conflict(_)) => None,
        Err(error) => {
            if matches!(error, StoreError::LeaseNotFound) {
                *granted_lease = None;
            }
            LogLine::new("presence_not_recorded").field("lease", lease).field("reason", error).warn();
            return RETRY_DELAY;
        }
    };
    *granted_lease = None;
    LogLine::new("lease_granted").field("lease", lease).info();
    let mut view = state.lease_view();
    view.lease = Some(lease);
    view.ends_at = ends_at;
    view.presence_revision = presence_revision;
    RENEW_INTERVAL.min(Duration::from_millis(ends_at.since_ms(state.now()) / 2))
}

/// Revokes the lease, so that other daemons can take over at once.
pub async fn revoke_lease(state: &EdgeState, store: &StoreAccess) {
    let current_lease = state.lease_view().lease.take();
    lease_lost(state);
    let Some(lease) = current_lease else { return };
    match store.revoke_lease(lease).await {
        Ok(()) => LogLine::new("lease_ended").field("lease", lease).info(),
        Err(error) => LogLine::new("lease_left_to_expire").field("lease", lease).field("reason", error).warn(),
    }
}

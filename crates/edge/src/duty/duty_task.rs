//! Takes the duty when nobody holds it, and works while it is held.

use super::{load_duty::LoadDuty, retire_duty::RetireDuty, usage_duty::UsageDuty};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{DutyTerm, LeaseStanding, TimePoint, fingerprint};
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreItem};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{DaemonEntry, KeyLayout},
};
use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

/// Time between two rounds of a holder.
const ROUND_PERIOD: Duration = Duration::from_millis(150);
/// Daemons that want the duty wait for up to this long, each for its own time.
const TAKE_SPREAD_MS: u64 = 600;

/// The term of this process, shared with the calls that are made under it.
pub type SharedTerm = Rc<RefCell<Option<DutyTerm>>>;

/// Runs until the daemon drains.
pub async fn hold_duty(state: Arc<EdgeState>, upstreams: Client, store: StoreAccess) {
    let term: SharedTerm = Rc::default();
    let mut loads = LoadDuty::new(state.clone(), upstreams, term.clone());
    let mut usage = UsageDuty::new(state.clone(), store.clone(), term.clone());
    let mut retire = RetireDuty::new(state.clone(), store.clone());
    let mut vacant_since: Option<TimePoint> = None;
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(ROUND_PERIOD, state.upstreams_changed.notified()).await;
        let now = state.now();
        if is_held(&state, &term) {
            loads.round();
            usage.round().await;
            retire.round().await;
            vacant_since = None;
            continue;
        }
        let Some(replaces) = replaceable(&state) else {
            vacant_since = None;
            continue;
        };
        let since = *vacant_since.get_or_insert(now);
        let own_ms = fingerprint(&[state.settings.vm.as_bytes()]) % TAKE_SPREAD_MS;
        if replaces > 0 || now >= since.plus_ms(own_ms) {
            take(&state, &store, &term, replaces).await;
            vacant_since = None;
        }
    }
    *term.borrow_mut() = None;
    EdgeMetrics::global().duty_held.set(0);
}

/// Whether this process holds the duty; brings the term up to date with the lease.
fn is_held(state: &EdgeState, term: &SharedTerm) -> bool {
    let standing = {
        let view = state.lease();
        let recorded = view.duty.as_ref().map(|(revision, _)| *revision);
        LeaseStanding { lease: view.lease, ends_at: view.ends_at, recorded }
    };
    let mut term = term.borrow_mut();
    let Some(current) = term.as_mut() else { return false };
    if current.refresh(standing) {
        return true;
    }
    LogLine::new("duty_lost").field("fencing_token", current.fencing_token).warn();
    *term = None;
    EdgeMetrics::global().duty_held.set(0);
    false
}

/// Revision of the record that this process may replace, 0 if there is none: its own former process's, which is
/// gone, or nobody's.
fn replaceable(state: &EdgeState) -> Option<u64> {
    state.config()?;
    let view = state.lease();
    match &view.duty {
        None => Some(0),
        Some((revision, holder)) => {
            let former = holder.daemon == state.settings.vm && holder.incarnation < state.incarnation;
            former.then_some(*revision)
        }
    }
}

async fn take(state: &EdgeState, store: &StoreAccess, term: &SharedTerm, replaces: u64) {
    let (lease, ends_at) = {
        let view = state.lease();
        (view.lease, view.ends_at)
    };
    let (Some(lease), Ok(entry)) = (lease, encode(&state.signature())) else { return };
    let last = match store.get(KeyLayout::DUTY_LAST).await {
        Ok(item) => item.and_then(|item| decode::<DaemonEntry>(&item.value).ok()),
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let commit = StoreCommit::default()
        .expect(KeyLayout::DUTY, replaces)
        .put(KeyLayout::DUTY, entry.clone(), lease)
        .put(KeyLayout::DUTY_LAST, entry, 0);
    let revision = match store.commit(&commit).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict(items)) => {
            // An earlier write of this process may have been done without an answer.
            let own = |item: &&StoreItem| {
                item.lease == lease && decode::<DaemonEntry>(&item.value).is_ok_and(|entry| entry == state.signature())
            };
            let Some(item) = items.iter().find(own) else { return };
            item.revision
        }
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let handover_ms = match &last {
        Some(last) if last.daemon != state.settings.vm => Some(state.settings.handover_ms),
        _ => None,
    };
    let now = state.now();
    LogLine::new("duty_taken")
        .field("fencing_token", revision)
        .field("after", last.map_or_else(|| "nobody".into(), |last| last.daemon))
        .field("waits_ms", handover_ms.unwrap_or(0))
        .info();
    EdgeMetrics::global().duty_held.set(1);
    *term.borrow_mut() = Some(DutyTerm::begin(revision, lease, now, ends_at, handover_ms));
    let mut view = state.lease();
    view.duty = Some((revision, state.signature()));
}

//! Takes the duty when nobody holds it, and works while it is held.

use super::{load_duty::LoadDuty, retire_duty::RetireDuty, size_duty::SizeDuty, usage_duty::UsageDuty};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{DutyHistory, DutyTerm, LeaseStanding, TimePoint, fingerprint};
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreItem};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{DaemonEntry, DutyEntry, KeyLayout},
};
use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

/// Time between two rounds of a holder.
const ROUND_PERIOD: Duration = Duration::from_millis(150);
/// The last holder may take the duty again at once; others wait this long for it, longer than a lease is renewed late
/// after the store was away.
const FORMER_MS: u64 = 300;
/// Daemons that want the duty wait for up to this long beyond, each for its own time.
const TAKE_SPREAD_MS: u64 = 600;

/// The term of this process, shared with the calls that are made under it.
pub type SharedTerm = Rc<RefCell<Option<DutyTerm>>>;

/// Runs until the daemon drains.
pub async fn hold_duty(state: Arc<EdgeState>, upstreams: Client, store: StoreAccess) {
    let term: SharedTerm = Rc::default();
    let mut loads = LoadDuty::new(state.clone(), upstreams, term.clone());
    let mut usage = UsageDuty::new(state.clone(), store.clone(), term.clone());
    let mut sizes = SizeDuty::new(state.clone(), store.clone(), term.clone());
    let mut retire = RetireDuty::new(state.clone(), store.clone());
    let mut vacant_since: Option<TimePoint> = None;
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(ROUND_PERIOD, state.upstreams_changed.notified()).await;
        let now = state.now();
        if is_held(&state, &term) {
            loads.round();
            sizes.round().await;
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
        if replaces > 0 || now >= since.plus_ms(patience_ms(&state)) {
            take(&state, &store, &term, replaces).await;
            vacant_since = None;
        }
    }
    *term.borrow_mut() = None;
    EdgeMetrics::global().duty_held.set(0);
}

/// How long this daemon leaves a vacant duty to others.
fn patience_ms(state: &EdgeState) -> u64 {
    match &state.lease().last_holder {
        Some(last) if *last == state.settings.vm => 0,
        Some(_) => FORMER_MS + fingerprint(&[state.settings.vm.as_bytes()]) % TAKE_SPREAD_MS,
        None => fingerprint(&[state.settings.vm.as_bytes()]) % TAKE_SPREAD_MS,
    }
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
    let (Some(lease), Ok(entry)) = (lease, encode(&state.daemon_entry())) else { return };
    let history = match read_history(store).await {
        Ok(history) => history,
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let unix_ms = state.unix_ms();
    let wait_ms = history.wait_ms(&state.settings.vm, unix_ms, state.settings.handover_ms);
    let last = history.last().map_or_else(|| "nobody".into(), Clone::clone);
    let record = match encode(&DutyEntry::from(&history.taken(state.settings.vm.clone(), unix_ms))) {
        Ok(record) => record,
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let commit = StoreCommit::default().expect(KeyLayout::DUTY, replaces).put(KeyLayout::DUTY, entry, lease).put(
        KeyLayout::DUTY_HISTORY,
        record,
        0,
    );
    let revision = match store.commit(&commit).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict(items)) => {
            // An earlier write of this process may have been done without an answer.
            let own = |item: &&StoreItem| {
                item.lease == lease
                    && decode::<DaemonEntry>(&item.value).is_ok_and(|entry| entry == state.daemon_entry())
            };
            let Some(item) = items.iter().find(own) else { return };
            item.revision
        }
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let now = state.now();
    LogLine::new("duty_taken").field("fencing_token", revision).field("after", last).field("waits_ms", wait_ms).info();
    EdgeMetrics::global().duty_held.set(1);
    *term.borrow_mut() = Some(DutyTerm::begin(revision, lease, now, ends_at, wait_ms));
    state.lease().duty_observed(revision, state.daemon_entry());
}

async fn read_history(store: &StoreAccess) -> anyhow::Result<DutyHistory> {
    let Some(item) = store.get(KeyLayout::DUTY_HISTORY).await? else { return Ok(DutyHistory::default()) };
    Ok(decode::<DutyEntry>(&item.value)?.into())
}

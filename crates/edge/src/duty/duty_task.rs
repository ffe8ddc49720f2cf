//! Acquires the duty when no daemon holds it, and performs its work while this daemon is the holder.

use super::{load_duty::LoadDuty, retire_duty::RetireDuty, scaling_duty::ScalingDuty, usage_duty::UsageDuty};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{DutyHistory, DutyTerm, LeaseStatus, TimePoint, fingerprint};
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreEntry};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{DaemonEntry, DutyHistoryEntry, KeyLayout},
};
use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

/// Longest time between two passes; a change of the upstreams triggers one at once.
const PASS_PERIOD: Duration = Duration::from_millis(150);
/// The previous holder may acquire the duty again at once; other daemons wait this long for it. Longer than the delay
/// with which the previous holder renews its lease after the store was unreachable.
const PREVIOUS_HOLDER_WAIT_MS: u64 = 300;
/// Each daemon waits for up to this long in addition, by a time derived from the name of its VM, so that they do not
/// all try at once.
const ACQUIRE_SPREAD_MS: u64 = 600;

/// A daemon without paths to the upstreams waits this long in addition, so that one that has paths acquires the duty first.
const CUT_ACQUIRE_DELAY_MS: u64 = 3_000;
/// Time for which all paths of a holder have been lost before it gives up the duty; shorter cuts are over sooner than
/// another daemon would act.
const CUT_HOLD_MS: u64 = 500;

/// The current term of this process, shared with the calls that are made under it; `None` while it does not hold the
/// duty.
pub type SharedTerm = Rc<RefCell<Option<DutyTerm>>>;

/// Acquires the duty and performs its work until the daemon drains.
pub async fn hold_duty(state: Arc<EdgeState>, upstream_client: Client, store: StoreAccess) {
    let term: SharedTerm = Rc::default();
    let mut load_duty = LoadDuty::new(state.clone(), upstream_client, term.clone());
    let mut usage_duty = UsageDuty::new(state.clone(), store.clone(), term.clone());
    let mut scaling_duty = ScalingDuty::new(state.clone(), store.clone(), term.clone());
    let mut retire_duty = RetireDuty::new(state.clone(), store.clone());
    let mut vacant_since: Option<TimePoint> = None;
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(PASS_PERIOD, state.upstreams_changed.notified()).await;
        let now = state.now();
        if refresh_term(&state, &term) {
            vacant_since = None;
            if is_cut_off(&state, &term) {
                term.borrow_mut().iter_mut().for_each(DutyTerm::end);
            }
            if term.borrow().is_some_and(|term| term.is_ending()) {
                give_up_duty(&state, &store, &term).await;
                continue;
            }
            load_duty.tick();
            scaling_duty.tick().await;
            usage_duty.tick().await;
            retire_duty.tick().await;
            continue;
        }
        let Some(replaced_revision) = replaceable_revision(&state) else {
            vacant_since = None;
            continue;
        };
        let since = *vacant_since.get_or_insert(now);
        if replaced_revision > 0 || now >= acquire_time(&state, since) {
            acquire_duty(&state, &store, &term, replaced_revision).await;
            vacant_since = None;
        }
    }
    *term.borrow_mut() = None;
    EdgeMetrics::global().duty_held.set(0);
}

/// When this daemon may acquire the duty, which has been vacant since `vacant_since`.
fn acquire_time(state: &EdgeState, vacant_since: TimePoint) -> TimePoint {
    let spread_ms = fingerprint(&[state.settings.vm.as_bytes()]) % ACQUIRE_SPREAD_MS;
    if state.paths().is_cut() {
        // The others could not acquire it either during an outage of the store.
        let since = state.store_returned_at().map_or(vacant_since, |at| at.max(vacant_since));
        return since.plus_ms(CUT_ACQUIRE_DELAY_MS + spread_ms);
    }
    vacant_since.plus_ms(match &state.lease_view().last_holder {
        Some(last_holder) if *last_holder == state.settings.vm => 0,
        Some(_) => PREVIOUS_HOLDER_WAIT_MS + spread_ms,
        None => spread_ms,
    })
}

/// Whether this process holds the duty and has lost its paths to the upstreams since, which its peers reach. Orders cannot
/// be relayed, as upstreams accept those of one VM only.
fn is_cut_off(state: &EdgeState, term: &SharedTerm) -> bool {
    let Some(term) = *term.borrow() else { return false };
    let cut_since = state.paths().cut_since();
    let Some(cut_since) = cut_since else { return false };
    term.acquired_at() < cut_since && state.now().since_ms(cut_since) >= CUT_HOLD_MS
}

/// Removes the holder's entry once the calls of the term have ended, so that another daemon acquires the duty. Tried again at
/// the next pass if the store does not respond.
async fn give_up_duty(state: &EdgeState, store: &StoreAccess, term: &SharedTerm) {
    let Some(token) = term.borrow().map(|term| term.fencing_token) else { return };
    if state.pending_duty_calls() > 0 {
        return;
    }
    let commit = StoreCommit::default().expect(KeyLayout::DUTY_HOLDER_KEY, token).remove(KeyLayout::DUTY_HOLDER_KEY);
    match store.commit(&commit).await {
        Ok(_) => {
            LogLine::new("duty_given_up").field("fencing_token", token).field("reason", "all_paths_lost").warn();
            *term.borrow_mut() = None;
            EdgeMetrics::global().duty_held.set(0);
        }
        Err(error) => LogLine::new("duty_not_given_up").field("reason", error).warn(),
    }
}

/// Updates the term from the current lease. Returns whether this process still holds the duty.
fn refresh_term(state: &EdgeState, term: &SharedTerm) -> bool {
    let status = {
        let view = state.lease_view();
        let observed_revision = view.duty.as_ref().map(|(revision, _)| *revision);
        LeaseStatus { lease: view.lease, expires_at: view.ends_at, duty_revision: observed_revision }
    };
    let mut term = term.borrow_mut();
    let Some(current) = term.as_mut() else { return false };
    if current.refresh(status) {
        return true;
    }
    LogLine::new("duty_lost").field("fencing_token", current.fencing_token).warn();
    *term = None;
    EdgeMetrics::global().duty_held.set(0);
    false
}

/// Revision of the duty entry that this process may replace: 0 if there is no entry, or the revision of the entry that
/// an earlier process of this daemon left. `None` if another process may hold the duty, or there is no configuration
/// yet.
fn replaceable_revision(state: &EdgeState) -> Option<u64> {
    state.config()?;
    let view = state.lease_view();
    match &view.duty {
        None => Some(0),
        Some((revision, holder)) => {
            let is_own_previous = holder.daemon == state.settings.vm && holder.incarnation < state.incarnation;
            is_own_previous.then_some(*revision)
        }
    }
}

/// Commits this process as the holder, under its lease and in place of the entry with the revision `replaced_revision`
/// (0 for none), and starts a term.
async fn acquire_duty(state: &EdgeState, store: &StoreAccess, term: &SharedTerm, replaced_revision: u64) {
    let (lease, ends_at) = {
        let view = state.lease_view();
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
    let wait_ms = history.handover_wait_ms(&state.settings.vm, unix_ms, state.settings.handover_ms);
    let previous = history.last_holder().map_or_else(|| "nobody".into(), Clone::clone);
    let history_entry =
        match encode(&DutyHistoryEntry::from(&history.with_acquisition(state.settings.vm.clone(), unix_ms))) {
            Ok(entry) => entry,
            Err(error) => {
                LogLine::new("duty_not_taken").field("reason", error).warn();
                return;
            }
        };
    let commit = StoreCommit::default()
        .expect(KeyLayout::DUTY_HOLDER_KEY, replaced_revision)
        .put(KeyLayout::DUTY_HOLDER_KEY, entry, lease)
        .put(KeyLayout::DUTY_HISTORY_KEY, history_entry, 0);
    let revision = match store.commit(&commit).await {
        Ok(CommitOutcome::Committed(revision)) => revision,
        Ok(CommitOutcome::Conflict(store_entries)) => {
            // An earlier commit of this process may have succeeded without a response.
            let is_own = |store_entry: &&StoreEntry| {
                store_entry.lease == lease
                    && decode::<DaemonEntry>(&store_entry.value).is_ok_and(|entry| entry == state.daemon_entry())
            };
            let Some(store_entry) = store_entries.iter().find(is_own) else { return };
            store_entry.revision
        }
        Err(error) => {
            LogLine::new("duty_not_taken").field("reason", error).warn();
            return;
        }
    };
    let now = state.now();
    LogLine::new("duty_taken")
        .field("fencing_token", revision)
        .field("after", previous)
        .field("waits_ms", wait_ms)
        .info();
    EdgeMetrics::global().duty_held.set(1);
    *term.borrow_mut() = Some(DutyTerm::start(revision, lease, now, ends_at, wait_ms));
    state.lease_view().duty_observed(revision, state.daemon_entry());
}

/// Reads the previous holders of the duty from the store.
async fn read_history(store: &StoreAccess) -> anyhow::Result<DutyHistory> {
    let Some(store_entry) = store.get(KeyLayout::DUTY_HISTORY_KEY).await? else { return Ok(DutyHistory::default()) };
    Ok(decode::<DutyHistoryEntry>(&store_entry.value)?.into())
}

//! Acquires the duty when no daemon holds it, and performs its work while this daemon is the holder.

use super::{load_duty::LoadDuty, retire_duty::RetireDuty, scaling_duty::ScalingDuty, usage_duty::UsageDuty};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use pimentoslip_kernel::{DutyClaim, DutyHistory, DutyTerm, LeaseStatus, TimePoint, fingerprint};
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

/// Ends the term when the duty's task ends, also by a panic, so that no call is begun under it any more.
struct TermEnd(SharedTerm);

impl Drop for TermEnd {
    fn drop(&mut self) {
        *self.0.borrow_mut() = None;
        EdgeMetrics::global().duty_held.set(0);
        EdgeMetrics::global().duty_idle.set(0);
    }
}

/// Acquires the duty and performs its work until the daemon drains.
pub async fn hold_duty(state: Arc<EdgeState>, upstream_client: Client, store: StoreAccess) {
    let term: SharedTerm = Rc::default();
    let _term_end = TermEnd(term.clone());
    let mut load_duty = LoadDuty::new(state.clone(), upstream_client, term.clone());
    let mut usage_duty = UsageDuty::new(state.clone(), store.clone(), term.clone());
    let mut scaling_duty = ScalingDuty::new(state.clone(), store.clone(), term.clone());
    let mut retire_duty = RetireDuty::new(state.clone(), store.clone());
    let mut vacant_since: Option<TimePoint> = None;
    let mut is_idle = false;
    while !state.is_draining() {
        let _ = actix_rt::time::timeout(PASS_PERIOD, state.upstreams_changed.notified()).await;
        let now = state.now();
        let holds_duty = refresh_term(&state, &term);
        is_idle = report_idle(&state, &term, is_idle);
        if holds_duty {
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
        let Some(claim) = due_claim(&state) else {
            vacant_since = None;
            continue;
        };
        let since = *vacant_since.get_or_insert(now);
        if claim.replaced_revision > 0 || now >= acquire_time(&state, since) {
            acquire_duty(&state, &store, &term, claim).await;
            vacant_since = None;
        }
    }
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
            state.lease_view().duty_removed(token);
            EdgeMetrics::global().duty_held.set(0);
        }
        Err(error) => LogLine::new("duty_not_given_up").field("reason", error).warn(),
    }
}

/// Updates the term from the current lease. Returns whether this process still holds the duty.
fn refresh_term(state: &EdgeState, term: &SharedTerm) -> bool {
    let status = {
        let view = state.lease_view();
        let observed_revision = view.duty.as_ref().map(|entry| entry.revision);
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

/// The claim of this process, which holds no term. `None` if another daemon may hold the duty, if calls of an earlier term of
/// this process have not ended, or if there is no configuration yet.
fn due_claim(state: &EdgeState) -> Option<DutyClaim> {
    state.config()?;
    if state.pending_duty_calls() > 0 {
        return None;
    }
    DutyClaim::of(state.lease_view().duty.as_ref(), &state.settings.vm, state.incarnation)
}

/// Whether the store names this daemon as the holder although it may not act: between terms, before the first action of a
/// term, or without a renewed lease.
fn is_idle_holder(state: &EdgeState, term: &SharedTerm) -> bool {
    let is_listed = state.lease_view().duty.as_ref().is_some_and(|entry| entry.daemon == state.settings.vm);
    let now = state.now();
    is_listed && !term.borrow().is_some_and(|term| term.may_act(now, 0))
}

/// Shows in the metrics whether this daemon is an idle holder, and logs when it becomes one.
fn report_idle(state: &EdgeState, term: &SharedTerm, was_idle: bool) -> bool {
    let is_idle = is_idle_holder(state, term);
    EdgeMetrics::global().duty_idle.set(i64::from(is_idle));
    if is_idle && !was_idle {
        let reason = if term.borrow().is_some() { "may_not_act_yet" } else { "no_term" };
        LogLine::new("duty_idle").field("reason", reason).warn();
    }
    is_idle
}

/// Commits this process as the holder, under its lease and in place of the entry that `claim` names, and starts a term. If no
/// response arrives, the entry may be stored; the next claim replaces it then.
async fn acquire_duty(state: &EdgeState, store: &StoreAccess, term: &SharedTerm, claim: DutyClaim) {
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
        .expect(KeyLayout::DUTY_HOLDER_KEY, claim.replaced_revision)
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

//! Sums the usage counts of each window over all daemons, seals the sums in the store, and reports them to the
//! platform.

use super::{
    duty_task::SharedTerm,
    usage_collector::{SEALED_REASON, log_dropped},
    usage_count_task::STORE_TIME_MAX_MS,
};
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{SealSchedule, SharedName, TimePoint, UsageTally};
use pimentoslip_platform::{
    CommitOutcome, DutyAuthority, DutyCallOutcome, DutyClient, StoreClient, StoreCommit, StoreEntry,
};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{KeyLayout, SealedUsageEntry, UsageBatchesEntry},
};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, sync::Arc};

/// A window is sealed this long after its end; by then, all daemons have stored their counts.
const SEAL_DELAY_MS: u64 = 5_000;
/// Number of past windows that a new holder checks: it reports the sealed ones once more, and seals those after
/// the last sealed one.
const LOOK_BACK_WINDOWS: u64 = 6;
/// Number of sealed windows that are kept in the store, so that a report can be checked for some minutes.
const SEALED_WINDOWS_KEPT: u64 = 64;
/// Largest number of entries removed by one commit; below the platform's limit on the size of a commit.
const REMOVALS_PER_COMMIT_MAX: usize = 24;

/// Seals and reports usage windows in their order.
pub struct UsageDuty {
    state: Arc<EdgeState>,
    store: StoreAccess,
    /// Client for reports to the platform; `None` if its address is not configured.
    provider: Option<DutyClient>,
    term: SharedTerm,
    schedule: SealSchedule,
    /// Fencing token of the term to which `next_window` and `unreported` belong.
    fencing_token: u64,
    /// When the last tick with an active term ended; `None` before the first one.
    ticked_at: Option<TimePoint>,
    /// Last failed call to the store before the ticks began or continued after a pause.
    failed_at: Option<TimePoint>,
    /// Whether the sealed windows have been read in this term.
    is_begun: bool,
    /// Last sealed window that was read at the start of the term; `None` if no window is sealed.
    last_sealed: Option<u64>,
    /// Next window to be sealed; `None` until it is known in this term.
    next_window: Option<u64>,
    /// Sealed windows that are not reported yet, with the requests by organisation.
    unreported: BTreeMap<u64, BTreeMap<SharedName, u64>>,
}

impl UsageDuty {
    /// Creates the usage duty, which reports while `term` allows it.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, term: SharedTerm) -> Self {
        let provider = state.settings.provider_address.map(|address| DutyClient::new(address, state.clock.clone()));
        let schedule = SealSchedule {
            window_ms: state.settings.usage_window_ms.max(1),
            seal_delay_ms: SEAL_DELAY_MS,
            return_delay_ms: STORE_TIME_MAX_MS,
            look_back_windows: LOOK_BACK_WINDOWS,
        };
        Self {
            state,
            store,
            provider,
            term,
            schedule,
            fencing_token: 0,
            ticked_at: None,
            failed_at: None,
            is_begun: false,
            last_sealed: None,
            next_window: None,
            unreported: BTreeMap::new(),
        }
    }

    /// Seals the next window if it is due, and reports sealed windows.
    pub async fn tick(&mut self) {
        let now = self.state.now();
        let active_term = self.term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_TIMEOUT_MS));
        let (Some(term), true) = (active_term, self.provider.is_some()) else { return };
        let is_new_term = self.fencing_token != term.fencing_token;
        if is_new_term {
            self.fencing_token = term.fencing_token;
            self.is_begun = false;
            self.next_window = None;
            self.unreported.clear();
        }
        // An outage of the store ends the term, or interrupts it because the lease is not renewed.
        if is_new_term || self.ticked_at.is_none_or(|at| now.since_ms(at) > StoreClient::CALL_TIMEOUT_MS) {
            self.failed_at = self.state.store_failed_at();
        }
        self.is_begun = self.is_begun || self.read_sealed().await;
        if self.is_begun {
            self.seal_due().await;
            self.report().await;
        }
        self.ticked_at = Some(self.state.now());
    }

    /// Seals the next window if it is due.
    async fn seal_due(&mut self) {
        if self.schedule.is_settling(self.failed_at, self.state.now()) {
            return;
        }
        let Some(window) = self.window_to_seal().await else { return };
        if self.schedule.is_due(window, self.state.unix_ms()) && self.seal(window).await {
            self.next_window = Some(window + 1);
        }
    }

    /// Reads the sealed windows at the start of a term. Returns whether they could be read.
    async fn read_sealed(&mut self) -> bool {
        let page = match self.store.range(KeyLayout::SEALED_USAGE_PREFIX).await {
            Ok(page) => page,
            Err(error) => {
                LogLine::new("usage_read_failed").field("reason", error).warn();
                return false;
            }
        };
        let current = self.state.usage().window_at(self.state.unix_ms());
        self.last_sealed = None;
        for store_entry in page.entries {
            let Some(window) = KeyLayout::parse_sealed_usage_key(&store_entry.key) else { continue };
            self.last_sealed = self.last_sealed.max(Some(window));
            if window + LOOK_BACK_WINDOWS >= current
                && let Some(entry) = decode_logged::<SealedUsageEntry>(&store_entry)
            {
                // The previous holder may have sealed this window without reporting it.
                self.unreported.insert(window, entry.counts);
            }
        }
        true
    }

    /// The next window to be sealed, which is derived from the stored windows at the start of a term. `None` if they
    /// could not be read.
    async fn window_to_seal(&mut self) -> Option<u64> {
        if self.next_window.is_some() {
            return self.next_window;
        }
        let oldest_counted = match self.last_sealed {
            Some(_) => None,
            None => self.oldest_counted().await?,
        };
        self.next_window = Some(self.schedule.first_window(self.last_sealed, oldest_counted, self.state.unix_ms()));
        self.next_window
    }

    /// The oldest window of which counts are stored, if any. `None` if they could not be read.
    async fn oldest_counted(&self) -> Option<Option<u64>> {
        match self.store.page(KeyLayout::USAGE_COUNTS_PREFIX, None).await {
            // Keys are sorted by window.
            Ok(page) => Some(page.entries.first().and_then(|entry| KeyLayout::parse_usage_count_window(&entry.key))),
            Err(error) => {
                LogLine::new("usage_read_failed").field("reason", error).warn();
                None
            }
        }
    }

    /// Sums a window's counts and stores the sums by one write that can succeed only once. Returns whether the window
    /// is sealed.
    async fn seal(&mut self, window: u64) -> bool {
        let page = match self.store.range(KeyLayout::USAGE_COUNTS_PREFIX).await {
            Ok(page) => page,
            Err(error) => {
                LogLine::new("usage_read_failed").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let window_of = |entry: &StoreEntry| KeyLayout::parse_usage_count_window(&entry.key);
        let is_sealed = |entry: &StoreEntry| window_of(entry).is_some_and(|counted| counted < window);
        let (late_entries, entries): (Vec<_>, Vec<_>) = page.entries.into_iter().partition(is_sealed);
        let entries: Vec<_> = entries.into_iter().filter(|entry| window_of(entry) == Some(window)).collect();
        let batches = unique_batches(&entries);
        let batch_count = batches.len();
        let counts = UsageTally::sum_counts(batches.into_values());
        let value = match encode(&SealedUsageEntry { counts: counts.clone() }) {
            Ok(value) => value,
            Err(error) => {
                LogLine::new("usage_not_sealed").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let key = KeyLayout::sealed_usage_key(window);
        let mut commit = StoreCommit::default().expect(key.clone(), 0).put(key, value, 0);
        let (removed_entries, remaining_entries) = entries.split_at(entries.len().min(REMOVALS_PER_COMMIT_MAX));
        for store_entry in removed_entries {
            commit = commit.remove(store_entry.key.clone());
        }
        if let Some(expired_window) = window.checked_sub(SEALED_WINDOWS_KEPT) {
            commit = commit.remove(KeyLayout::sealed_usage_key(expired_window));
        }
        let counts = match self.store.commit(&commit).await {
            Ok(CommitOutcome::Committed(_)) => counts,
            Ok(CommitOutcome::Conflict(store_entries)) => {
                // The window is sealed already, by this or another daemon; the stored sums are reported.
                let Some(store_entry) = store_entries.first() else { return false };
                // An unreadable entry is not reported, but must not stop the following windows.
                let Some(sealed) = decode_logged::<SealedUsageEntry>(store_entry) else { return true };
                sealed.counts
            }
            Err(error) => {
                LogLine::new("usage_not_sealed").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        LogLine::new("usage_sealed")
            .field("window", window)
            .field("batches", batch_count)
            .field("requests", counts.values().fold(0, |sum: u64, count| sum.saturating_add(*count)))
            .info();
        self.unreported.insert(window, counts);
        self.remove_counts(window, remaining_entries).await;
        if self.remove_counts(window, &late_entries).await {
            log_late_counts(&late_entries);
        }
        true
    }

    /// Removes counts up to a sealed window that were not removed when it was sealed. Returns whether they are removed.
    async fn remove_counts(&self, window: u64, entries: &[StoreEntry]) -> bool {
        for group in entries.chunks(REMOVALS_PER_COMMIT_MAX) {
            let commit = group.iter().fold(StoreCommit::default(), |commit, entry| commit.remove(entry.key.clone()));
            if let Err(error) = self.store.commit(&commit).await {
                LogLine::new("usage_counts_not_removed").field("window", window).field("reason", error).warn();
                return false;
            }
        }
        true
    }

    /// Reports sealed windows, oldest first, until a call fails.
    async fn report(&mut self) {
        let Some(provider) = self.provider.clone() else { return };
        while let Some((window, counts)) = self.unreported.first_key_value() {
            let now = self.state.now();
            let Some(term) = self.term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_TIMEOUT_MS)) else {
                return;
            };
            let send_before = self.state.clock.now().plus_ms(DutyClient::CALL_TIMEOUT_MS);
            let authority =
                DutyAuthority { holder: &self.state.settings.vm, fencing_token: term.fencing_token, send_before };
            let call_guard = self.state.track_duty_call();
            let outcome = provider.report_usage(authority, *window, counts).await;
            drop(call_guard);
            LogLine::new("usage_reported")
                .field("window", window)
                .field("fencing_token", term.fencing_token)
                .field("result", format!("{outcome:?}").to_lowercase())
                .info();
            match outcome {
                // A report that was refused with one of these statuses is refused permanently, so it is not sent again.
                DutyCallOutcome::Accepted | DutyCallOutcome::Refused(400 | 404 | 409 | 412 | 422) => {
                    let window = *window;
                    self.unreported.remove(&window);
                }
                DutyCallOutcome::Refused(_) | DutyCallOutcome::Unanswered => return,
            }
        }
    }
}

/// Counts of each batch, by daemon, incarnation and number of the batch. A batch that is stored in several entries is
/// returned once.
fn unique_batches(entries: &[StoreEntry]) -> BTreeMap<(SharedName, u64, u64), BTreeMap<SharedName, u64>> {
    let entries = entries.iter().filter_map(decode_logged::<UsageBatchesEntry>);
    let batches = entries.flat_map(|entry| entry.batches);
    batches.map(|batch| ((batch.daemon, batch.incarnation, batch.number), batch.counts)).collect()
}

/// Logs counts that were stored too late for the seal of their window.
fn log_late_counts(entries: &[StoreEntry]) {
    for entry in entries {
        let window = KeyLayout::parse_usage_count_window(&entry.key).unwrap_or_default();
        for ((daemon, _, number), counts) in unique_batches(std::slice::from_ref(entry)) {
            log_dropped(window, &daemon, number, &counts, SEALED_REASON);
        }
    }
}

/// Decodes a stored entry. `None` if it is malformed, which is logged.
fn decode_logged<T: DeserializeOwned>(store_entry: &StoreEntry) -> Option<T> {
    match decode(&store_entry.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            LogLine::new("entry_unreadable").field("key", &store_entry.key).field("reason", error).warn();
            None
        }
    }
}

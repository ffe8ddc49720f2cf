//! Seals and reports usage windows.

use super::duty_task::SharedTerm;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{SharedName, UsageTally};
use pimentoslip_platform::{CommitOutcome, DutyCall, DutyClient, DutyOutcome, RangePage, StoreCommit, StoreItem};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{KeyLayout, UsageEntry, UsageParts},
};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, sync::Arc};

/// A window is sealed this long after its end, when all daemons have recorded their counts, in milliseconds.
const SEAL_DELAY_MS: u64 = 5_000;
/// Windows that a new holder looks back on.
const LOOK_BACK: u64 = 6;
/// Sealed windows that stay on record: a report may be asked about for some minutes.
const SEALED_KEPT: u64 = 64;
/// Entries that one commit removes, below the platform's limit.
const REMOVALS_MAX: usize = 24;

/// Reports windows in order.
pub struct UsageDuty {
    state: Arc<EdgeState>,
    store: StoreAccess,
    provider: Option<DutyClient>,
    term: SharedTerm,
    /// Token of the term for which `next` holds.
    token: u64,
    /// Next window to be sealed.
    next: Option<u64>,
    /// Sealed windows that are not reported yet.
    unreported: BTreeMap<u64, BTreeMap<SharedName, u64>>,
}

impl UsageDuty {
    /// Reports under `term`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, term: SharedTerm) -> Self {
        let provider = state.settings.provider.map(DutyClient::new);
        Self { state, store, provider, term, token: 0, next: None, unreported: BTreeMap::new() }
    }

    /// Seals the next window if it is due, and reports what is sealed.
    pub async fn round(&mut self) {
        let now = self.state.now();
        let held = self.term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_MS));
        let (Some(term), true) = (held, self.provider.is_some()) else { return };
        if self.token != term.fencing_token {
            self.token = term.fencing_token;
            self.next = None;
            self.unreported.clear();
        }
        let Some(next) = self.begin().await else { return };
        let due = self.state.usage().end_unix_ms(next) + SEAL_DELAY_MS;
        if self.state.unix_ms() >= due && self.seal(next).await {
            self.next = Some(next + 1);
        }
        self.report().await;
    }

    /// The next window to be sealed, from the record at the beginning of a term.
    async fn begin(&mut self) -> Option<u64> {
        if self.next.is_some() {
            return self.next;
        }
        let page = match self.store.range(KeyLayout::SEALED).await {
            Ok(page) => page,
            Err(error) => {
                LogLine::new("usage_unread").field("reason", error).warn();
                return None;
            }
        };
        let current = self.state.usage().window(self.state.unix_ms());
        let mut last = None;
        for item in page.items {
            let Some(window) = KeyLayout::sealed_window(&item.key) else { continue };
            last = last.max(Some(window));
            if window + LOOK_BACK >= current
                && let Some(entry) = decode_logged::<UsageEntry>(&item)
            {
                // The former holder may have sealed it without reporting it.
                self.unreported.insert(window, entry.counts);
            }
        }
        let next = last.map_or(current, |last| (last + 1).max(current.saturating_sub(LOOK_BACK)));
        self.next = Some(next);
        Some(next)
    }

    /// Adds up a window's counts and fixes them by one write.
    async fn seal(&mut self, window: u64) -> bool {
        let page = match self.store.range(&KeyLayout::counts(window)).await {
            Ok(page) => page,
            Err(error) => {
                LogLine::new("usage_unread").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let parts = unique_parts(&page);
        let daemons = parts.len();
        let counts = UsageTally::sum(parts.into_values());
        let value = match encode(&UsageEntry { counts: counts.clone() }) {
            Ok(value) => value,
            Err(error) => {
                LogLine::new("usage_not_sealed").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let key = KeyLayout::sealed(window);
        let mut commit = StoreCommit::default().expect(key.clone(), 0).put(key, value, 0);
        for item in page.items.iter().take(REMOVALS_MAX) {
            commit = commit.remove(item.key.clone());
        }
        if let Some(old) = window.checked_sub(SEALED_KEPT) {
            commit = commit.remove(KeyLayout::sealed(old));
        }
        let counts = match self.store.commit(&commit).await {
            Ok(CommitOutcome::Done(_)) => counts,
            Ok(CommitOutcome::Conflict(items)) => {
                // What is on record counts, whoever wrote it.
                let sealed = items.first().and_then(decode_logged::<UsageEntry>);
                let Some(sealed) = sealed else { return false };
                sealed.counts
            }
            Err(error) => {
                LogLine::new("usage_not_sealed").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        LogLine::new("usage_sealed")
            .field("window", window)
            .field("daemons", daemons)
            .field("requests", counts.values().sum::<u64>())
            .info();
        self.unreported.insert(window, counts);
        true
    }

    /// Reports sealed windows, oldest first, until a call fails.
    async fn report(&mut self) {
        let Some(provider) = self.provider.clone() else { return };
        while let Some((window, counts)) = self.unreported.first_key_value() {
            let now = self.state.now();
            let Some(term) = self.term.borrow().filter(|term| term.may_act(now, DutyClient::CALL_MS)) else { return };
            let duty = DutyCall { holder: &self.state.settings.vm, fencing_token: term.fencing_token };
            let counted = self.state.track_duty_call();
            let outcome = provider.report(duty, *window, counts).await;
            drop(counted);
            LogLine::new("usage_reported")
                .field("window", window)
                .field("fencing_token", term.fencing_token)
                .field("result", format!("{outcome:?}").to_lowercase())
                .info();
            match outcome {
                // What is refused for good is not sent again.
                DutyOutcome::Accepted | DutyOutcome::Refused(400 | 404 | 409 | 412 | 422) => {
                    let window = *window;
                    self.unreported.remove(&window);
                }
                DutyOutcome::Refused(_) | DutyOutcome::Unanswered => return,
            }
        }
    }
}

/// Batches of counts by the process and number that they came from; one may stand in several entries.
fn unique_parts(page: &RangePage) -> BTreeMap<(SharedName, u64, u64), BTreeMap<SharedName, u64>> {
    let entries = page.items.iter().filter_map(decode_logged::<UsageParts>);
    let parts = entries.flat_map(|entry| entry.parts);
    parts.map(|part| ((part.daemon, part.incarnation, part.number), part.counts)).collect()
}

fn decode_logged<T: DeserializeOwned>(item: &StoreItem) -> Option<T> {
    match decode(&item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            LogLine::new("entry_unreadable").field("key", &item.key).field("reason", error).warn();
            None
        }
    }
}

//! Seals and reports usage windows.

use super::duty_task::SharedTerm;
use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::{SharedName, UsageTally};
use pimentoslip_platform::{CommitOutcome, DutyCall, DutyClient, DutyOutcome, StoreCommit};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    stored::{KeyLayout, UsageEntry},
};
use std::{collections::BTreeMap, sync::Arc};

/// A window is sealed this long after its end, when all daemons have recorded their counts, in milliseconds.
const SEAL_DELAY_MS: u64 = 4_500;
/// Windows that a new holder looks back on.
const LOOK_BACK: u64 = 6;

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
                && let Ok(entry) = decode::<UsageEntry>(&item.value)
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
        let daemons = page.items.len();
        let parts = page.items.iter().filter_map(|item| decode::<UsageEntry>(&item.value).ok());
        let counts = UsageTally::sum(parts.map(|entry| entry.counts));
        let Ok(value) = encode(&UsageEntry { counts: counts.clone() }) else { return false };
        let key = KeyLayout::sealed(window);
        let commit = StoreCommit::default().expect(key.clone(), 0).put(key, value, 0);
        let counts = match self.store.commit(&commit).await {
            Ok(CommitOutcome::Done(_)) => counts,
            Ok(CommitOutcome::Conflict(items)) => {
                // What is on record counts, whoever wrote it.
                let sealed = items.first().and_then(|item| decode::<UsageEntry>(&item.value).ok());
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
            let outcome = provider.report(duty, *window, counts).await;
            LogLine::new("usage_reported")
                .field("window", window)
                .field("fencing_token", term.fencing_token)
                .field("result", format!("{outcome:?}").to_lowercase())
                .info();
            match outcome {
                DutyOutcome::Accepted => {
                    let window = *window;
                    self.unreported.remove(&window);
                }
                DutyOutcome::Refused(400 | 404 | 409 | 412 | 422) => {
                    let window = *window;
                    self.unreported.remove(&window);
                }
                DutyOutcome::Refused(_) | DutyOutcome::Unanswered => return,
            }
        }
    }
}

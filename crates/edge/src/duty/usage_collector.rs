//! Puts usage counts of many daemons on record together.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_platform::StoreCommit;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    peer::UsagePush,
    stored::{KeyLayout, UsagePart, UsageParts},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Path at which daemons hand their counts in.
pub const USAGE_PATH: &str = "/peer/usage";
/// Time in which counts of other daemons gather; all hand them in at about the same time.
const GATHER_PERIOD: Duration = Duration::from_millis(300);
/// Writes of one commit, below the platform's limit.
const WINDOWS_MAX: usize = 16;

struct PendingPush {
    push: UsagePush,
    done: oneshot::Sender<bool>,
}

/// Gathers for one thread.
#[derive(Clone)]
pub struct UsageCollector {
    state: Arc<EdgeState>,
    store: StoreAccess,
    pending: Rc<RefCell<Vec<PendingPush>>>,
}

impl std::fmt::Debug for UsageCollector {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("UsageCollector").finish_non_exhaustive()
    }
}

impl UsageCollector {
    /// Writes to `store`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess) -> Self {
        Self { state, store, pending: Rc::default() }
    }

    /// Takes counts in; true once they are on record.
    pub async fn take(&self, push: UsagePush) -> bool {
        let (done, outcome) = oneshot::channel();
        let is_first = {
            let mut pending = self.pending.borrow_mut();
            pending.push(PendingPush { push, done });
            pending.len() == 1
        };
        if is_first {
            let collector = self.clone();
            actix_rt::spawn(async move {
                actix_rt::time::sleep(GATHER_PERIOD).await;
                collector.flush().await;
            });
        }
        outcome.await.unwrap_or(false)
    }

    async fn flush(&self) {
        let pending = self.pending.take();
        let mut windows: BTreeMap<u64, Vec<UsagePart>> = BTreeMap::new();
        for entry in &pending {
            windows.entry(entry.push.window).or_default().push(entry.push.part.clone());
        }
        let mut written = true;
        let windows: Vec<(u64, Vec<UsagePart>)> = windows.into_iter().collect();
        for some in windows.chunks(WINDOWS_MAX) {
            written &= write_parts(&self.state, &self.store, some).await;
        }
        for entry in pending {
            // A sender that has left writes by itself.
            let _ = entry.done.send(written);
        }
    }
}

/// Puts parts on record, by window. False if that is not certain.
pub async fn write_parts(state: &EdgeState, store: &StoreAccess, windows: &[(u64, Vec<UsagePart>)]) -> bool {
    let mut commit = StoreCommit::default();
    for (window, parts) in windows {
        let value = match encode(&UsageParts { parts: parts.clone() }) {
            Ok(value) => value,
            Err(error) => {
                LogLine::new("usage_not_encoded").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let key = KeyLayout::count(*window, &state.settings.vm, state.incarnation, state.next_usage_write_number());
        commit = commit.put(key, value, 0);
    }
    let parts: usize = windows.iter().map(|(_, parts)| parts.len()).sum();
    match store.commit(&commit).await {
        Ok(_) => {
            LogLine::new("usage_recorded").field("windows", windows.len()).field("parts", parts).info();
            true
        }
        Err(error) => {
            LogLine::new("usage_not_recorded").field("parts", parts).field("reason", error).warn();
            false
        }
    }
}

//! Collects the usage counts of several daemons, and stores them in few writes.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_platform::StoreCommit;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    peer::UsagePush,
    stored::{KeyLayout, UsageBatchEntry, UsageBatchesEntry},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Path of the peer interface at which the collector receives usage counts.
pub const USAGE_PATH: &str = "/peer/usage";
/// Time from the first received counts until a write; all daemons send their counts at about the same time.
const GATHER_PERIOD: Duration = Duration::from_millis(300);
/// Largest number of windows written by one commit, one entry each; below the platform's limit on the size of a commit.
const WINDOWS_PER_COMMIT_MAX: usize = 16;

/// Counts that wait for the next write, with the channel for its outcome.
struct PendingPush {
    push: UsagePush,
    /// Receives whether the counts are stored.
    outcome: oneshot::Sender<bool>,
}

/// Collector of usage counts for the tasks of one thread.
#[derive(Clone)]
pub struct UsageCollector {
    state: Arc<EdgeState>,
    store: StoreAccess,
    /// Counts received since the last write.
    pending: Rc<RefCell<Vec<PendingPush>>>,
}

impl std::fmt::Debug for UsageCollector {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("UsageCollector").finish_non_exhaustive()
    }
}

impl UsageCollector {
    /// Creates a collector that writes to `store`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess) -> Self {
        Self { state, store, pending: Rc::default() }
    }

    /// Adds counts to the next write, and waits for it. Returns true if they are stored.
    pub async fn collect(&self, push: UsagePush) -> bool {
        let (sender, receiver) = oneshot::channel();
        let is_first = {
            let mut pending = self.pending.borrow_mut();
            pending.push(PendingPush { push, outcome: sender });
            pending.len() == 1
        };
        if is_first {
            let collector = self.clone();
            actix_rt::spawn(async move {
                actix_rt::time::sleep(GATHER_PERIOD).await;
                collector.flush().await;
            });
        }
        receiver.await.unwrap_or(false)
    }

    /// Writes all pending counts, and sends the outcome to the tasks that wait for it.
    async fn flush(&self) {
        let pending = self.pending.take();
        let mut windows: BTreeMap<u64, Vec<UsageBatchEntry>> = BTreeMap::new();
        for entry in &pending {
            windows.entry(entry.push.window).or_default().push(entry.push.batch.clone());
        }
        let mut all_written = true;
        let windows: Vec<(u64, Vec<UsageBatchEntry>)> = windows.into_iter().collect();
        for window_group in windows.chunks(WINDOWS_PER_COMMIT_MAX) {
            all_written &= write_batches(&self.state, &self.store, window_group).await;
        }
        for entry in pending {
            // A daemon whose call has timed out writes its counts itself, so a closed channel is ignored.
            let _ = entry.outcome.send(all_written);
        }
    }
}

/// Stores the batches of counts of each window in one commit. Returns false if it is not certain that they are stored.
pub async fn write_batches(state: &EdgeState, store: &StoreAccess, windows: &[(u64, Vec<UsageBatchEntry>)]) -> bool {
    let mut commit = StoreCommit::default();
    for (window, batches) in windows {
        let value = match encode(&UsageBatchesEntry { batches: batches.clone() }) {
            Ok(value) => value,
            Err(error) => {
                LogLine::new("usage_not_encoded").field("window", window).field("reason", error).warn();
                return false;
            }
        };
        let key =
            KeyLayout::usage_count_key(*window, &state.settings.vm, state.incarnation, state.next_usage_write_number());
        commit = commit.put(key, value, 0);
    }
    let batch_count: usize = windows.iter().map(|(_, batches)| batches.len()).sum();
    match store.commit(&commit).await {
        Ok(_) => {
            LogLine::new("usage_recorded").field("windows", windows.len()).field("parts", batch_count).info();
            true
        }
        Err(error) => {
            LogLine::new("usage_not_recorded").field("parts", batch_count).field("reason", error).warn();
            false
        }
    }
}

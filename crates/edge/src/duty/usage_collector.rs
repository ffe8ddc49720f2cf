//! Collects the usage counts of several daemons, and stores them in few writes.

use crate::{
    edge_metrics::{EdgeMetrics, ReasonLabel},
    edge_state::EdgeState,
    store::StoreAccess,
};
use pimentoslip_kernel::SharedName;
use pimentoslip_platform::{CommitOutcome, StoreCommit, StoreEntry};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    peer::UsagePush,
    stored::{KeyLayout, UsageBatchEntry, UsageBatchesEntry},
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;

/// Path of the peer interface at which the collector receives usage counts.
pub const USAGE_PATH: &str = "/peer/usage";
/// Time from the first received counts until a write; all daemons send their counts at about the same time.
const GATHER_PERIOD: Duration = Duration::from_millis(300);
/// Largest number of windows written by one commit, one condition and one entry each; within the platform's limit on the
/// size of a commit.
const WINDOWS_PER_COMMIT_MAX: usize = 16;
/// Reason of dropped counts whose window is sealed.
pub const SEALED_REASON: &str = "window_sealed";

/// Counts that wait for the next write, with the channel for its outcome.
struct PendingPush {
    push: UsagePush,
    /// Receives whether the counts are stored, or dropped because their window is sealed.
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

    /// Adds counts to the next write, and waits for it. Returns true if they are stored, or dropped because
    /// their window is sealed.
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

/// Stores the batches of counts of each window in one commit, without those of windows that are sealed, which are dropped.
/// Returns false if it is not certain that the others are stored.
pub async fn write_batches(state: &EdgeState, store: &StoreAccess, windows: &[(u64, Vec<UsageBatchEntry>)]) -> bool {
    let mut windows = windows.to_vec();
    while !windows.is_empty() {
        let Some(commit) = counts_commit(state, &windows) else { return false };
        let batch_count: usize = windows.iter().map(|(_, batches)| batches.len()).sum();
        let sealed = match store.commit(&commit).await {
            Ok(CommitOutcome::Committed(_)) => {
                LogLine::new("usage_recorded").field("windows", windows.len()).field("parts", batch_count).info();
                return true;
            }
            Ok(CommitOutcome::Conflict(store_entries)) => sealed_windows(&store_entries),
            Err(error) => {
                LogLine::new("usage_not_recorded").field("parts", batch_count).field("reason", error).warn();
                return false;
            }
        };
        let (refused, remaining): (Vec<_>, Vec<_>) =
            windows.into_iter().partition(|(window, _)| sealed.contains(window));
        if refused.is_empty() {
            LogLine::new("usage_not_recorded").field("parts", batch_count).field("reason", "conflict").warn();
            return false;
        }
        refused.iter().for_each(|(window, batches)| drop_batches(*window, batches));
        windows = remaining;
    }
    true
}

/// The commit that stores the batches of each window unless one of the windows is sealed. `None` if they cannot be encoded,
/// which is logged.
fn counts_commit(state: &EdgeState, windows: &[(u64, Vec<UsageBatchEntry>)]) -> Option<StoreCommit> {
    let mut commit = StoreCommit::default();
    for (window, batches) in windows {
        let value = match encode(&UsageBatchesEntry { batches: batches.clone() }) {
            Ok(value) => value,
            Err(error) => {
                LogLine::new("usage_not_encoded").field("window", window).field("reason", error).warn();
                return None;
            }
        };
        let key =
            KeyLayout::usage_count_key(*window, &state.settings.vm, state.incarnation, state.next_usage_write_number());
        commit = commit.expect(KeyLayout::sealed_usage_key(*window), 0).put(key, value, 0);
    }
    Some(commit)
}

/// Windows whose seals are among `store_entries`.
fn sealed_windows(store_entries: &[StoreEntry]) -> BTreeSet<u64> {
    store_entries.iter().filter_map(|entry| KeyLayout::parse_sealed_usage_key(&entry.key)).collect()
}

/// Drops the batches of a sealed window, whose sums cannot change any more.
fn drop_batches(window: u64, batches: &[UsageBatchEntry]) {
    for batch in batches {
        log_dropped(window, &batch.daemon, batch.number, &batch.counts, SEALED_REASON);
    }
}

/// Logs a batch of counts that no report has.
pub fn log_dropped(
    window: u64,
    daemon: &SharedName,
    number: u64,
    counts: &BTreeMap<SharedName, u64>,
    reason: &'static str,
) {
    let requests = counts.values().fold(0, |sum: u64, count| sum.saturating_add(*count));
    EdgeMetrics::global().usage_dropped.get_or_create(&ReasonLabel { reason }).inc_by(requests);
    LogLine::new("usage_dropped")
        .field("window", window)
        .field("daemon", daemon)
        .field("batch", number)
        .field("requests", requests)
        .field("counts", format!("{counts:?}"))
        .field("reason", reason)
        .warn();
}

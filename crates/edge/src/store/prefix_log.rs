//! The recent changes of one followed prefix, shared between the task that follows the prefix and the listener that
//! serves the changes to other daemons.

use pimentoslip_kernel::{ChangeLog, LapseWindow, LogRead, OutageJudge, OutageWitness, ReadGap, StoreRead, TimePoint};
use pimentoslip_wire::peer::{ChangeBody, ChangesRequest, ChangesResponse, LapseBody, OutageBody};
use std::{
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// Changes and outages of one prefix.
#[derive(Debug)]
struct PrefixState {
    log: ChangeLog<Arc<ChangeBody>>,
    judge: OutageJudge,
    /// Whether the last attempt to read the store has failed.
    is_unread: bool,
    /// When another daemon last said that it cannot read the store either.
    agreed_at: TimePoint,
    /// All changes written before this time have been applied by this daemon.
    applied_as_of: TimePoint,
}

/// Recent changes of one prefix.
#[derive(Debug)]
pub struct PrefixLog {
    state: Mutex<PrefixState>,
    /// Wakes the requests that wait for a change.
    changed: Notify,
}

impl PrefixLog {
    /// Creates the log of a prefix whose entries lapse only if nobody renews them for `outage_ms_min`.
    #[must_use]
    pub fn new(outage_ms_min: u64) -> Self {
        let state = PrefixState {
            log: ChangeLog::default(),
            judge: OutageJudge::new(outage_ms_min),
            is_unread: false,
            agreed_at: TimePoint(0),
            applied_as_of: TimePoint(0),
        };
        Self { state: Mutex::new(state), changed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, PrefixState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts again after a snapshot of the prefix. Returns the gap before it; see [`OutageJudge::record`].
    pub fn restart(&self, read: &StoreRead, witnesses: &[OutageWitness]) -> Option<ReadGap> {
        let gap = {
            let mut state = self.lock();
            state.log.restart(read.revision, read.current_as_of);
            state.judge.record(read, witnesses)
        };
        self.changed.notify_waiters();
        gap
    }

    /// Adds changes that were read. Returns the gap before them; see [`OutageJudge::record`].
    pub fn append(
        &self,
        changes: &[Arc<ChangeBody>],
        read: &StoreRead,
        witnesses: &[OutageWitness],
    ) -> Option<ReadGap> {
        let gap = {
            let mut state = self.lock();
            let entries = changes.iter().map(|change| (change.revision, change_bytes(change), change.clone()));
            state.log.append(entries, read.revision);
            state.log.proved_current(read.current_as_of);
            state.judge.record(read, witnesses)
        };
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
        gap
    }

    /// All changes written before this time are in the log.
    #[must_use]
    pub fn current_as_of(&self) -> TimePoint {
        self.lock().log.current_as_of()
    }

    /// Records that the changes in the log have been applied.
    pub fn mark_applied(&self) {
        let mut state = self.lock();
        state.applied_as_of = state.log.current_as_of();
    }

    /// All changes written before this time have been applied by this daemon.
    #[must_use]
    pub fn applied_as_of(&self) -> TimePoint {
        self.lock().applied_as_of
    }

    /// Whether the store could not be read lately, here or at the daemon that this one follows.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        self.lock().is_unread
    }

    /// When the entries were last known to be as new as those of any other daemon: they were read, or others could not read them
    /// either.
    #[must_use]
    pub fn confirmed_at(&self) -> TimePoint {
        let state = self.lock();
        state.applied_as_of.max(state.agreed_at)
    }

    /// Records that another daemon cannot read the store either, by its answer to a request that was sent at `agreed_at`.
    pub fn set_agreed(&self, agreed_at: TimePoint) {
        let mut state = self.lock();
        state.agreed_at = state.agreed_at.max(agreed_at);
    }

    /// Records whether the store could be read.
    pub fn set_unread(&self, is_unread: bool) {
        self.lock().is_unread = is_unread;
    }

    /// See [`OutageJudge::gap_ms`].
    #[must_use]
    pub fn gap_ms(&self, served_at: TimePoint) -> Option<u64> {
        self.lock().judge.gap_ms(served_at)
    }

    /// The last outage of the store.
    #[must_use]
    pub fn outage(&self) -> Option<LapseWindow> {
        self.lock().judge.window()
    }

    /// See [`OutageJudge::relist_deadline`].
    #[must_use]
    pub fn relist_deadline(&self, revisions: &RangeInclusive<u64>) -> Option<TimePoint> {
        self.lock().judge.relist_deadline(revisions)
    }

    /// The response to another daemon's request: changes as soon as there are any, or none once the requested wait has
    /// passed. `now` returns the current time.
    pub async fn response(&self, request: &ChangesRequest, now: impl Fn() -> TimePoint) -> ChangesResponse {
        let arrived_at = now();
        let wait_until = arrived_at.plus_ms(request.wait_ms);
        loop {
            let changed = self.changed.notified();
            let (read, current_as_of, window, is_unread) = {
                let state = self.lock();
                let window = state.judge.window();
                (state.log.read(request.revision), state.log.current_as_of(), window, state.is_unread)
            };
            let LogRead::Changes { changes, revision } = read else { return ChangesResponse::Incomplete };
            let left_ms = wait_until.since_ms(now());
            if !changes.is_empty() || left_ms == 0 {
                let current_after_ms = current_as_of.signed_since_ms(arrived_at);
                let window = window.map(|window| LapseBody::from_window(&window, arrived_at));
                let outages = Some(OutageBody { window, is_unread });
                return ChangesResponse::Changes { changes, revision, current_after_ms, outages };
            }
            // Either a change or the end of the wait is found by the next read.
            let _ = actix_rt::time::timeout(Duration::from_millis(left_ms), changed).await;
        }
    }
}

/// Approximate memory that a kept change takes.
fn change_bytes(change: &ChangeBody) -> usize {
    size_of::<ChangeBody>() + change.key.len() + change.written.as_ref().map_or(0, |entry| entry.value.len())
}

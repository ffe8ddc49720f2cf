//! The recent changes of one followed prefix, shared between the task that follows the prefix and the listener that
//! serves the changes to other daemons.

use pimentoslip_kernel::{ChangeLog, LogRead, TimePoint};
use pimentoslip_wire::peer::{ChangeBody, ChangesRequest, ChangesResponse};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// Recent changes of one prefix.
#[derive(Debug, Default)]
pub struct PrefixLog {
    log: Mutex<ChangeLog<Arc<ChangeBody>>>,
    /// Wakes the requests that wait for a change.
    changed: Notify,
}

impl PrefixLog {
    fn lock(&self) -> MutexGuard<'_, ChangeLog<Arc<ChangeBody>>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts again after a snapshot of the prefix, which was read at `revision`.
    pub fn restart(&self, revision: u64, current_as_of: TimePoint) {
        self.lock().restart(revision, current_as_of);
        self.changed.notify_waiters();
    }

    /// Adds changes up to `revision`. All changes written before `current_as_of` are then in the log.
    pub fn append(&self, changes: &[Arc<ChangeBody>], revision: u64, current_as_of: TimePoint) {
        {
            let mut log = self.lock();
            log.append(changes.iter().map(|change| (change.revision, change_bytes(change), change.clone())), revision);
            log.proved_current(current_as_of);
        }
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// All changes written before this time are in the log.
    #[must_use]
    pub fn current_as_of(&self) -> TimePoint {
        self.lock().current_as_of()
    }

    /// The response to another daemon's request: changes as soon as there are any, or none once the requested wait has
    /// passed. `now` returns the current time.
    pub async fn response(&self, request: &ChangesRequest, now: impl Fn() -> TimePoint) -> ChangesResponse {
        let arrived_at = now();
        let wait_until = arrived_at.plus_ms(request.wait_ms);
        loop {
            let changed = self.changed.notified();
            let (read, current_as_of) = {
                let log = self.lock();
                (log.read(request.revision), log.current_as_of())
            };
            let LogRead::Changes { changes, revision } = read else { return ChangesResponse::Incomplete };
            let left_ms = wait_until.since_ms(now());
            if !changes.is_empty() || left_ms == 0 {
                let current_after_ms = signed_ms(arrived_at, current_as_of);
                return ChangesResponse::Changes { changes, revision, current_after_ms };
            }
            // Either a change or the end of the wait is found by the next read.
            let _ = actix_rt::time::timeout(Duration::from_millis(left_ms), changed).await;
        }
    }
}

/// Milliseconds from `from` to `to`; negative if `to` is earlier.
fn signed_ms(from: TimePoint, to: TimePoint) -> i64 {
    let later = i64::try_from(to.since_ms(from)).unwrap_or(i64::MAX);
    let earlier = i64::try_from(from.since_ms(to)).unwrap_or(i64::MAX);
    later - earlier
}

/// Approximate memory that a kept change takes.
fn change_bytes(change: &ChangeBody) -> usize {
    size_of::<ChangeBody>() + change.key.len() + change.written.as_ref().map_or(0, |entry| entry.value.len())
}

//! Planned stop of the daemon: which requests are still taken, and until when they are answered.

use pimentoslip_kernel::TimePoint;
use std::sync::{
    OnceLock,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    /// Time until which requests are answered; unset while no stop is planned.
    answers_due: OnceLock<TimePoint>,
    is_over: AtomicBool,
    ended: Notify,
}

impl PlannedStop {
    /// Starts the stop. Requests are answered until `answers_due`.
    pub fn start(&self, answers_due: TimePoint) {
        // A second start changes nothing.
        let _ = self.answers_due.set(answers_due);
    }

    /// Whether the stop has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.answers_due.get().is_some()
    }

    /// Whether a request that ends at `deadline` at the latest is answered before the process exits.
    #[must_use]
    pub fn allows(&self, deadline: TimePoint) -> bool {
        !self.is_over() && self.answers_due.get().is_none_or(|due| deadline <= *due)
    }

    /// Ends the time for answers: requests in progress are given up.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.ended.notify_waiters();
    }

    /// Whether the time for answers has ended.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Waits until the time for answers has ended.
    pub async fn wait_for_end(&self) {
        let ended = self.ended.notified();
        if !self.is_over() {
            ended.await;
        }
    }
}

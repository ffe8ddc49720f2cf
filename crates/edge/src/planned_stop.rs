//! Planned stop of the daemon: which requests are still taken, and until when they are answered.

use pimentoslip_kernel::TimePoint;
use std::sync::{
    OnceLock,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// Requests that may repeat are taken for the time until answers are due, divided by this. The rest of it
/// suffices for most of them, whatever their deadlines.
const REPEATABLE_DIVISOR: u64 = 3;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    /// Time until which requests are answered.
    answers_due: TimePoint,
    /// Time until which requests are taken that may repeat, whatever their deadline.
    repeatable_until: TimePoint,
}

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub struct PlannedStop {
    /// Unset while no stop is planned.
    times: OnceLock<StopTimes>,
    is_over: AtomicBool,
    ended: Notify,
}

impl PlannedStop {
    /// Starts the stop. Requests are answered until `answers_due`.
    pub fn start(&self, now: TimePoint, answers_due: TimePoint) {
        let repeatable_until = now.plus_ms(answers_due.since_ms(now) / REPEATABLE_DIVISOR);
        // A second start changes nothing.
        let _ = self.times.set(StopTimes { answers_due, repeatable_until });
    }

    /// Whether the stop has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.times.get().is_some()
    }

    /// Whether a request that ends at `deadline` at the latest is taken: it is answered before the process exits; or it may
    /// repeat, and arrives so early that few are given up.
    #[must_use]
    pub fn allows(&self, deadline: TimePoint, may_repeat: bool, now: TimePoint) -> bool {
        let Some(times) = self.times.get() else { return true };
        !self.is_over() && (deadline <= times.answers_due || (may_repeat && now < times.repeatable_until))
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

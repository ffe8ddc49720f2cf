//! Crash marks that are to be sent to the peers at once.

use pimentoslip_kernel::CrashMark;
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Longest wait for the answers of the peers. Running peers answer within milliseconds; others learn of the marks from
/// later exchanges.
const PUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Marks that are not sent yet.
#[derive(Debug, Default)]
struct MarkQueue {
    marks: Vec<CrashMark>,
    /// Number of marks added so far.
    added_count: u64,
}

/// Queue of new marks, from the requests that create them to the task that sends them.
#[derive(Debug)]
pub struct CrashPush {
    queue: Mutex<MarkQueue>,
    added: Notify,
    /// Number of marks that have been sent.
    sent_count: watch::Sender<u64>,
}

impl Default for CrashPush {
    fn default() -> Self {
        Self { queue: Mutex::default(), added: Notify::new(), sent_count: watch::Sender::new(0) }
    }
}

impl CrashPush {
    /// Queues marks. Returns a number to wait for with [`Self::wait_sent`].
    pub fn add(&self, marks: Vec<CrashMark>) -> u64 {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if !marks.is_empty() {
            queue.added_count += marks.len() as u64;
            queue.marks.extend(marks);
            self.added.notify_one();
        }
        queue.added_count
    }

    /// Waits until the first `count` marks have been sent to the peers, but not for long.
    pub async fn wait_sent(&self, count: u64) {
        let mut sent_count = self.sent_count.subscribe();
        // Marks that some peer has not confirmed in time reach it by the next exchange.
        let _ = actix_rt::time::timeout(PUSH_TIMEOUT, sent_count.wait_for(|sent| *sent >= count)).await;
    }

    /// Waits for marks and takes them, with the number to pass to [`Self::marks_sent`].
    pub async fn take(&self) -> (Vec<CrashMark>, u64) {
        loop {
            {
                let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
                if !queue.marks.is_empty() {
                    return (std::mem::take(&mut queue.marks), queue.added_count);
                }
            }
            self.added.notified().await;
        }
    }

    /// Records that the first `count` marks have been sent.
    pub fn marks_sent(&self, count: u64) {
        self.sent_count.send_replace(count);
    }
}

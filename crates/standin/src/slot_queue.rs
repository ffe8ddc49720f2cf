//! Priority queue for the slots of a continuous batch.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use tokio::sync::oneshot;

/// Free slots and waiters.
#[derive(Debug)]
struct SlotState {
    free_slots: usize,
    total_slots: usize,
    /// Sequence number of the last waiter.
    last_sequence: u64,
    /// Waiters by priority and sequence number.
    waiters: BTreeMap<(u32, u64), oneshot::Sender<()>>,
}

/// Assigns slots to waiters, lowest priority number first and in order of arrival within a priority.
#[derive(Debug)]
pub struct SlotQueue {
    state: Mutex<SlotState>,
}

impl SlotQueue {
    /// Creates a queue with `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            state: Mutex::new(SlotState {
                free_slots: slots,
                total_slots: slots,
                last_sequence: 0,
                waiters: BTreeMap::new(),
            }),
        }
    }

    /// Waits for a slot, which is released when the returned guard is dropped.
    pub async fn acquire(&self, priority: u32) -> SlotGuard<'_> {
        let waiter = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.free_slots > 0 {
                state.free_slots -= 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.last_sequence += 1;
                let position = (priority, state.last_sequence);
                state.waiters.insert(position, sender);
                Some(receiver)
            }
        };
        if let Some(receiver) = waiter {
            // Cannot fail: the sender stays in the queue until a slot is assigned through it.
            let _ = receiver.await;
        }
        SlotGuard { queue: self }
    }

    /// Number of slots in use and number of waiters.
    pub fn running_and_waiting(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.total_slots - state.free_slots, state.waiters.len())
    }

    /// Passes a slot to the first waiter that still waits, or marks it as free.
    fn release(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((_, sender)) = state.waiters.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.free_slots += 1;
    }
}

/// A slot in use. Dropping the guard releases the slot.
pub struct SlotGuard<'a> {
    queue: &'a SlotQueue,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.queue.release();
    }
}

//! Slots of a continuous batch, given by priority.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use tokio::sync::oneshot;

#[derive(Debug)]
struct SlotState {
    free: usize,
    slots: usize,
    turn: u64,
    waiting: BTreeMap<(u32, u64), oneshot::Sender<()>>,
}

/// Hands out slots, lowest priority number first and in order of arrival within one.
#[derive(Debug)]
pub struct SlotQueue {
    state: Mutex<SlotState>,
}

impl SlotQueue {
    /// Creates a queue for `slots` concurrent answers.
    pub fn new(slots: usize) -> Self {
        Self { state: Mutex::new(SlotState { free: slots, slots, turn: 0, waiting: BTreeMap::new() }) }
    }

    /// Waits for a slot, which is given back when the guard drops.
    pub async fn enter(&self, priority: u32) -> SlotGuard<'_> {
        let waiter = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.free > 0 {
                state.free -= 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.turn += 1;
                let place = (priority, state.turn);
                state.waiting.insert(place, sender);
                Some(receiver)
            }
        };
        if let Some(receiver) = waiter {
            // The sender lives in the queue until it is used.
            let _ = receiver.await;
        }
        SlotGuard { queue: self }
    }

    /// Answers running and waiting.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.slots - state.free, state.waiting.len())
    }

    fn leave(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((_, sender)) = state.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}

/// A slot in use.
pub struct SlotGuard<'a> {
    queue: &'a SlotQueue,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.queue.leave();
    }
}

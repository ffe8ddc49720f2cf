//! Weighted fair admission between organisations.

use crate::SharedName;
use std::collections::{BTreeMap, BTreeSet};

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// Orders waiting requests by virtual finish time, so that an organisation's backlog delays only itself.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_now: u64,
    tickets: u64,
    waiting: BTreeSet<(u64, QueueTicket)>,
    owners: BTreeMap<QueueTicket, (SharedName, u64)>,
    finish: BTreeMap<SharedName, u64>,
    depth: BTreeMap<SharedName, usize>,
    running: usize,
}

/// Scale of virtual time, so that small requests of heavy organisations still advance it.
const VIRTUAL_SCALE: u64 = 1_000;

impl FairQueue {
    /// Adds a request of `organisation` with `weight` that is expected to cost `tokens`.
    /// None when the organisation has `depth_max` requests waiting.
    pub fn enqueue(
        &mut self,
        organisation: &SharedName,
        weight: u64,
        tokens: u64,
        depth_max: usize,
    ) -> Option<QueueTicket> {
        let depth = self.depth.entry(organisation.clone()).or_default();
        if *depth >= depth_max {
            return None;
        }
        *depth += 1;
        self.tickets += 1;
        let ticket = QueueTicket(self.tickets);
        let last = self.finish.entry(organisation.clone()).or_default();
        let start = self.virtual_now.max(*last);
        *last = start + tokens.max(1) * VIRTUAL_SCALE / weight.max(1);
        self.waiting.insert((start, ticket));
        self.owners.insert(ticket, (organisation.clone(), start));
        Some(ticket)
    }

    /// Corrects an organisation's account once the true cost is known.
    pub fn adjust_cost(&mut self, organisation: &str, weight: u64, expected: u64, actual: u64) {
        let Some(finish) = self.finish.get_mut(organisation) else { return };
        let weight = weight.max(1);
        *finish = (*finish + actual * VIRTUAL_SCALE / weight).saturating_sub(expected * VIRTUAL_SCALE / weight);
    }

    /// Lets the next request run if fewer than `running_max` do.
    pub fn admit(&mut self, running_max: usize) -> Option<QueueTicket> {
        if self.running >= running_max {
            return None;
        }
        let (start, ticket) = self.waiting.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        self.forget(ticket);
        self.running += 1;
        Some(ticket)
    }

    /// A waiting request gave up.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        if let Some((_, start)) = self.owners.get(&ticket) {
            self.waiting.remove(&(*start, ticket));
            self.forget(ticket);
        }
    }

    /// An admitted request ended.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn forget(&mut self, ticket: QueueTicket) {
        let Some((organisation, _)) = self.owners.remove(&ticket) else { return };
        if let Some(depth) = self.depth.get_mut(&organisation) {
            *depth -= 1;
        }
    }
}

//! Weighted fair queueing of requests between organisations.

use crate::SharedName;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a queued request; numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// Start-time fair queue: orders waiting requests by their virtual start time, so that the backlog of an organisation
/// delays only its own requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Highest virtual start time among the admitted requests.
    virtual_now: u64,
    /// Number of the last ticket.
    last_ticket: u64,
    /// Waiting requests by virtual start time.
    waiting: BTreeSet<(u64, QueueTicket)>,
    /// Organisation and virtual start time of each waiting request.
    owners: BTreeMap<QueueTicket, (SharedName, u64)>,
    /// Virtual finish time of the last request of each organisation.
    finish_times: BTreeMap<SharedName, u64>,
    /// Number of waiting requests of each organisation.
    depths: BTreeMap<SharedName, usize>,
    /// Number of admitted requests that have not ended.
    running: usize,
}

/// Virtual time units per token at weight 1. The scale keeps the quotient above zero for small requests of
/// organisations with a high weight, so that they still advance virtual time.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1_000;

impl FairQueue {
    /// Adds a request of `organisation` with `weight` and an expected cost of `tokens`.
    /// Returns `None` if the organisation already has `depth_max` requests waiting.
    pub fn enqueue(
        &mut self,
        organisation: &SharedName,
        weight: u64,
        tokens: u64,
        depth_max: usize,
    ) -> Option<QueueTicket> {
        let depth = self.depths.entry(organisation.clone()).or_default();
        if *depth >= depth_max {
            return None;
        }
        *depth += 1;
        self.last_ticket += 1;
        let ticket = QueueTicket(self.last_ticket);
        let finish = self.finish_times.entry(organisation.clone()).or_default();
        let start = self.virtual_now.max(*finish);
        *finish = start + tokens.max(1) * VIRTUAL_UNITS_PER_TOKEN / weight.max(1);
        self.waiting.insert((start, ticket));
        self.owners.insert(ticket, (organisation.clone(), start));
        Some(ticket)
    }

    /// Corrects the organisation's virtual finish time once the actual cost of a request is known. Affects only
    /// requests that are enqueued afterwards.
    pub fn adjust_cost(&mut self, organisation: &str, weight: u64, expected_tokens: u64, actual_tokens: u64) {
        let Some(finish) = self.finish_times.get_mut(organisation) else { return };
        let weight = weight.max(1);
        *finish = (*finish + actual_tokens * VIRTUAL_UNITS_PER_TOKEN / weight)
            .saturating_sub(expected_tokens * VIRTUAL_UNITS_PER_TOKEN / weight);
    }

    /// Admits the next waiting request. Returns `None` if `running_max` requests are running or none is waiting.
    pub fn admit(&mut self, running_max: usize) -> Option<QueueTicket> {
        if self.running >= running_max {
            return None;
        }
        let (start, ticket) = self.waiting.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        self.remove_owner(ticket);
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting request. Its expected cost stays charged to the organisation until
    /// [`adjust_cost`](Self::adjust_cost) corrects it.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        if let Some((_, start)) = self.owners.get(&ticket) {
            self.waiting.remove(&(*start, ticket));
            self.remove_owner(ticket);
        }
    }

    /// Frees the slot of an admitted request that ended.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the owner of a request that no longer waits.
    fn remove_owner(&mut self, ticket: QueueTicket) {
        let Some((organisation, _)) = self.owners.remove(&ticket) else { return };
        if let Some(depth) = self.depths.get_mut(&organisation) {
            *depth -= 1;
        }
    }
}

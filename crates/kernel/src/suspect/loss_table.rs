//! Requests that got no complete response, kept until the list of upstreams shows whether their upstream has crashed.

use crate::{SamplerRecord, SamplerState, SharedName, TimePoint};

/// Time for which a loss is kept. An upstream that crashed is started again, and listed, within seconds.
const LOSS_TTL_MS: u64 = 15_000;
/// Largest difference between the clocks of two VMs that is tolerated.
const CLOCK_ERROR_MS: u64 = 1_000;
/// Maximum number of losses; the oldest are dropped.
const LOSSES_MAX: usize = 256;

/// A request that got no complete response from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLoss {
    /// Id of the request.
    pub request_id: SharedName,
    /// Fingerprint of the request, equal for all its repeats.
    pub fingerprint: u64,
    /// The upstream at the time when it was picked.
    pub upstream: SamplerRecord,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub sent_unix_ms: u64,
    /// When a process was last found listening at the upstream's address, in milliseconds since the Unix epoch; `None` if
    /// that is not known.
    pub running_unix_ms: Option<u64>,
}

impl RequestLoss {
    /// Whether `next` is the process that replaced the upstream after it had ended under the request. A process that was
    /// found running after the loss is the upstream's, unless `next` had started by then.
    fn is_replaced_by(&self, next: &SamplerRecord) -> bool {
        let upstream = &self.upstream;
        let is_successor = next.address == upstream.address || next.id == upstream.id;
        let started_by = self.running_unix_ms.unwrap_or(u64::MAX);
        is_successor
            && !next.is_same_process(upstream)
            && next.started_unix_ms.saturating_add(CLOCK_ERROR_MS) >= self.sent_unix_ms
            && next.started_unix_ms <= started_by.saturating_add(CLOCK_ERROR_MS)
    }
}

/// A kept loss.
#[derive(Debug)]
struct LossEntry {
    number: u64,
    loss: RequestLoss,
    forgotten_at: TimePoint,
}

/// Recent losses whose upstream may have crashed.
#[derive(Debug, Default)]
pub struct LossTable {
    /// Losses, the oldest first.
    entries: Vec<LossEntry>,
    /// Number of the next loss.
    next_number: u64,
}

impl LossTable {
    /// Adds a loss and returns its number.
    pub fn add(&mut self, loss: RequestLoss, now: TimePoint) -> u64 {
        self.remove_forgotten(now);
        if self.entries.len() >= LOSSES_MAX {
            self.entries.remove(0);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.entries.push(LossEntry { number, loss, forgotten_at: now.plus_ms(LOSS_TTL_MS) });
        number
    }

    /// Whether a loss may still turn out to be a crash.
    #[must_use]
    pub fn has_open(&self, now: TimePoint) -> bool {
        self.entries.iter().any(|entry| now < entry.forgotten_at)
    }

    /// Records that a process listens at the address of the upstream of the loss `number`.
    pub fn process_running(&mut self, number: u64, unix_ms: u64) {
        let entry = self.entries.iter_mut().find(|entry| entry.number == number);
        if let Some(entry) = entry {
            entry.loss.running_unix_ms = Some(unix_ms);
        }
    }

    /// Removes and returns the loss `number`; `None` if its upstream is known to have crashed or left, or it is forgotten.
    pub fn take(&mut self, number: u64) -> Option<RequestLoss> {
        self.take_all(|entry| entry.number == number).pop()
    }

    /// Handles a listed upstream. Returns the requests under which the process before it has crashed. Losses at an
    /// upstream that leaves are forgotten, as it ends by itself.
    pub fn upstream_listed(&mut self, record: &SamplerRecord, now: TimePoint) -> Vec<RequestLoss> {
        self.remove_forgotten(now);
        if record.state == SamplerState::Leaving {
            self.take_all(|entry| entry.loss.upstream.is_same_process(record));
        }
        self.take_all(|entry| entry.loss.is_replaced_by(record))
    }

    /// Handles the removal of the upstream `id` from the list. Returns the losses at it under which it may have crashed: no
    /// process was found at its address since.
    pub fn upstream_delisted(&mut self, id: &str, now: TimePoint) -> Vec<RequestLoss> {
        self.remove_forgotten(now);
        self.take_all(|entry| entry.loss.running_unix_ms.is_none() && *entry.loss.upstream.id == *id)
    }

    fn remove_forgotten(&mut self, now: TimePoint) {
        self.entries.retain(|entry| now < entry.forgotten_at);
    }

    fn take_all(&mut self, is_taken: impl Fn(&LossEntry) -> bool) -> Vec<RequestLoss> {
        self.entries.extract_if(.., |entry| is_taken(entry)).map(|entry| entry.loss).collect()
    }
}

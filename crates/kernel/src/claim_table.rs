//! Owner's side of idempotency claims: each key is granted at most once.

use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Result of operations that need the table's ownership.
pub type Result<T> = std::result::Result<T, NotShardOwner>;

/// The table's owner was replaced, or has not loaded the shard yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this daemon does not own the claim shard; ask its present owner")]
pub struct NotShardOwner;

/// Identifies a claim: organisation, service and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey(pub SharedName);

/// Answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer<A> {
    /// Waits for the next group commit.
    Queued,
    /// This very grant is on record already; its first answer was lost.
    Granted,
    /// Another attempt holds the claim and may still be running.
    InProgress,
    /// The request ran; this is its answer.
    Replay(A),
    /// The request may have run and nobody knows how it ended.
    Unknown,
    /// The key was used with a different request.
    Reused,
}

#[derive(Clone, Debug)]
enum ClaimState<A> {
    Queued { grant: u64, deadline: TimePoint },
    Running { grant: u64, deadline: TimePoint },
    Done(A),
    Unknown,
}

#[derive(Clone, Debug)]
struct ClaimEntry<A> {
    fingerprint: u64,
    state: ClaimState<A>,
}

/// Claims of one shard while this daemon owns it.
///
/// A claim is granted only after its batch was committed to the platform's service under a comparison
/// with the shard's owner record, so that a replaced owner cannot grant.
#[derive(Debug)]
pub struct ClaimTable<A> {
    epoch: Option<u64>,
    entries: HashMap<ClaimKey, ClaimEntry<A>>,
    queue: Vec<(ClaimKey, u64)>,
}

impl<A> Default for ClaimTable<A> {
    fn default() -> Self {
        Self { epoch: None, entries: HashMap::new(), queue: Vec::new() }
    }
}

impl<A: Clone> ClaimTable<A> {
    /// Takes over the shard at owner revision `epoch`; every recorded claim may have run.
    pub fn load(&mut self, epoch: u64, recorded: impl IntoIterator<Item = (ClaimKey, u64)>) {
        self.epoch = Some(epoch);
        self.queue.clear();
        self.entries = recorded
            .into_iter()
            .map(|(key, fingerprint)| (key, ClaimEntry { fingerprint, state: ClaimState::Unknown }))
            .collect();
    }

    /// Revision of the owner record that this daemon wrote, while it owns the shard.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Gives the shard up. Nothing is granted until the next [`load`](Self::load).
    pub fn drop_ownership(&mut self) {
        self.epoch = None;
        self.entries.clear();
        self.queue.clear();
    }

    /// Asks for the claim of `key` under the asker's own number `grant`, which is unique to the attempt
    /// and may be asked again when the answer was lost. The request must have ended by `deadline`.
    pub fn claim(
        &mut self,
        key: &ClaimKey,
        grant: u64,
        fingerprint: u64,
        deadline: TimePoint,
        now: TimePoint,
    ) -> Result<ClaimAnswer<A>> {
        if self.epoch.is_none() {
            return Err(NotShardOwner);
        }
        let Some(entry) = self.entries.get_mut(key) else {
            self.enqueue(key, grant, fingerprint, deadline);
            return Ok(ClaimAnswer::Queued);
        };
        if entry.fingerprint != fingerprint {
            return Ok(ClaimAnswer::Reused);
        }
        Ok(match &entry.state {
            ClaimState::Queued { grant: same, .. } if *same == grant => ClaimAnswer::Queued,
            ClaimState::Running { grant: same, .. } if *same == grant => ClaimAnswer::Granted,
            ClaimState::Queued { .. } => ClaimAnswer::InProgress,
            ClaimState::Running { deadline, .. } if *deadline > now => ClaimAnswer::InProgress,
            ClaimState::Done(answer) => ClaimAnswer::Replay(answer.clone()),
            ClaimState::Running { .. } | ClaimState::Unknown => ClaimAnswer::Unknown,
        })
    }

    /// Queued claims to commit together, with their grant numbers.
    pub fn take_batch(&mut self) -> Vec<(ClaimKey, u64, u64)> {
        let queue = std::mem::take(&mut self.queue);
        queue
            .into_iter()
            .filter_map(|(key, grant)| {
                let fingerprint = self.entries.get(&key)?.fingerprint;
                Some((key, grant, fingerprint))
            })
            .collect()
    }

    /// The batch is on record: the claim of `key` is granted. False when it is no longer wanted.
    pub fn claim_committed(&mut self, key: &ClaimKey, grant: u64) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        match entry.state {
            ClaimState::Queued { grant: queued, deadline } if queued == grant => {
                entry.state = ClaimState::Running { grant, deadline };
                true
            }
            _ => false,
        }
    }

    /// The batch could not be recorded for certain. Nothing was granted, so the key is free here.
    pub fn commit_failed(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) == Some(grant) {
            self.entries.remove(key);
        }
    }

    /// The request of this grant ran and ended with `answer`.
    pub fn finish(&mut self, key: &ClaimKey, grant: u64, answer: A) {
        if self.grant_of(key) != Some(grant) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = ClaimState::Done(answer);
        }
    }

    /// The request of this grant may have run, and its answer is lost.
    pub fn mark_unknown(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) != Some(grant) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = ClaimState::Unknown;
        }
    }

    /// The request of this grant certainly did not run: the key is free again.
    pub fn release(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) == Some(grant) {
            self.entries.remove(key);
        }
    }

    /// Number of remembered claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn enqueue(&mut self, key: &ClaimKey, grant: u64, fingerprint: u64, deadline: TimePoint) {
        let state = ClaimState::Queued { grant, deadline };
        self.entries.insert(key.clone(), ClaimEntry { fingerprint, state });
        self.queue.push((key.clone(), grant));
    }

    fn grant_of(&self, key: &ClaimKey) -> Option<u64> {
        match self.entries.get(key)?.state {
            ClaimState::Queued { grant, .. } | ClaimState::Running { grant, .. } => Some(grant),
            ClaimState::Done(_) | ClaimState::Unknown => None,
        }
    }
}

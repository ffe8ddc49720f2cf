//! Grants idempotency claims on the daemon that owns their shard: at most one attempt runs for each key.

use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Result of operations that fail on a daemon that does not own the shard.
pub type Result<T> = std::result::Result<T, NotShardOwner>;

/// This daemon does not own the claim shard: another daemon replaced it, or the shard has not been loaded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this daemon does not own the claim shard; send the claim to the shard's current owner")]
pub struct NotShardOwner;

/// Key of a claim: organisation, service and the caller's idempotency key in one string.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey(pub SharedName);

/// Answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer<A> {
    /// The claim is queued for the next group commit.
    Queued,
    /// This attempt's claim was granted before, and the answer was lost.
    Granted,
    /// Another attempt holds the claim, and its request may still be running.
    InProgress,
    /// The request has run and returned this answer.
    Replay(A),
    /// The request may have run, and its outcome is lost.
    Unknown,
    /// The key was used before for a different request.
    Reused,
}

/// Progress of a claim.
#[derive(Clone, Debug)]
enum ClaimState<A> {
    /// Waits for the group commit.
    Queued { grant: u64, deadline: TimePoint },
    /// Granted; the request may be running until `deadline`.
    Running { grant: u64, deadline: TimePoint },
    /// The request has returned this answer.
    Done(A),
    /// The request may have run, and its outcome is lost.
    Unknown,
}

/// A claim with the request that it was made for.
#[derive(Clone, Debug)]
struct ClaimEntry<A> {
    /// Fingerprint of the caller's request.
    fingerprint: u64,
    state: ClaimState<A>,
}

/// The claims of one shard, on the daemon that owns it. `A` is the type of the answers of claimed requests.
///
/// A claim is granted only after its batch was committed to the platform's key-value service. The commit compares the
/// revision of the shard's owner record, so that a replaced owner cannot grant claims.
#[derive(Debug)]
pub struct ClaimTable<A> {
    /// Revision of this daemon's owner record; `None` while it does not own the shard.
    epoch: Option<u64>,
    entries: HashMap<ClaimKey, ClaimEntry<A>>,
    /// Keys and grant numbers of the claims to commit next.
    queue: Vec<(ClaimKey, u64)>,
}

impl<A> Default for ClaimTable<A> {
    fn default() -> Self {
        Self { epoch: None, entries: HashMap::new(), queue: Vec::new() }
    }
}

impl<A: Clone> ClaimTable<A> {
    /// Takes over the shard at the owner record revision `epoch`. `stored` holds the keys of the stored claims and the
    /// fingerprints of their requests; each of these requests may have run.
    pub fn load(&mut self, epoch: u64, stored: impl IntoIterator<Item = (ClaimKey, u64)>) {
        self.epoch = Some(epoch);
        self.queue.clear();
        self.entries = stored
            .into_iter()
            .map(|(key, fingerprint)| (key, ClaimEntry { fingerprint, state: ClaimState::Unknown }))
            .collect();
    }

    /// Revision of the owner record that this daemon wrote; `None` while it does not own the shard.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Drops the ownership of the shard. Nothing is granted until the next [`load`](Self::load).
    pub fn drop_ownership(&mut self) {
        self.epoch = None;
        self.entries.clear();
        self.queue.clear();
    }

    /// Requests the claim of `key` for the attempt with the unique number `grant`. The attempt may repeat the call if
    /// the answer was lost. `fingerprint` identifies the caller's request, which must have ended by `deadline`.
    ///
    /// Returns an error if this daemon does not own the shard.
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
            ClaimState::Queued { grant: held, .. } if *held == grant => ClaimAnswer::Queued,
            ClaimState::Running { grant: held, .. } if *held == grant => ClaimAnswer::Granted,
            ClaimState::Queued { .. } => ClaimAnswer::InProgress,
            ClaimState::Running { deadline, .. } if *deadline > now => ClaimAnswer::InProgress,
            ClaimState::Done(answer) => ClaimAnswer::Replay(answer.clone()),
            ClaimState::Running { .. } | ClaimState::Unknown => ClaimAnswer::Unknown,
        })
    }

    /// Empties the queue and returns the claims to commit together: key, grant number and request fingerprint.
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

    /// Records that the batch was stored, and grants the claim of `key`. Returns false if `grant` is not queued any
    /// more.
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

    /// Removes the claim of `grant`, because the commit of its batch failed or has an unknown outcome. The claim was
    /// not granted, so this daemon may grant the key to a later attempt.
    pub fn commit_failed(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) == Some(grant) {
            self.entries.remove(key);
        }
    }

    /// Records that the request of `grant` has run and returned `answer`.
    pub fn finish(&mut self, key: &ClaimKey, grant: u64, answer: A) {
        if self.grant_of(key) != Some(grant) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = ClaimState::Done(answer);
        }
    }

    /// Records that the request of `grant` may have run and that its answer is lost.
    pub fn mark_unknown(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) != Some(grant) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = ClaimState::Unknown;
        }
    }

    /// Removes the claim of `grant`, whose request certainly did not run. The key may be claimed again.
    pub fn release(&mut self, key: &ClaimKey, grant: u64) {
        if self.grant_of(key) == Some(grant) {
            self.entries.remove(key);
        }
    }

    /// Number of claims in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a claim that is to be committed with the next batch.
    fn enqueue(&mut self, key: &ClaimKey, grant: u64, fingerprint: u64, deadline: TimePoint) {
        let state = ClaimState::Queued { grant, deadline };
        self.entries.insert(key.clone(), ClaimEntry { fingerprint, state });
        self.queue.push((key.clone(), grant));
    }

    /// Grant number of the claim of `key`; `None` unless it is queued or running.
    fn grant_of(&self, key: &ClaimKey) -> Option<u64> {
        match self.entries.get(key)?.state {
            ClaimState::Queued { grant, .. } | ClaimState::Running { grant, .. } => Some(grant),
            ClaimState::Done(_) | ClaimState::Unknown => None,
        }
    }
}

//! Selects the path of calls to a shared service: direct, relayed through a peer that still reaches it, or no call
//! while backing off.

use super::ServicePath;
use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// Backoff of the direct path after its first failure; doubles with each further one.
const DIRECT_BACKOFF_MS: u64 = 500;
/// Longest backoff of the direct path while a peer reaches the service; well below the time after which the platform
/// expects of a VM that has its path back what it expects of the others.
const DIRECT_BACKOFF_MAX_MS: u64 = 2_000;
/// First backoff of the direct path while no peer reaches the service either; doubles with each further failure.
const UNREACHABLE_BACKOFF_MS: u64 = 250;
/// Longest such backoff. It bounds how long after its return the service is found reachable again.
const UNREACHABLE_BACKOFF_MAX_MS: u64 = 1_000;
/// The same for a daemon with work whose results wait for the service. Few daemons have such work, so that their calls
/// do not load a service that is about to return.
const URGENT_BACKOFF_MAX_MS: u64 = 250;
/// Longest time for which other calls avoid the direct path while one call probes it.
const PROBE_MS: u64 = 1_000;
/// Time for which a peer that failed to reach the service is not used.
const PEER_BACKOFF_MS: u64 = 2_000;
/// Peers that are tried one after the other before the service counts as unreachable.
const PEERS_MAX: u32 = 2;
/// Backoffs are shortened by up to one part in this many, depending on the daemon's seed, so that daemons don't retry
/// at the same time.
const JITTER_DIVISOR: u64 = 4;

/// Selects a path for each call, from the outcomes of earlier calls.
#[derive(Debug, Default)]
pub struct PathSelector {
    /// Number that varies the backoffs between daemons.
    seed: u64,
    /// Whether work of this daemon waits for the service.
    is_urgent: bool,
    /// Consecutive failures of the direct path; calls that were in flight together count as one.
    direct_failures: u32,
    /// When a call on the direct path succeeded last.
    direct_succeeded_at: Option<TimePoint>,
    /// When the direct path is probed although a peer reaches the service.
    direct_retry_at: TimePoint,
    /// When the direct path is probed if no peer reaches the service.
    unreachable_retry_at: TimePoint,
    /// Whether a probe of the direct path is in flight.
    is_probing: bool,
    /// Relayed calls that failed in a row.
    peer_failures: u32,
    /// When peers are tried again after [`PEERS_MAX`] failed in a row.
    peers_retry_at: TimePoint,
    /// Peers that failed, with the end of their backoff.
    failed_peers: BTreeMap<SharedName, TimePoint>,
}

impl PathSelector {
    /// Creates the selector of one daemon. `seed` varies the backoffs between daemons.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Records whether work of this daemon waits for the service, which is then probed more often.
    pub fn set_urgent(&mut self, is_urgent: bool) {
        self.is_urgent = is_urgent;
    }

    /// Whether no call on the direct path has failed since its last success.
    #[must_use]
    pub fn is_direct_available(&self) -> bool {
        self.direct_failures == 0
    }

    /// Selects the path of the next call. `None` means that the service is unreachable and calls back off. `peers`
    /// returns the peers that may relay, in the order of preference.
    pub fn next_path(&mut self, now: TimePoint, peers: impl FnOnce() -> Vec<SharedName>) -> Option<ServicePath> {
        if self.direct_failures == 0 {
            return Some(ServicePath::Direct);
        }
        let relay = if now < self.peers_retry_at {
            None
        } else {
            peers().into_iter().find(|peer| self.failed_peers.get(peer).is_none_or(|until| *until <= now))
        };
        if now >= self.direct_retry_at || (relay.is_none() && now >= self.unreachable_retry_at) {
            self.is_probing = true;
            self.direct_retry_at = now.plus_ms(PROBE_MS);
            self.unreachable_retry_at = now.plus_ms(PROBE_MS);
            return Some(ServicePath::Direct);
        }
        relay.map(ServicePath::Relay)
    }

    /// Records a call that reached the service. Returns true if the direct path is available again.
    pub fn call_succeeded(&mut self, path: &ServicePath, now: TimePoint) -> bool {
        self.peer_failures = 0;
        if *path != ServicePath::Direct {
            return false;
        }
        let is_reconnected = self.direct_failures > 0;
        *self = Self { direct_succeeded_at: Some(now), is_urgent: self.is_urgent, ..Self::new(self.seed) };
        is_reconnected
    }

    /// Records a call, started at `started_at`, that did not reach the service. Returns true if the direct path was
    /// available before.
    pub fn call_failed(&mut self, path: &ServicePath, started_at: TimePoint, now: TimePoint) -> bool {
        match path {
            // Another call on the direct path has succeeded since this one started, so only this call was lost.
            ServicePath::Direct if self.direct_succeeded_at.is_some_and(|at| at > started_at) => false,
            ServicePath::Direct => self.direct_failed(now),
            ServicePath::Relay(peer) => {
                self.failed_peers.insert(peer.clone(), now.plus_ms(PEER_BACKOFF_MS));
                self.peer_failures += 1;
                if self.peer_failures >= PEERS_MAX {
                    self.peer_failures = 0;
                    self.peers_retry_at = now.plus_ms(self.unreachable_backoff_ms());
                }
                false
            }
        }
    }

    /// Starts the backoff of the direct path. Returns true if the path was available before.
    fn direct_failed(&mut self, now: TimePoint) -> bool {
        // Calls that were in flight together count as one failure.
        if self.direct_failures > 0 && !self.is_probing {
            return false;
        }
        self.is_probing = false;
        self.direct_failures += 1;
        self.direct_retry_at = now.plus_ms(self.backoff_ms(DIRECT_BACKOFF_MS, DIRECT_BACKOFF_MAX_MS));
        self.unreachable_retry_at = now.plus_ms(self.unreachable_backoff_ms());
        self.direct_failures == 1
    }

    fn unreachable_backoff_ms(&self) -> u64 {
        let max_ms = if self.is_urgent { URGENT_BACKOFF_MAX_MS } else { UNREACHABLE_BACKOFF_MAX_MS };
        self.backoff_ms(UNREACHABLE_BACKOFF_MS, max_ms)
    }

    /// `first_ms`, doubled for each failure after the first up to `max_ms`, and shortened by the jitter of the seed.
    fn backoff_ms(&self, first_ms: u64, max_ms: u64) -> u64 {
        let doublings = self.direct_failures.saturating_sub(1).min(8);
        let backoff_ms = (first_ms << doublings).min(max_ms);
        backoff_ms - backoff_ms / JITTER_DIVISOR * (self.seed % 100) / 100
    }
}

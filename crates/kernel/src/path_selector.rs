//! Which way calls to a shared service take: straight, through a peer that still reaches it, or none for a while.

use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// Pause of the straight way after its first failure, in milliseconds; doubles with each further one.
const DIRECT_PAUSE_MS: u64 = 500;
/// Longest pause of the straight way while a peer reaches the service, in milliseconds.
const DIRECT_PAUSE_MS_MAX: u64 = 4_000;
/// Pause after which the straight way is tried where no peer reaches the service either, in milliseconds; doubles.
const AWAY_PAUSE_MS: u64 = 250;
/// Longest such pause, in milliseconds: how much later than its return a daemon may find the service back.
const AWAY_PAUSE_MS_MAX: u64 = 1_000;
/// While one call tries the straight way again, the others do not, for this long in milliseconds at most.
const PROBE_MS: u64 = 1_000;
/// A peer that did not reach the service is left out for this long, in milliseconds.
const PEER_PAUSE_MS: u64 = 2_000;
/// Peers that are asked one after the other before the service counts as away.
const PEERS_MAX: u32 = 2;
/// Pauses of different daemons differ by up to one part in this many, so that they do not call in step.
const SPREAD_PARTS: u64 = 4;

/// A way to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServicePath {
    /// Straight.
    Direct,
    /// Through the peer with this name.
    Relay(SharedName),
}

impl std::fmt::Display for ServicePath {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Direct => formatter.write_str("direct"),
            Self::Relay(peer) => write!(formatter, "through:{peer}"),
        }
    }
}

/// Remembers which ways failed.
#[derive(Debug, Default)]
pub struct PathSelector {
    seed: u64,
    direct_failures: u32,
    direct_worked_at: Option<TimePoint>,
    direct_after: TimePoint,
    away_after: TimePoint,
    is_probing: bool,
    peer_failures: u32,
    peers_after: TimePoint,
    resting_peers: BTreeMap<SharedName, TimePoint>,
}

impl PathSelector {
    /// Creates the choice of one daemon; `seed` spreads the pauses of different ones.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Whether the straight way works as far as known.
    #[must_use]
    pub fn is_direct_available(&self) -> bool {
        self.direct_failures == 0
    }

    /// The way of the next call, or none if the service is away and not to be asked yet. `peers` are those that may
    /// relay, in the order of preference.
    pub fn next_path(&mut self, now: TimePoint, peers: impl FnOnce() -> Vec<SharedName>) -> Option<ServicePath> {
        if self.direct_failures == 0 {
            return Some(ServicePath::Direct);
        }
        let relay = if now < self.peers_after {
            None
        } else {
            peers().into_iter().find(|peer| self.resting_peers.get(peer).is_none_or(|until| *until <= now))
        };
        if now >= self.direct_after || (relay.is_none() && now >= self.away_after) {
            self.is_probing = true;
            self.direct_after = now.plus_ms(PROBE_MS);
            self.away_after = now.plus_ms(PROBE_MS);
            return Some(ServicePath::Direct);
        }
        relay.map(ServicePath::Relay)
    }

    /// A call went through. True if the straight way works again.
    pub fn call_succeeded(&mut self, path: &ServicePath, now: TimePoint) -> bool {
        self.peer_failures = 0;
        if *path != ServicePath::Direct {
            return false;
        }
        let regained = self.direct_failures > 0;
        *self = Self { direct_worked_at: Some(now), ..Self::new(self.seed) };
        regained
    }

    /// A call that began at `began` did not get through. True if the straight way worked before.
    pub fn call_failed(&mut self, path: &ServicePath, began: TimePoint, now: TimePoint) -> bool {
        match path {
            // An answer that came since proves the way: only this call's was lost.
            ServicePath::Direct if self.direct_worked_at.is_some_and(|worked_at| worked_at > began) => false,
            ServicePath::Direct => self.direct_failed(now),
            ServicePath::Relay(peer) => {
                self.resting_peers.insert(peer.clone(), now.plus_ms(PEER_PAUSE_MS));
                self.peer_failures += 1;
                if self.peer_failures >= PEERS_MAX {
                    self.peer_failures = 0;
                    self.peers_after = now.plus_ms(self.away_pause_ms());
                }
                false
            }
        }
    }

    fn direct_failed(&mut self, now: TimePoint) -> bool {
        // Calls that were on their way together count once.
        if self.direct_failures > 0 && !self.is_probing {
            return false;
        }
        self.is_probing = false;
        self.direct_failures += 1;
        self.direct_after = now.plus_ms(self.pause_ms(DIRECT_PAUSE_MS, DIRECT_PAUSE_MS_MAX));
        self.away_after = now.plus_ms(self.away_pause_ms());
        self.direct_failures == 1
    }

    fn away_pause_ms(&self) -> u64 {
        self.pause_ms(AWAY_PAUSE_MS, AWAY_PAUSE_MS_MAX)
    }

    fn pause_ms(&self, first_ms: u64, most_ms: u64) -> u64 {
        let doublings = self.direct_failures.saturating_sub(1).min(8);
        let pause_ms = (first_ms << doublings).min(most_ms);
        pause_ms - pause_ms / SPREAD_PARTS * (self.seed % 100) / 100
    }
}

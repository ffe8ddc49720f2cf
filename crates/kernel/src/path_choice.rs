//! Which way calls to a shared service take: straight, or through a peer that still reaches it.

use crate::{SharedName, TimePoint};

/// After a failure the straight way is not tried for this long, in milliseconds; doubles with each further one.
const DIRECT_PAUSE_MS: u64 = 1_500;
/// Longest pause of the straight way, in milliseconds.
const DIRECT_PAUSE_MS_MAX: u64 = 6_000;
/// While one call tries the straight way again, the others wait this long for its outcome, in milliseconds.
const PROBE_MS: u64 = 1_000;
/// After all peers failed none is asked for this long, in milliseconds: the service itself is away.
const RELAY_PAUSE_MS: u64 = 1_000;
/// Peers that are asked one after the other before the service counts as away.
const RELAYS_MAX: usize = 2;

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
pub struct PathChoice {
    direct_failures: u32,
    direct_after: TimePoint,
    relays_after: TimePoint,
    failed_relays: Vec<SharedName>,
}

impl PathChoice {
    /// The way of the next call. `peers` are the peers that may relay, in the order of preference.
    pub fn next(&mut self, peers: &[SharedName], now: TimePoint) -> ServicePath {
        if self.direct_failures == 0 || now < self.relays_after {
            return ServicePath::Direct;
        }
        if now >= self.direct_after {
            self.direct_after = now.plus_ms(PROBE_MS);
            return ServicePath::Direct;
        }
        let relay = peers.iter().find(|peer| !self.failed_relays.contains(peer));
        relay.map_or(ServicePath::Direct, |peer| ServicePath::Relay(peer.clone()))
    }

    /// A call went through. True if the straight way works again.
    pub fn worked(&mut self, path: &ServicePath) -> bool {
        self.failed_relays.clear();
        *path == ServicePath::Direct && std::mem::take(&mut self.direct_failures) > 0
    }

    /// A call did not get through. True if the straight way worked before.
    pub fn failed(&mut self, path: &ServicePath, now: TimePoint) -> bool {
        match path {
            ServicePath::Direct => {
                let pause_ms = (DIRECT_PAUSE_MS << self.direct_failures.min(8)).min(DIRECT_PAUSE_MS_MAX);
                // Calls that were on their way together count once.
                if now.plus_ms(DIRECT_PAUSE_MS) <= self.direct_after {
                    return false;
                }
                self.direct_after = now.plus_ms(pause_ms);
                self.direct_failures += 1;
                self.direct_failures == 1
            }
            ServicePath::Relay(peer) => {
                if !self.failed_relays.contains(peer) {
                    self.failed_relays.push(peer.clone());
                }
                if self.failed_relays.len() >= RELAYS_MAX {
                    self.failed_relays.clear();
                    self.relays_after = now.plus_ms(RELAY_PAUSE_MS);
                }
                false
            }
        }
    }
}

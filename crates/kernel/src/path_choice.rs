//! Which way calls to a shared service take: straight, or through a peer that still reaches it.

use crate::{SharedName, TimePoint};

/// After a failure the straight way is not tried for this long, in milliseconds.
const DIRECT_PAUSE_MS: u64 = 1_500;
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
    direct_after: TimePoint,
    relays_after: TimePoint,
    failed_relays: Vec<SharedName>,
}

impl PathChoice {
    /// The way of the next call. `peers` are the peers that may relay, in the order of preference.
    #[must_use]
    pub fn next(&self, peers: &[SharedName], now: TimePoint) -> ServicePath {
        if now >= self.direct_after || now < self.relays_after {
            return ServicePath::Direct;
        }
        let relay = peers.iter().find(|peer| !self.failed_relays.contains(peer));
        relay.map_or(ServicePath::Direct, |peer| ServicePath::Relay(peer.clone()))
    }

    /// A call went through.
    pub fn worked(&mut self, path: &ServicePath) {
        self.failed_relays.clear();
        if *path == ServicePath::Direct {
            self.direct_after = TimePoint(0);
        }
    }

    /// A call did not get through.
    pub fn failed(&mut self, path: &ServicePath, now: TimePoint) {
        match path {
            ServicePath::Direct => self.direct_after = now.plus_ms(DIRECT_PAUSE_MS),
            ServicePath::Relay(peer) => {
                self.failed_relays.push(peer.clone());
                if self.failed_relays.len() >= RELAYS_MAX {
                    self.failed_relays.clear();
                    self.relays_after = now.plus_ms(RELAY_PAUSE_MS);
                }
            }
        }
    }
}

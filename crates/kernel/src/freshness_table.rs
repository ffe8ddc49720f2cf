//! Tracks how old a daemon's cached configuration may be.

use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Largest age at which the cached configuration may be used. It bounds the time until an accepted change is in effect
/// on every daemon.
const MAX_AGE_MS: u64 = 3_000;

/// The latest time up to which this daemon has received every accepted change of the configuration.
///
/// Every input carries the time at which its request was *sent*, so that a late answer never makes the configuration
/// look fresher than it is.
#[derive(Debug, Default)]
pub struct FreshnessTable {
    /// Time before which every accepted change has been received; `None` before a complete configuration has been
    /// received.
    complete_at: Option<TimePoint>,
    /// When the last answered request to each peer was sent.
    answered_requests: HashMap<SharedName, TimePoint>,
}

impl FreshnessTable {
    /// Records a read of the platform's key-value service, requested at `requested_at`, whose entries were all applied.
    pub fn service_read(&mut self, requested_at: TimePoint) {
        self.raise(requested_at);
    }

    /// Records that a peer answered a request sent at `requested_at` with all entries that it holds. `age_ms` is the
    /// age of the peer's own configuration, if it has one.
    pub fn peer_answered(&mut self, peer: &SharedName, requested_at: TimePoint, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms {
            self.raise(requested_at.minus_ms(age_ms));
        }
        let last_request = self.answered_requests.entry(peer.clone()).or_insert(requested_at);
        *last_request = (*last_request).max(requested_at);
    }

    /// Raises the freshness to the oldest of the last answered requests to `peers`, which must be all daemons that may
    /// be alive. Changes are only accepted by daemons, so a daemon with answers from all others holds every change that
    /// one of them accepted before the request to it was sent. Does nothing if a peer has not answered yet.
    pub fn update_from_peers<'a>(&mut self, peers: impl IntoIterator<Item = &'a SharedName>, now: TimePoint) {
        let mut oldest = now;
        for peer in peers {
            let Some(&last_request) = self.answered_requests.get(peer) else { return };
            oldest = oldest.min(last_request);
        }
        self.raise(oldest);
    }

    /// Age of the cached configuration in milliseconds; `None` before a complete one has been received.
    #[must_use]
    pub fn age_ms(&self, now: TimePoint) -> Option<u64> {
        self.complete_at.map(|complete_at| now.since_ms(complete_at))
    }

    /// Whether the cached configuration, and with it the keys, may be used at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= MAX_AGE_MS)
    }

    /// Records that all changes accepted before `complete_at` have been received.
    fn raise(&mut self, complete_at: TimePoint) {
        self.complete_at = Some(self.complete_at.map_or(complete_at, |old| old.max(complete_at)));
    }
}

//! Up to which moment a daemon knows every accepted change of configuration.

use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Bound within which an accepted change is in force everywhere.
const FRESH_BOUND_MS: u64 = 3_000;

/// Tracks the latest moment before which no accepted change can be missing.
///
/// Every input carries the moment at which the question was *asked*, so a late answer never makes the
/// daemon look fresher than it is.
#[derive(Debug, Default)]
pub struct FreshnessTable {
    known_at: Option<TimePoint>,
    heard: HashMap<SharedName, TimePoint>,
}

impl FreshnessTable {
    /// The platform's service was read at `asked_at` and everything found was applied.
    pub fn service_read(&mut self, asked_at: TimePoint) {
        self.raise(asked_at);
    }

    /// A peer asked at `asked_at` gave all that it holds; `age_ms` is how old its own knowledge was.
    pub fn peer_answered(&mut self, peer: &SharedName, asked_at: TimePoint, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms {
            self.raise(asked_at.minus_ms(age_ms));
        }
        let heard = self.heard.entry(peer.clone()).or_insert(asked_at);
        *heard = (*heard).max(asked_at);
    }

    /// Applies the rule that changes are only accepted by daemons: whoever has heard every other
    /// daemon holds all that any of them accepted before being asked. `peers` are all that may be alive.
    pub fn update_from_peers<'a>(&mut self, peers: impl IntoIterator<Item = &'a SharedName>, now: TimePoint) {
        let mut oldest = now;
        for peer in peers {
            let Some(&heard) = self.heard.get(peer) else { return };
            oldest = oldest.min(heard);
        }
        self.raise(oldest);
    }

    /// Age of this daemon's knowledge, if it has any.
    #[must_use]
    pub fn age_ms(&self, now: TimePoint) -> Option<u64> {
        self.known_at.map(|known| now.since_ms(known))
    }

    /// Whether keys may be trusted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.age_ms(now).is_some_and(|age| age <= FRESH_BOUND_MS)
    }

    fn raise(&mut self, known_at: TimePoint) {
        self.known_at = Some(self.known_at.map_or(known_at, |old| old.max(known_at)));
    }
}

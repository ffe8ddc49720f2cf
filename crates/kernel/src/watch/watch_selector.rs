//! Selects the source of the next request for changes, so that knowledge never gets older than a bound while the store
//! is reachable.

use super::WatchTiming;
use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// Time allowed for the response of a peer beyond the wait that was requested from it.
const PEER_SLACK_MS: u64 = 400;
/// Time allowed for the response of the store beyond the wait that was requested from it. The store responds within
/// milliseconds, or within some hundred milliseconds when it is slow.
const STORE_SLACK_MS: u64 = 500;
/// Back-off after a peer was unresponsive; no changes are requested from it meanwhile.
const UNRESPONSIVE_BACKOFF_MS: u64 = 3_000;
/// Back-off after a peer's knowledge was outdated or incomplete. Short, so that after an outage of the store daemons
/// soon follow their watchers again.
const OUTDATED_BACKOFF_MS: u64 = 600;
/// Time between two requests to the store while it is unreachable.
const STORE_RETRY_MS: u64 = 300;
/// A request to a peer that would have less time than this is not made; the store is used instead.
const PEER_CALL_MS_MIN: u64 = 40;

/// A daemon from which changes can be requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSource {
    /// Name of the daemon.
    pub daemon: SharedName,
    /// Address of the daemon's control listener.
    pub control_address: SharedName,
    /// Whether the daemon watches the store for its region, not only for its failure domain.
    pub watches_region: bool,
}

/// Where changes are requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchTarget {
    /// Another daemon.
    Peer(WatchSource),
    /// The store.
    Store,
}

/// A request for changes that should be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// Where to send the request.
    pub target: WatchTarget,
    /// Longest wait for the first change, in milliseconds.
    pub wait_ms: u64,
    /// When the request is abandoned.
    pub give_up_at: TimePoint,
}

/// Selects the source of the changes of one prefix, and tracks as of when this daemon's knowledge is complete.
#[derive(Debug)]
pub struct WatchSelector {
    timing: WatchTiming,
    /// All changes written before this time are known.
    current_as_of: TimePoint,
    /// Peers from which no changes are requested for a while, with the end of that time.
    backoff_until: BTreeMap<SharedName, TimePoint>,
    /// When the store may be called again after it was unreachable.
    store_retry_at: TimePoint,
}

impl WatchSelector {
    /// Creates a selector for a daemon that knows all changes written before `current_as_of`.
    #[must_use]
    pub fn new(timing: WatchTiming, current_as_of: TimePoint) -> Self {
        Self { timing, current_as_of, backoff_until: BTreeMap::new(), store_retry_at: TimePoint(0) }
    }

    /// All changes written before this time are known.
    #[must_use]
    pub fn current_as_of(&self) -> TimePoint {
        self.current_as_of
    }

    /// The next request. `sources` are the daemons that may be asked, nearest first. `None` while the store is
    /// unreachable and no source can be asked.
    #[must_use]
    pub fn next_call(&self, sources: &[WatchSource], now: TimePoint) -> Option<WatchCall> {
        let may_call_store = now >= self.store_retry_at;
        let available =
            |source: &&WatchSource| self.backoff_until.get(&source.daemon).is_none_or(|until| *until <= now);
        let Some(source) = sources.iter().find(available) else {
            let is_watcher = sources.is_empty();
            let wait_ms = if is_watcher { self.timing.store_wait_ms() } else { self.timing.fallback_wait_ms() };
            return may_call_store.then(|| self.store_call(wait_ms, now));
        };
        let refresh_at = self.current_as_of.plus_ms(self.timing.refresh_age_ms());
        let mut wait_ms = self.timing.peer_wait_ms(source.watches_region);
        let mut give_up_at = now.plus_ms(wait_ms + PEER_SLACK_MS);
        if may_call_store {
            let left_ms = refresh_at.since_ms(now);
            if left_ms < PEER_CALL_MS_MIN {
                // The source does not prove in time that its knowledge is current.
                return Some(self.store_call(0, now));
            }
            wait_ms = wait_ms.min(left_ms / 2);
            give_up_at = give_up_at.min(refresh_at);
        }
        Some(WatchCall { target: WatchTarget::Peer(source.clone()), wait_ms, give_up_at })
    }

    fn store_call(&self, wait_ms: u64, now: TimePoint) -> WatchCall {
        WatchCall { target: WatchTarget::Store, wait_ms, give_up_at: now.plus_ms(wait_ms + STORE_SLACK_MS) }
    }

    /// Records that all changes written before `as_of` are known, by a response of the store or of a peer.
    pub fn proved_current(&mut self, as_of: TimePoint) {
        self.current_as_of = self.current_as_of.max(as_of);
    }

    /// Records the response of a peer that knows all changes written before `as_of`.
    pub fn peer_answered(&mut self, daemon: &SharedName, as_of: TimePoint, now: TimePoint) {
        self.proved_current(as_of);
        if now.since_ms(as_of) > self.timing.stale_age_ms() {
            self.peer_outdated(daemon, now);
        }
    }

    /// Records that a peer does not know all changes since the requested revision, or cannot reach the store.
    pub fn peer_outdated(&mut self, daemon: &SharedName, now: TimePoint) {
        self.backoff_until.insert(daemon.clone(), now.plus_ms(OUTDATED_BACKOFF_MS));
    }

    /// Records that a peer did not respond in time.
    pub fn peer_unresponsive(&mut self, daemon: &SharedName, now: TimePoint) {
        self.backoff_until.insert(daemon.clone(), now.plus_ms(UNRESPONSIVE_BACKOFF_MS));
    }

    /// Records that the store could not be reached.
    pub fn store_failed(&mut self, now: TimePoint) {
        self.store_retry_at = now.plus_ms(STORE_RETRY_MS);
    }
}

//! Which daemon coordinates the permits of an upstream, and which share of the limit this daemon may grant.

use super::{GrantShares, RateShare};
use crate::{SharedName, TimePoint, rank};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which a daemon that did not respond is not asked again.
const UNREACHABLE_MS: u64 = 1_000;
/// A gap of this length between two calls of [`CoordinatorTable::daemons_listed`] shows that the process was suspended,
/// so that other daemons may have taken over meanwhile.
const SUSPENDED_MS: u64 = 1_500;
/// Number of daemons that are tried one after the other for an upstream; after them this daemon grants itself.
const CANDIDATES_MAX: usize = 4;

/// Order of the daemons for one upstream.
#[derive(Clone, Debug)]
struct RankEntry {
    /// Number of daemons, present or left lately, that precede this one.
    own_rank: usize,
    /// The first daemons that are present.
    candidates: Vec<SharedName>,
}

/// Daemons that may coordinate upstreams. All daemons that know the same ones agree on the coordinator.
#[derive(Debug)]
pub struct CoordinatorTable {
    own: SharedName,
    /// Time within which all daemons learn that one has joined or left.
    settle_ms: u64,
    /// When this daemon has been present for so long that no other one acts for it.
    settled_at: TimePoint,
    listed_at: TimePoint,
    present: BTreeSet<SharedName>,
    /// Daemons that have left, and until when others may still ask them for permits.
    left: BTreeMap<SharedName, TimePoint>,
    unreachable_until: BTreeMap<SharedName, TimePoint>,
    /// Order of the daemons by upstream, until the daemons change.
    ranks: HashMap<SharedName, RankEntry>,
}

impl CoordinatorTable {
    /// Creates the table of the daemon `own`, which starts at `now`. Each daemon learns within `settle_ms` that another
    /// one has joined or left.
    #[must_use]
    pub fn new(own: SharedName, settle_ms: u64, now: TimePoint) -> Self {
        Self {
            own,
            settle_ms,
            settled_at: now.plus_ms(settle_ms),
            listed_at: now,
            present: BTreeSet::new(),
            left: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            ranks: HashMap::new(),
        }
    }

    /// Updates the daemons that are present. Must be called several times a second, also without a change.
    pub fn daemons_listed(&mut self, present: &BTreeSet<SharedName>, now: TimePoint) {
        if now.since_ms(self.listed_at) > SUSPENDED_MS {
            self.settled_at = now.plus_ms(self.settle_ms);
        }
        self.listed_at = now;
        self.unreachable_until.retain(|_, until| now < *until);
        let left_count = self.left.len();
        self.left.retain(|daemon, until| now < *until && !present.contains(daemon));
        if self.left.len() != left_count || self.present != *present {
            for daemon in self.present.difference(present) {
                self.left.insert(daemon.clone(), now.plus_ms(self.settle_ms));
            }
            self.present.clone_from(present);
            self.ranks.clear();
        }
    }

    /// The daemon to ask for permits of `upstream`: the first one that responds.
    pub fn coordinator(&mut self, upstream: &SharedName, now: TimePoint) -> SharedName {
        let reachable = self.rank_entry(upstream).candidates.clone();
        let is_reachable = |daemon: &SharedName| self.unreachable_until.get(daemon).is_none_or(|until| *until <= now);
        reachable.into_iter().find(is_reachable).unwrap_or_else(|| self.own.clone())
    }

    /// Handles a call to `daemon` that failed.
    pub fn call_failed(&mut self, daemon: SharedName, now: TimePoint) {
        if daemon != self.own {
            self.unreachable_until.insert(daemon, now.plus_ms(UNREACHABLE_MS));
        }
    }

    /// Share of the limit of `upstream` that this daemon may grant: all of it only if no other daemon can take itself
    /// for the coordinator.
    pub fn own_share(&mut self, upstream: &SharedName, now: TimePoint) -> RateShare {
        let own_rank = self.rank_entry(upstream).own_rank + usize::from(now < self.settled_at);
        RateShare::of_rank(own_rank, self.present.len() + self.left.len())
    }

    /// Shares of the limits of `upstream` that this daemon may grant. `is_confirmed` tells whether the list of daemons is as
    /// new as that of any other daemon; otherwise another one may have taken over, and this one grants only a part of what
    /// a cold upstream bears.
    pub fn own_shares(&mut self, upstream: &SharedName, is_confirmed: bool, now: TimePoint) -> GrantShares {
        let named = self.own_share(upstream, now);
        let is_uncertain = now < self.settled_at || !is_confirmed;
        let own_rank = self.rank_entry(upstream).own_rank + usize::from(is_uncertain);
        GrantShares { named, cold: RateShare::of_cold_rank(own_rank, self.present.len() + self.left.len()) }
    }

    /// Order of the daemons for `upstream`.
    fn rank_entry(&mut self, upstream: &SharedName) -> &RankEntry {
        self.ranks.entry(upstream.clone()).or_insert_with(|| {
            let mut daemons: BTreeSet<SharedName> = self.present.iter().chain(self.left.keys()).cloned().collect();
            daemons.insert(self.own.clone());
            let daemons: Vec<SharedName> = daemons.into_iter().collect();
            let ranked = rank(upstream, &daemons);
            let candidates = ranked.iter().filter(|daemon| self.present.contains(**daemon)).take(CANDIDATES_MAX);
            RankEntry {
                own_rank: ranked.iter().position(|daemon| **daemon == self.own).unwrap_or(0),
                candidates: candidates.map(|daemon| (*daemon).clone()).collect(),
            }
        })
    }
}

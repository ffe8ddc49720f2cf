//! Tracks which daemons are alive, from direct exchanges, reports of other daemons, refused connections, and the
//! platform's VM list, which lags behind.

use crate::{SharedName, TimePoint, fingerprint, rank};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time without an answer after which a member is suspected.
const SUSPECT_AFTER_MS: u64 = 3_000;
/// Further time without an answer after which a suspect or leaving member counts as failed.
const FAIL_AFTER_MS: u64 = 3_000;
/// Largest number of members that [`MemberTable::next_exchange_peers`] returns at a time.
const EXCHANGE_PEERS_MAX: usize = 4;
/// Time after which a member whose process has ended is removed.
const REMOVE_AFTER_MS: u64 = 600_000;

/// Liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answered recently.
    Alive,
    /// Does not answer; may be partitioned, frozen or dead.
    Suspect,
    /// Excluded from duties and routes after a longer time without an answer. Its process may still be running.
    Failed,
    /// Its process has ended.
    Ended,
    /// Reported that it is shutting down.
    Leaving,
}

/// Another daemon as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Daemon name.
    pub name: SharedName,
    /// Incarnation of the daemon's process; increases with each start.
    pub incarnation: u64,
    /// Failure domain from the daemon's settings.
    pub failure_domain: SharedName,
    /// Address of the daemon's control listener, for calls from peers.
    #[serde(rename = "control")]
    pub control_address: SharedName,
    /// Liveness as this daemon sees it.
    pub state: MemberState,
    /// Time of the last exchange with the member, of the report that added it, or of its end, by this daemon's clock.
    #[serde(skip)]
    pub heard_at: TimePoint,
}

/// All other daemons of the site that this daemon has seen.
#[derive(Debug)]
pub struct MemberTable {
    /// Name of this daemon.
    own_name: SharedName,
    /// Failure domain of this daemon.
    failure_domain: SharedName,
    /// Other daemons by name.
    members: BTreeMap<SharedName, MemberEntry>,
    /// Position of the next exchange peer in the rotation.
    next_peer: usize,
}

impl MemberTable {
    /// Creates the empty table of daemon `own_name` in `failure_domain`.
    #[must_use]
    pub fn new(own_name: SharedName, failure_domain: SharedName) -> Self {
        Self { own_name, failure_domain, members: BTreeMap::new(), next_peer: 0 }
    }

    /// Applies the entry that a peer sent about itself: in a request that was received at `seen_at`, or in the answer
    /// to a request that this daemon sent at `seen_at`. Ignored if a newer incarnation, or a later state of this one, is
    /// known.
    pub fn peer_seen(&mut self, entry: MemberEntry, seen_at: TimePoint) {
        if entry.name == self.own_name {
            return;
        }
        let known = self.members.get(&entry.name).map(|old| (old.incarnation, old.heard_at));
        if known.is_some_and(|known| known > (entry.incarnation, seen_at)) {
            return;
        }
        self.members.insert(entry.name.clone(), MemberEntry { heard_at: seen_at, ..entry });
    }

    /// Applies a live member's entry as reported by another daemon. Such an indirect report only adds unseen members
    /// and newer incarnations; it does not refresh a member.
    pub fn member_reported(&mut self, entry: &MemberEntry, now: TimePoint) {
        if entry.name == self.own_name || entry.state != MemberState::Alive {
            return;
        }
        let is_newer = self.members.get(&entry.name).is_none_or(|old| entry.incarnation > old.incarnation);
        if is_newer {
            self.members.insert(entry.name.clone(), MemberEntry { heard_at: now, ..entry.clone() });
        }
    }

    /// Records that the process of daemon `name` has ended. Adds the daemon if it has not been seen.
    pub fn process_ended(&mut self, name: &SharedName, now: TimePoint) {
        let member = self.members.entry(name.clone()).or_insert_with(|| MemberEntry {
            name: name.clone(),
            incarnation: 0,
            failure_domain: "".into(),
            control_address: "".into(),
            state: MemberState::Ended,
            heard_at: now,
        });
        member.state = MemberState::Ended;
        member.heard_at = member.heard_at.max(now);
    }

    /// Marks unresponsive members as suspect, then as failed, and removes members that ended long ago.
    pub fn tick(&mut self, now: TimePoint) {
        for member in self.members.values_mut() {
            let unresponsive_ms = now.since_ms(member.heard_at);
            member.state = match member.state {
                MemberState::Alive if unresponsive_ms > SUSPECT_AFTER_MS => MemberState::Suspect,
                MemberState::Suspect | MemberState::Leaving if unresponsive_ms > SUSPECT_AFTER_MS + FAIL_AFTER_MS => {
                    MemberState::Failed
                }
                state => state,
            };
        }
        self.members
            .retain(|_, member| member.state != MemberState::Ended || now.since_ms(member.heard_at) < REMOVE_AFTER_MS);
    }

    /// The entry of daemon `name`, or `None` if it has not been seen.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.members.get(name)
    }

    /// All entries, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Sorted names of the daemons that may take duties: this one and all alive or suspect members.
    #[must_use]
    pub fn active_names(&self) -> Vec<SharedName> {
        let mut names: Vec<SharedName> = self
            .members
            .values()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
            .map(|member| member.name.clone())
            .collect();
        names.push(self.own_name.clone());
        names.sort();
        names
    }

    /// Entries of all other daemons that may still be running, reachable or not.
    pub fn possibly_running_entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| member.state != MemberState::Ended)
    }

    /// Names of all other daemons that may still be running, reachable or not.
    #[must_use]
    pub fn possibly_running_names(&self) -> Vec<SharedName> {
        self.possibly_running_entries().map(|member| member.name.clone()).collect()
    }

    /// This daemon's rank, from 0, for taking `duty` in `failure_domain`. The candidates are the active daemons of the
    /// failure domain, or all active daemons if it has none. `None` if this daemon is not a candidate.
    #[must_use]
    pub fn duty_rank(&self, duty: &str, failure_domain: &str) -> Option<usize> {
        let active = self.active_names();
        let is_in_domain = |name: &SharedName| {
            let domain = if *name == self.own_name { &self.failure_domain } else { &self.members[name].failure_domain };
            &**domain == failure_domain
        };
        let mut candidates: Vec<SharedName> = active.iter().filter(|name| is_in_domain(name)).cloned().collect();
        if candidates.is_empty() {
            candidates = active;
        }
        rank(duty, &candidates).iter().position(|name| **name == self.own_name)
    }

    /// Fingerprint of the names and incarnations of all members and of this daemon, whose incarnation is `incarnation`.
    /// Daemons that have seen the same processes compute the same fingerprint.
    #[must_use]
    pub fn digest(&self, incarnation: u64) -> u64 {
        let others = self.members.values().map(|member| (&member.name, member.incarnation));
        let mut processes: Vec<String> = others
            .chain([(&self.own_name, incarnation)])
            .map(|(name, incarnation)| format!("{name}/{incarnation}"))
            .collect();
        processes.sort_unstable();
        let bytes: Vec<&[u8]> = processes.iter().map(String::as_bytes).collect();
        fingerprint(&bytes)
    }

    /// Members to send the next exchange request to: all that may be running if they are few, otherwise the next ones
    /// in rotation.
    pub fn next_exchange_peers(&mut self) -> Vec<MemberEntry> {
        let candidates: Vec<&MemberEntry> = self.possibly_running_entries().collect();
        if candidates.len() <= EXCHANGE_PEERS_MAX {
            return candidates.into_iter().cloned().collect();
        }
        let count = candidates.len();
        let peers =
            (0..EXCHANGE_PEERS_MAX).map(|offset| candidates[(self.next_peer + offset) % count].clone()).collect();
        self.next_peer = (self.next_peer + EXCHANGE_PEERS_MAX) % count;
        peers
    }
}

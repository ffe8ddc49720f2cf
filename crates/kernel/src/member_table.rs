//! Which daemons take part, from heartbeats, rumours and the platform's lagging list.

use crate::{SharedName, TimePoint, fingerprint, rank};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member not heard for this long is suspected.
const SUSPECT_AFTER_MS: u64 = 3_000;
/// A suspect that does not answer for this long is taken as failed.
const FAIL_AFTER_MS: u64 = 3_000;
/// Members asked in each round when there are more.
const FANOUT: usize = 4;
/// Failed members are forgotten after this long.
const FORGET_AFTER_MS: u64 = 600_000;

/// Standing of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Heard lately.
    Alive,
    /// Not heard; may be cut off, frozen or dead.
    Suspect,
    /// Taken out of duties and routes. It may still be running.
    Failed,
    /// Its process is known to have ended.
    Ended,
    /// Leaves by its own word.
    Leaving,
}

/// One daemon as known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Daemon name.
    pub name: SharedName,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Failure domain from its settings.
    pub failure_domain: SharedName,
    /// Address of its control listener.
    pub control: SharedName,
    /// Standing.
    pub state: MemberState,
    /// When it was last heard, by this daemon's clock.
    #[serde(skip)]
    pub heard_at: TimePoint,
}

/// All known daemons but this one.
#[derive(Debug)]
pub struct MemberTable {
    me: SharedName,
    failure_domain: SharedName,
    members: BTreeMap<SharedName, MemberEntry>,
    round: usize,
}

impl MemberTable {
    /// Creates the table of daemon `me` in `failure_domain`.
    #[must_use]
    pub fn new(me: SharedName, failure_domain: SharedName) -> Self {
        Self { me, failure_domain, members: BTreeMap::new(), round: 0 }
    }

    /// A peer answered a question asked at `asked_at`, giving its own entry.
    pub fn peer_seen(&mut self, entry: MemberEntry, asked_at: TimePoint) {
        if entry.name == self.me {
            return;
        }
        let heard_at = asked_at;
        let known = self.members.get(&entry.name);
        if known.is_some_and(|old| old.incarnation > entry.incarnation) {
            return;
        }
        self.members.insert(entry.name.clone(), MemberEntry { heard_at, ..entry });
    }

    /// A third daemon told of a member; hearsay adds unknown members and newer incarnations only.
    pub fn member_reported(&mut self, entry: &MemberEntry, now: TimePoint) {
        if entry.name == self.me || entry.state != MemberState::Alive {
            return;
        }
        let newer = self.members.get(&entry.name).is_none_or(|old| entry.incarnation > old.incarnation);
        if newer {
            self.members.insert(entry.name.clone(), MemberEntry { heard_at: now, ..entry.clone() });
        }
    }

    /// The process behind `name` is known to have ended.
    pub fn process_ended(&mut self, name: &SharedName, now: TimePoint) {
        let member = self.members.entry(name.clone()).or_insert_with(|| MemberEntry {
            name: name.clone(),
            incarnation: 0,
            failure_domain: "".into(),
            control: "".into(),
            state: MemberState::Ended,
            heard_at: now,
        });
        member.state = MemberState::Ended;
    }

    /// Moves silent members on to suspect and failed.
    pub fn tick(&mut self, now: TimePoint) {
        for member in self.members.values_mut() {
            let silent_ms = now.since_ms(member.heard_at);
            member.state = match member.state {
                MemberState::Alive if silent_ms > SUSPECT_AFTER_MS => MemberState::Suspect,
                MemberState::Suspect | MemberState::Leaving if silent_ms > SUSPECT_AFTER_MS + FAIL_AFTER_MS => {
                    MemberState::Failed
                }
                state => state,
            };
        }
        self.members
            .retain(|_, member| member.state != MemberState::Ended || now.since_ms(member.heard_at) < FORGET_AFTER_MS);
    }

    /// The entry of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.members.get(name)
    }

    /// All entries, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Names of all that take part in duties, this daemon included.
    #[must_use]
    pub fn active_names(&self) -> Vec<SharedName> {
        let mut names: Vec<SharedName> = self
            .members
            .values()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
            .map(|member| member.name.clone())
            .collect();
        names.push(self.me.clone());
        names.sort();
        names
    }

    /// All others that may still be running, reachable or not.
    pub fn possibly_running_entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| member.state != MemberState::Ended)
    }

    /// Names of all others that may still be running.
    #[must_use]
    pub fn possibly_running_names(&self) -> Vec<SharedName> {
        self.possibly_running_entries().map(|member| member.name.clone()).collect()
    }

    /// This daemon's place for the duty of `failure_domain`, among that domain's daemons, or among all
    /// when it has none.
    #[must_use]
    pub fn duty_rank(&self, duty: &str, failure_domain: &str) -> Option<usize> {
        let active = self.active_names();
        let inside = |name: &SharedName| {
            let domain = if *name == self.me { &self.failure_domain } else { &self.members[name].failure_domain };
            &**domain == failure_domain
        };
        let mut candidates: Vec<SharedName> = active.iter().filter(|name| inside(name)).cloned().collect();
        if candidates.is_empty() {
            candidates = active;
        }
        rank(duty, &candidates).iter().position(|name| **name == self.me)
    }

    /// A fingerprint of the processes known, this daemon's own `incarnation` among them. Daemons that know
    /// the same processes compute the same one.
    #[must_use]
    pub fn digest(&self, incarnation: u64) -> u64 {
        let others = self.members.values().map(|member| (&member.name, member.incarnation));
        let mut processes: Vec<String> = others
            .chain([(&self.me, incarnation)])
            .map(|(name, incarnation)| format!("{name}/{incarnation}"))
            .collect();
        processes.sort_unstable();
        let bytes: Vec<&[u8]> = processes.iter().map(String::as_bytes).collect();
        fingerprint(&bytes)
    }

    /// Members to exchange with in this round: all when few, else a rotating part of them.
    pub fn next_exchange_peers(&mut self) -> Vec<MemberEntry> {
        let candidates: Vec<&MemberEntry> = self.possibly_running_entries().collect();
        if candidates.len() <= FANOUT {
            return candidates.into_iter().cloned().collect();
        }
        let count = candidates.len();
        let round = (0..FANOUT).map(|step| candidates[(self.round + step) % count].clone()).collect();
        self.round = (self.round + FANOUT) % count;
        round
    }
}

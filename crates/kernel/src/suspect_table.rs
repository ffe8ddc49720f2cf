//! Detects and quarantines requests that crash the upstreams running them.

use crate::TimePoint;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of requests in flight on a crashed upstream for which blame is assigned. With more of them, the crash
/// does not indicate which one caused it.
const BLAMED_REQUESTS_MAX: usize = 4;
/// Blame at which a request is quarantined: two crashes while it ran alone, or four while one other request ran too.
const QUARANTINE_BLAME: u32 = 200;
/// Blame for one crash, divided among the requests in flight.
const CRASH_BLAME: u32 = 100;
/// Time after the last crash at which a mark expires.
const MARK_TTL_MS: u64 = 600_000;

/// Blame assigned to one request fingerprint; exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMark {
    /// Fingerprint of the request's organisation and body.
    pub fingerprint: u64,
    /// Blame for crashes: 100 for each crash of an upstream that ran only this request, less if others ran too.
    pub blame: u32,
    /// Time at which the mark expires.
    pub deadline: TimePoint,
}

/// Marks of requests that were in flight on an upstream when it crashed.
#[derive(Debug, Default)]
pub struct SuspectTable {
    marks: HashMap<u64, SuspectMark>,
}

impl SuspectTable {
    /// Records that an upstream crashed while running the requests with `fingerprints`, and divides the blame among
    /// them.
    pub fn upstream_crashed(&mut self, fingerprints: &[u64], now: TimePoint) {
        if fingerprints.is_empty() || fingerprints.len() > BLAMED_REQUESTS_MAX {
            return;
        }
        let share = CRASH_BLAME / fingerprints.len() as u32;
        for &fingerprint in fingerprints {
            let deadline = now.plus_ms(MARK_TTL_MS);
            let mark = self.marks.entry(fingerprint).or_insert(SuspectMark { fingerprint, blame: 0, deadline });
            mark.blame = mark.blame.saturating_add(share);
            mark.deadline = deadline;
        }
    }

    /// Removes the mark of a request that completed without a crash.
    pub fn clear(&mut self, fingerprint: u64) {
        self.marks.remove(&fingerprint);
    }

    /// Merges a mark received from a peer. The higher blame and the later expiry are kept.
    pub fn merge(&mut self, mark: SuspectMark) {
        let own = self.marks.entry(mark.fingerprint).or_insert(mark);
        own.blame = own.blame.max(mark.blame);
        own.deadline = own.deadline.max(mark.deadline);
    }

    /// Whether the request must not be run at all.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: TimePoint) -> bool {
        self.active_mark(fingerprint, now).is_some_and(|mark| mark.blame >= QUARANTINE_BLAME)
    }

    /// Whether the request must run alone on its upstream, so that another crash can be attributed to it.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: u64, now: TimePoint) -> bool {
        self.active_mark(fingerprint, now).is_some()
    }

    /// Unexpired marks, to be sent to peers. Removes the expired ones.
    pub fn active_marks(&mut self, now: TimePoint) -> Vec<SuspectMark> {
        self.marks.retain(|_, mark| mark.deadline > now);
        self.marks.values().copied().collect()
    }

    fn active_mark(&self, fingerprint: u64, now: TimePoint) -> Option<&SuspectMark> {
        self.marks.get(&fingerprint).filter(|mark| mark.deadline > now)
    }
}

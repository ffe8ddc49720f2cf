//! Quarantine for requests that end the upstreams that run them.

use crate::TimePoint;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// More requests in flight than this say nothing about which one was to blame.
const BLAME_MAX: usize = 4;
/// Blame from two lone deaths, or from four deaths shared with a neighbour.
const QUARANTINE_BLAME: u32 = 200;
const LONE_BLAME: u32 = 100;
const MARK_LIFE_MS: u64 = 600_000;

/// Blame gathered by one request fingerprint, as shared between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectMark {
    /// Fingerprint over organisation and body.
    pub fingerprint: u64,
    /// Blame in hundredths of an upstream that died running only this request.
    pub blame: u32,
    /// When the mark is forgotten.
    pub deadline: TimePoint,
}

/// Fingerprints that were in flight on an upstream when it died.
#[derive(Debug, Default)]
pub struct SuspectTable {
    marks: HashMap<u64, SuspectMark>,
}

impl SuspectTable {
    /// Records that an upstream died while running `fingerprints`.
    pub fn upstream_crashed(&mut self, fingerprints: &[u64], now: TimePoint) {
        if fingerprints.is_empty() || fingerprints.len() > BLAME_MAX {
            return;
        }
        let share = LONE_BLAME / fingerprints.len() as u32;
        for &fingerprint in fingerprints {
            let deadline = now.plus_ms(MARK_LIFE_MS);
            let mark = self.marks.entry(fingerprint).or_insert(SuspectMark { fingerprint, blame: 0, deadline });
            mark.blame = mark.blame.saturating_add(share);
            mark.deadline = deadline;
        }
    }

    /// A suspect that ran to its end is cleared.
    pub fn clear(&mut self, fingerprint: u64) {
        self.marks.remove(&fingerprint);
    }

    /// Takes in a peer's mark; the higher blame holds.
    pub fn merge(&mut self, mark: SuspectMark) {
        let known = self.marks.entry(mark.fingerprint).or_insert(mark);
        known.blame = known.blame.max(mark.blame);
        known.deadline = known.deadline.max(mark.deadline);
    }

    /// Whether the request may not be run at all.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, now: TimePoint) -> bool {
        self.live(fingerprint, now).is_some_and(|mark| mark.blame >= QUARANTINE_BLAME)
    }

    /// Whether the request must run alone on its upstream.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: u64, now: TimePoint) -> bool {
        self.live(fingerprint, now).is_some()
    }

    /// Marks to share with peers, dropping those past their deadline.
    pub fn active_marks(&mut self, now: TimePoint) -> Vec<SuspectMark> {
        self.marks.retain(|_, mark| mark.deadline > now);
        self.marks.values().copied().collect()
    }

    fn live(&self, fingerprint: u64, now: TimePoint) -> Option<&SuspectMark> {
        self.marks.get(&fingerprint).filter(|mark| mark.deadline > now)
    }
}

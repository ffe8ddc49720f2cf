//! Decides whether the store was away for everybody, or only out of reach of this daemon.

use super::LapseWindow;
use crate::TimePoint;
use std::ops::RangeInclusive;

/// A read of the store's changes, directly or from another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Revision up to which all changes were read.
    pub revision: u64,
    /// All changes written before this time were read.
    pub current_as_of: TimePoint,
    /// Latest time at which the read shows that the store served.
    pub served_at: TimePoint,
}

/// What another daemon knows of the time in which this one read nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageWitness {
    /// The other daemon knows all changes written before this time.
    pub current_as_of: TimePoint,
    /// Its last outage of the store; `None` if the store has served all the time.
    pub window: Option<LapseWindow>,
}

/// A time in which nothing was read, long enough for entries to lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadGap {
    /// Length of the time.
    pub gap_ms: u64,
    /// The outage of the store that it is taken for; `None` if the store served meanwhile.
    pub outage: Option<LapseWindow>,
}

/// Judges the times in which no change of one prefix could be read. Entries lapse only while the store is away; a daemon that
/// has lost its own path does not learn from that whether the store serves the others.
#[derive(Clone, Debug)]
pub struct OutageJudge {
    /// Shortest outage in which entries can lapse.
    outage_ms_min: u64,
    /// Revision up to which all changes are known.
    revision: u64,
    /// All changes written before this time are known; `None` before the first read.
    current_as_of: Option<TimePoint>,
    /// The last outage.
    window: Option<LapseWindow>,
}

impl OutageJudge {
    /// Creates a judge for entries that lapse only if nobody renews them for `outage_ms_min`.
    #[must_use]
    pub fn new(outage_ms_min: u64) -> Self {
        Self { outage_ms_min, revision: 0, current_as_of: None, window: None }
    }

    /// The last outage of the store.
    #[must_use]
    pub fn window(&self) -> Option<LapseWindow> {
        self.window
    }

    /// Time before a read which showed that the store served at `served_at` for which nothing is known; `None` if that is too
    /// short for entries to lapse. Other daemons can tell whether the store served meanwhile.
    #[must_use]
    pub fn gap_ms(&self, served_at: TimePoint) -> Option<u64> {
        let gap_ms = served_at.since_ms(self.current_as_of?);
        (gap_ms >= self.outage_ms_min).then_some(gap_ms)
    }

    /// Records a read, and returns the gap before it. `witnesses` are those that were asked about the gap; if none of them has
    /// read the store itself meanwhile, the store counts as away.
    pub fn record(&mut self, read: &StoreRead, witnesses: &[OutageWitness]) -> Option<ReadGap> {
        let gap_ms = self.gap_ms(read.served_at);
        if gap_ms.is_some() {
            self.window = self.judge(read, witnesses);
        }
        self.revision = self.revision.max(read.revision);
        self.current_as_of = self.current_as_of.max(Some(read.current_as_of));
        let outage = self.window.filter(|window| read.served_at < window.ends_at);
        gap_ms.map(|gap_ms| ReadGap { gap_ms, outage })
    }

    fn judge(&self, read: &StoreRead, witnesses: &[OutageWitness]) -> Option<LapseWindow> {
        let is_informed =
            |witness: &&OutageWitness| read.served_at.since_ms(witness.current_as_of) < self.outage_ms_min;
        let windows: Vec<Option<LapseWindow>> =
            witnesses.iter().filter(is_informed).map(|witness| witness.window).collect();
        if windows.is_empty() {
            return Some(LapseWindow::new(self.revision, read.revision, read.current_as_of));
        }
        // An entry has lapsed only if that is possible for all of them.
        let all: Option<Vec<LapseWindow>> = windows.into_iter().collect();
        all?.into_iter().reduce(LapseWindow::intersection)
    }

    /// Until when the entry that was removed at one of `revisions` may be written again, as it lapsed in an outage; `None` if it
    /// was removed while the store served, or is overdue. A snapshot shows only between which revisions an entry was removed.
    #[must_use]
    pub fn relist_deadline(&self, revisions: &RangeInclusive<u64>) -> Option<TimePoint> {
        let as_of = self.current_as_of?;
        self.window.filter(|window| window.covers(revisions, as_of)).map(|window| window.ends_at)
    }
}

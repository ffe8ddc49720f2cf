//! Recent changes of a watched prefix, from which a daemon serves others.

use crate::TimePoint;
use std::collections::VecDeque;

/// Largest number of kept changes. A follower that is further behind reads the changes from the store.
const CHANGES_MAX: usize = 2_048;
/// Largest total size of kept changes, in bytes.
const BYTES_MAX: usize = 2 << 20;

/// What a log holds after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRead<C> {
    /// All changes after the requested revision, up to `revision`. Without changes, `revision` is the requested one.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<C>,
        /// Revision from which the next read continues.
        revision: u64,
    },
    /// The log does not reach back to the requested revision.
    Incomplete,
}

/// One kept change.
#[derive(Clone, Debug)]
struct LogEntry<C> {
    revision: u64,
    bytes: usize,
    change: C,
}

/// The changes of one prefix between two store revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<C> {
    /// Revision after which the log holds all changes; `None` before the first snapshot.
    start: Option<u64>,
    /// Revision up to which the log holds all changes.
    end: u64,
    entries: VecDeque<LogEntry<C>>,
    /// Total size of the entries.
    bytes: usize,
    /// All changes written before this time are in the log.
    current_as_of: TimePoint,
}

impl<C> Default for ChangeLog<C> {
    fn default() -> Self {
        Self { start: None, end: 0, entries: VecDeque::new(), bytes: 0, current_as_of: TimePoint(0) }
    }
}

impl<C: Clone> ChangeLog<C> {
    /// Starts again after a snapshot of the prefix, which was read at `revision`.
    pub fn restart(&mut self, revision: u64, current_as_of: TimePoint) {
        *self = Self { start: Some(revision), end: revision, current_as_of, ..Self::default() };
    }

    /// Adds changes with their revisions and sizes in bytes. The log then holds all changes up to `end`.
    pub fn append(&mut self, changes: impl IntoIterator<Item = (u64, usize, C)>, end: u64) {
        for (revision, bytes, change) in changes {
            self.bytes += bytes;
            self.entries.push_back(LogEntry { revision, bytes, change });
        }
        self.end = self.end.max(end);
        while self.entries.len() > CHANGES_MAX || self.bytes > BYTES_MAX {
            let Some(dropped) = self.entries.pop_front() else { break };
            self.bytes -= dropped.bytes;
            self.start = Some(dropped.revision);
        }
    }

    /// Records that all changes written before `as_of` are in the log.
    pub fn proved_current(&mut self, as_of: TimePoint) {
        self.current_as_of = self.current_as_of.max(as_of);
    }

    /// All changes written before this time are in the log.
    #[must_use]
    pub fn current_as_of(&self) -> TimePoint {
        self.current_as_of
    }

    /// The changes after `revision`.
    #[must_use]
    pub fn read(&self, revision: u64) -> LogRead<C> {
        if self.start.is_none_or(|start| revision < start) {
            return LogRead::Incomplete;
        }
        let first = self.entries.partition_point(|entry| entry.revision <= revision);
        let changes: Vec<C> = self.entries.range(first..).map(|entry| entry.change.clone()).collect();
        let revision = if changes.is_empty() { revision } else { self.end };
        LogRead::Changes { changes, revision }
    }
}

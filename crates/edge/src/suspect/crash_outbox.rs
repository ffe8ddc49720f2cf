//! Changes of crash marks that are to be written to the store.

use pimentoslip_kernel::{CrashMark, SharedName};
use std::collections::BTreeMap;

/// A mark's request, as its fingerprint, and the process that crashed.
pub type MarkKey = (u64, SharedName);

/// Change of one mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkChange {
    /// The mark is to be written.
    Put {
        /// When the request was sent to the process, in milliseconds since the Unix epoch; `None` if that is not known.
        sent_unix_ms: Option<u64>,
        /// Whether only the list of upstreams shows the crash.
        is_inferred: bool,
    },
    /// The mark is to be removed.
    Remove,
}

impl MarkChange {
    /// Whether the mark is to be written.
    #[must_use]
    pub fn is_put(&self) -> bool {
        matches!(self, Self::Put { .. })
    }
}

/// Queue of changes, from the listeners to the task that writes them.
#[derive(Debug, Default)]
pub struct CrashOutbox {
    changes: BTreeMap<MarkKey, MarkChange>,
    /// Whether changes are being written.
    is_writing: bool,
}

impl CrashOutbox {
    /// Queues the write of a new mark.
    pub fn put(&mut self, mark: &CrashMark) {
        let change = MarkChange::Put { sent_unix_ms: mark.sent_unix_ms, is_inferred: mark.is_inferred };
        self.changes.insert((mark.fingerprint, mark.process.clone()), change);
    }

    /// Handles a mark that the store holds: it need not be written any more, and is removed from there once it is cleared.
    pub fn mark_stored(&mut self, key: &MarkKey) {
        if self.changes.get(key).is_some_and(MarkChange::is_put) {
            self.changes.remove(key);
        }
    }

    /// Queues the removal of a mark, or drops its write if it has not been written yet.
    pub fn remove(&mut self, key: MarkKey) {
        if self.changes.get(&key).is_some_and(MarkChange::is_put) {
            self.changes.remove(&key);
        } else {
            self.changes.insert(key, MarkChange::Remove);
        }
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Whether all changes are written.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.changes.is_empty() && !self.is_writing
    }

    /// Takes up to `count_max` changes, which are written until [`Self::written`] or [`Self::restore`] is called.
    pub fn take(&mut self, count_max: usize) -> BTreeMap<MarkKey, MarkChange> {
        self.is_writing = true;
        let rest = self.changes.keys().nth(count_max).cloned();
        let rest = rest.map(|first| self.changes.split_off(&first)).unwrap_or_default();
        std::mem::replace(&mut self.changes, rest)
    }

    /// Records that the taken changes are written.
    pub fn written(&mut self) {
        self.is_writing = false;
    }

    /// Queues changes again whose write failed, unless a newer change of the same mark is queued.
    pub fn restore(&mut self, changes: BTreeMap<MarkKey, MarkChange>) {
        self.is_writing = false;
        for (key, change) in changes {
            self.changes.entry(key).or_insert(change);
        }
    }
}

//! Revision from which a watch returns every result of a position that is not stored yet.

/// The newest position at which no result was found, and the revision of the store at that time. Results may have been stored
/// since: it saves the read before a watch, and proves nothing by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchStart {
    /// Position and revision.
    observed: Option<(usize, u64)>,
}

impl WatchStart {
    /// Records that no result was stored at `position` as of `revision`.
    pub fn absence_observed(&mut self, position: usize, revision: u64) {
        if self.observed.is_none_or(|(_, observed_at)| observed_at < revision) {
            self.observed = Some((position, revision));
        }
    }

    /// Revision after which a watch returns each result at `position` and later ones. `None` if the position must be read first.
    #[must_use]
    pub fn revision_for(&self, position: usize) -> Option<u64> {
        self.observed.filter(|(observed_position, _)| *observed_position == position).map(|(_, revision)| revision)
    }
}

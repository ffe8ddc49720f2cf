//! Checkpoints of unfinished items, from which the next owner of a batch job continues.

use crate::SharedName;

/// Consecutive events of one text that follow those of earlier checkpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextPart {
    /// Index of the item in its batch job.
    pub item_index: usize,
    /// Number of the part's first event. A part that starts with the first event of the text replaces all earlier
    /// parts.
    pub first_event: u64,
    /// Number of the part's last event.
    pub last_event: u64,
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Versions of the weights that generated the text from its first event to the part's last event, ascending.
    pub versions: Vec<u64>,
    /// Version of the software that generated the text; `None` if it is not known.
    pub software: Option<SharedName>,
}

/// Failures of an item since its submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureCount {
    /// Runs that failed at the upstream.
    pub run_failures: u32,
    /// Requests that failed at the scorer.
    pub score_failures: u32,
}

impl FailureCount {
    /// The failures that are known from two records of the same runs and requests.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        Self {
            run_failures: self.run_failures.max(other.run_failures),
            score_failures: self.score_failures.max(other.score_failures),
        }
    }
}

/// Progress of unfinished items that is stored in one write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobCheckpoint {
    /// Parts of partial texts, at most one per item.
    pub parts: Vec<TextPart>,
    /// Failures by the index of the item, of items that have failed since the checkpoint before.
    pub failures: Vec<(usize, FailureCount)>,
}

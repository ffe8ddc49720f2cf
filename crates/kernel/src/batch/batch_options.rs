//! What a batch job asks for, and how its runs may go.

use crate::{SharedName, TimePoint};

/// What the ledger needs to know of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSpec {
    /// Items of one group share their prompt.
    pub group: SharedName,
    /// Expected length, in tokens; longer items run first.
    pub expected_tokens: u64,
    /// Whether a score is wanted.
    pub needs_score: bool,
}

/// Terms of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchOptions {
    /// Failed runs after which an item is given up.
    pub attempts_max: u32,
    /// Oldest version whose events count.
    pub oldest_version: u64,
    /// Whether a text must come from one version.
    pub single_version: bool,
    /// When items may be given up.
    pub retention_ends_at: TimePoint,
    /// Whole groups that the submitter waits for.
    pub groups_awaited: u64,
}

/// An item to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunAssignment {
    /// Index of the item.
    pub index: usize,
    /// Number of the last event that is already known.
    pub resume_after: Option<u64>,
}

/// Whether a run may go on after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// It was taken in.
    Accepted,
    /// The text is void and starts anew; the run must end.
    Restart,
    /// The run doesn't continue the text; the run must end.
    Mismatch,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With the last event.
    Completed,
    /// In the middle, or without an answer.
    Interrupted,
    /// The upstream refused to run it.
    NotRun,
    /// The upstream ran it and failed.
    Failed,
    /// The item can never be run.
    Unrunnable,
}

/// How a scoring ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// With the scorer's signature.
    Signed(String),
    /// The scorer failed.
    Failed,
    /// Without an answer, or refused.
    Interrupted,
}

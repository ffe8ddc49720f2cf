//! Stored progress of unfinished items, from which the next owner of a batch job continues.

use pimentoslip_kernel::{FailureCount, JobCheckpoint, SharedName, TextPart};
use serde::{Deserialize, Serialize};

/// Part of an item's partial text: consecutive events of its stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TextPartEntry {
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    item_index: usize,
    /// Number of the first event.
    #[serde(rename = "first")]
    first_event: u64,
    /// Number of the last event.
    #[serde(rename = "last")]
    last_event: u64,
    /// Data of the events, separated by line feeds.
    text: String,
    /// Versions of the weights that generated the text up to the last event.
    versions: Vec<u64>,
    /// Version of the software that generated the text.
    #[serde(default)]
    software: Option<SharedName>,
}

/// Failures of an item since its submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FailureEntry {
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    item_index: usize,
    /// Failed runs.
    run: u32,
    /// Failed requests to the scorer.
    score: u32,
}

/// Progress of unfinished items that was stored in one write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCheckpointEntry {
    #[serde(rename = "texts")]
    parts: Vec<TextPartEntry>,
    #[serde(default)]
    failures: Vec<FailureEntry>,
}

impl From<&JobCheckpoint> for JobCheckpointEntry {
    fn from(checkpoint: &JobCheckpoint) -> Self {
        let entry = |part: &TextPart| TextPartEntry {
            item_index: part.item_index,
            first_event: part.first_event,
            last_event: part.last_event,
            text: part.text.clone(),
            versions: part.versions.clone(),
            software: part.software.clone(),
        };
        let failure = |(item_index, count): &(usize, FailureCount)| FailureEntry {
            item_index: *item_index,
            run: count.run_failures,
            score: count.score_failures,
        };
        Self {
            parts: checkpoint.parts.iter().map(entry).collect(),
            failures: checkpoint.failures.iter().map(failure).collect(),
        }
    }
}

impl From<JobCheckpointEntry> for JobCheckpoint {
    fn from(stored: JobCheckpointEntry) -> Self {
        let part = |entry: TextPartEntry| TextPart {
            item_index: entry.item_index,
            first_event: entry.first_event,
            last_event: entry.last_event,
            text: entry.text,
            versions: entry.versions,
            software: entry.software,
        };
        let failure = |entry: FailureEntry| {
            (entry.item_index, FailureCount { run_failures: entry.run, score_failures: entry.score })
        };
        Self {
            parts: stored.parts.into_iter().map(part).collect(),
            failures: stored.failures.into_iter().map(failure).collect(),
        }
    }
}

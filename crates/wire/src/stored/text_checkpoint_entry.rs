//! Stored partial texts, from which the next owner of a batch job continues.

use pimentoslip_kernel::{TextCheckpoint, TextPart};
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
}

/// Parts of partial texts that were stored in one write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextCheckpointEntry {
    #[serde(rename = "texts")]
    parts: Vec<TextPartEntry>,
}

impl From<&TextCheckpoint> for TextCheckpointEntry {
    fn from(checkpoint: &TextCheckpoint) -> Self {
        let entry = |part: &TextPart| TextPartEntry {
            item_index: part.item_index,
            first_event: part.first_event,
            last_event: part.last_event,
            text: part.text.clone(),
            versions: part.versions.clone(),
        };
        Self { parts: checkpoint.parts.iter().map(entry).collect() }
    }
}

impl From<TextCheckpointEntry> for TextCheckpoint {
    fn from(stored: TextCheckpointEntry) -> Self {
        let part = |entry: TextPartEntry| TextPart {
            item_index: entry.item_index,
            first_event: entry.first_event,
            last_event: entry.last_event,
            text: entry.text,
            versions: entry.versions,
        };
        Self { parts: stored.parts.into_iter().map(part).collect() }
    }
}

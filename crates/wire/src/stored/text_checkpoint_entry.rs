//! Texts in the middle, for the next owner of their batch job.

use pimentoslip_kernel::{TextCheckpoint, TextPart};
use serde::{Deserialize, Serialize};

/// Events of one text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TextEntry {
    /// Index of the item in its batch job.
    index: usize,
    /// Number of the first event.
    first: u64,
    /// Number of the last event.
    last: u64,
    /// Data of the events, separated by line feeds.
    text: String,
    /// Versions that generated the text up to the last event.
    versions: Vec<u64>,
}

/// A stored checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextCheckpointEntry {
    texts: Vec<TextEntry>,
}

impl From<&TextCheckpoint> for TextCheckpointEntry {
    fn from(checkpoint: &TextCheckpoint) -> Self {
        let entry = |part: &TextPart| TextEntry {
            index: part.index,
            first: part.first_event,
            last: part.last_event,
            text: part.text.clone(),
            versions: part.versions.clone(),
        };
        Self { texts: checkpoint.parts.iter().map(entry).collect() }
    }
}

impl From<TextCheckpointEntry> for TextCheckpoint {
    fn from(stored: TextCheckpointEntry) -> Self {
        let part = |entry: TextEntry| TextPart {
            index: entry.index,
            first_event: entry.first,
            last_event: entry.last,
            text: entry.text,
            versions: entry.versions,
        };
        Self { parts: stored.texts.into_iter().map(part).collect() }
    }
}

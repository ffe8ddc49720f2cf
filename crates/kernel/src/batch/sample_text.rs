//! Texts that are assembled from the events of their runs.

use super::TextPart;
use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Number of the first event of a text.
pub const FIRST_EVENT_NUMBER: u64 = 1;

/// Partial text of an item: the events received so far, numbered without gaps, from one or more consecutive runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleText {
    /// Data of the events, separated by line feeds.
    text: String,
    /// Number of the last event.
    #[serde(rename = "last")]
    last_event: Option<u64>,
    /// Versions of the weights that generated the events, ascending.
    versions: Vec<u64>,
    /// Version of the software that generated the events; `None` before the first one, or if a daemon of an earlier
    /// release did not keep it.
    #[serde(default)]
    software: Option<SharedName>,
    /// Length of the portion that is in checkpoints, including one whose write is not confirmed.
    #[serde(skip)]
    saved: SavedLength,
}

/// Length of the portion of a text that is in checkpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SavedLength {
    events: u64,
    bytes: usize,
}

impl SampleText {
    /// Number of the last event; `None` if there are no events.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of events received.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.last_event.map_or(0, |last| last.saturating_sub(FIRST_EVENT_NUMBER - 1))
    }

    /// Length of the text, in bytes.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        self.text.len()
    }

    /// Number of events that are in no checkpoint.
    #[must_use]
    pub fn unsaved_count(&self) -> u64 {
        self.event_count() - self.saved.events
    }

    /// Versions of the weights that generated the text, ascending.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Version of the software that generated the text, without which it cannot be continued. `None` if there are no
    /// events or it is not known.
    #[must_use]
    pub fn software(&self) -> Option<&SharedName> {
        self.software.as_ref()
    }

    /// Appends an event that an upstream with the version `software` of its software generated. Returns false without a
    /// change if its number doesn't follow that of the last event, or isn't [`FIRST_EVENT_NUMBER`] in an empty text, or if
    /// other software generated the text.
    pub fn push_event(&mut self, number: u64, version: u64, software: &SharedName, data: &str) -> bool {
        if number != self.last_event.map_or(FIRST_EVENT_NUMBER, |last| last.saturating_add(1)) {
            return false;
        }
        if self.last_event.is_none() {
            self.software = Some(software.clone());
        } else if self.software.as_ref() != Some(software) {
            return false;
        }
        self.append(number, data, &[version]);
        true
    }

    /// Returns the events that are in no checkpoint and marks them as saved; `None` if there are none.
    /// `item_index` is the index of the item in its batch job.
    pub fn take_unsaved_part(&mut self, item_index: usize) -> Option<TextPart> {
        let last_event = self.last_event?;
        if self.unsaved_count() == 0 {
            return None;
        }
        let first_event = FIRST_EVENT_NUMBER + self.saved.events;
        let separator_bytes = usize::from(self.saved.events > 0);
        let text = self.text[self.saved.bytes + separator_bytes..].to_owned();
        self.saved = SavedLength { events: self.event_count(), bytes: self.text.len() };
        let (versions, software) = (self.versions.clone(), self.software.clone());
        Some(TextPart { item_index, first_event, last_event, text, versions, software })
    }

    /// Marks all events as unsaved, so that they are written to the following checkpoints again.
    pub fn clear_saved(&mut self) {
        self.saved = SavedLength::default();
    }

    /// Appends a part that was read from a checkpoint. A part that starts with the first event replaces the text; a
    /// part that would leave a gap, that other software generated, or whose text does not have as many events as it
    /// says, is ignored. One of unknown software, by an earlier release, discards the text.
    pub fn replay_part(&mut self, part: &TextPart) {
        if !has_events(&part.text, part.first_event, part.last_event) {
            return;
        }
        if part.software.is_none() {
            *self = Self::default();
            return;
        }
        if part.first_event == FIRST_EVENT_NUMBER {
            *self = Self { software: part.software.clone(), ..Self::default() };
        } else if self.last_event.is_none_or(|last| part.first_event != last.saturating_add(1))
            || self.software != part.software
        {
            return;
        }
        self.append(part.last_event, &part.text, &part.versions);
        self.saved = SavedLength { events: self.event_count(), bytes: self.text.len() };
    }

    /// Whether the text has as many events as it says. False for a malformed text of another daemon.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        self.last_event.is_none_or(|last| has_events(&self.text, FIRST_EVENT_NUMBER, last))
    }

    /// Returns the text and the versions of the weights that generated it.
    #[must_use]
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.text, self.versions)
    }

    /// Appends the data of events of which the last has the number `last_event`.
    fn append(&mut self, last_event: u64, text: &str, versions: &[u64]) {
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(text);
        self.last_event = Some(last_event);
        for version in versions {
            if let Err(position) = self.versions.binary_search(version) {
                self.versions.insert(position, *version);
            }
        }
    }
}

/// Whether `text` can hold the events from `first` to `last`, which are separated by line feeds. An event may contain line
/// feeds of its own.
fn has_events(text: &str, first: u64, last: u64) -> bool {
    let line_feeds = text.bytes().filter(|byte| *byte == b'\n').count() as u64;
    first >= FIRST_EVENT_NUMBER && first <= last && last - first <= line_feeds
}

//! A text while its events arrive.

use super::TextPart;
use serde::{Deserialize, Serialize};

/// Number of a text's first event.
pub const FIRST_EVENT_NUMBER: u64 = 1;

/// Events received so far, from one or several runs that follow each other without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleText {
    text: String,
    last: Option<u64>,
    versions: Vec<u64>,
    /// How much of it is on record, or on its way there.
    #[serde(skip)]
    saved: SavedMark,
}

/// The part of a text that is on record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SavedMark {
    events: u64,
    bytes: usize,
}

impl SampleText {
    /// Number of the last event, if there is one.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Number of events.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.last.map_or(0, |last| last + 1 - FIRST_EVENT_NUMBER)
    }

    /// Events that no checkpoint holds.
    #[must_use]
    pub fn unsaved_count(&self) -> u64 {
        self.event_count() - self.saved.events
    }

    /// Versions that generated the text, ascending.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Appends an event. False if its number doesn't follow the last one's, or isn't the first one's.
    pub fn push_event(&mut self, number: u64, version: u64, data: &str) -> bool {
        if number != self.last.map_or(FIRST_EVENT_NUMBER, |last| last + 1) {
            return false;
        }
        self.append(number, data, &[version]);
        true
    }

    /// The events that no checkpoint holds, which count as saved from now on.
    pub fn take_unsaved_part(&mut self, index: usize) -> Option<TextPart> {
        let last = self.last?;
        if self.unsaved_count() == 0 {
            return None;
        }
        let first = FIRST_EVENT_NUMBER + self.saved.events;
        let separator = usize::from(self.saved.events > 0);
        let text = self.text[self.saved.bytes + separator..].to_owned();
        self.saved = SavedMark { events: self.event_count(), bytes: self.text.len() };
        Some(TextPart { index, first_event: first, last_event: last, text, versions: self.versions.clone() })
    }

    /// Forgets that anything is on record.
    pub fn clear_saved(&mut self) {
        self.saved = SavedMark::default();
    }

    /// Takes over a part from the record. A part that leaves a gap is passed over.
    pub fn replay_part(&mut self, part: &TextPart) {
        if part.first_event == FIRST_EVENT_NUMBER {
            *self = Self::default();
        } else if self.last.is_none_or(|last| part.first_event != last + 1) {
            return;
        }
        self.append(part.last_event, &part.text, &part.versions);
        self.saved = SavedMark { events: self.event_count(), bytes: self.text.len() };
    }

    /// The text and its versions.
    #[must_use]
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.text, self.versions)
    }

    fn append(&mut self, last: u64, text: &str, versions: &[u64]) {
        if self.last.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(text);
        self.last = Some(last);
        for version in versions {
            if let Err(at) = self.versions.binary_search(version) {
                self.versions.insert(at, *version);
            }
        }
    }
}

//! A text while its events arrive.

use serde::{Deserialize, Serialize};

/// Number of a text's first event.
pub const FIRST_EVENT: u64 = 1;

/// Events received so far, from one or several runs that follow each other without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleText {
    text: String,
    last: Option<u64>,
    versions: Vec<u64>,
}

impl SampleText {
    /// Number of the last event, if there is one.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Versions that generated the text, ascending.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Appends an event. False if its number doesn't follow the last one's, or isn't the first one's.
    pub fn push(&mut self, number: u64, version: u64, data: &str) -> bool {
        if number != self.last.map_or(FIRST_EVENT, |last| last + 1) {
            return false;
        }
        if self.last.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last = Some(number);
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
        true
    }

    /// The text and its versions.
    #[must_use]
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.text, self.versions)
    }
}

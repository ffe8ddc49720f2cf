//! Texts in the middle, as put on record for the next owner.

/// Events of one text that follow those of earlier checkpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextPart {
    /// Index of the item.
    pub index: usize,
    /// Number of the part's first event. A part that begins with the text's first event replaces what was before.
    pub first_event: u64,
    /// Number of its last event.
    pub last_event: u64,
    /// Data of its events, separated by line feeds.
    pub text: String,
    /// Versions that generated the text up to here.
    pub versions: Vec<u64>,
}

/// What is put on record together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextCheckpoint {
    /// Parts of different items.
    pub parts: Vec<TextPart>,
}

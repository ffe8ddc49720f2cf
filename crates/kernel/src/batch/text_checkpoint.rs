//! Checkpoints of partial texts, from which the next owner of a batch job resumes.

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
}

/// Parts of partial texts that are stored in one write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextCheckpoint {
    /// At most one part per item.
    pub parts: Vec<TextPart>,
}

//! Which weight version produced which tokens of a sample.

use serde::{Deserialize, Serialize};

/// A run of tokens that one weight version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSegment {
    /// Index of the first token.
    pub start: u32,
    /// Index after the last token.
    pub end: u32,
    /// Weight version, as the engine itself reported it.
    pub version: u64,
}

impl TokenSegment {
    /// Appends `tokens` of `version`, extending the last segment when the version is the same.
    pub fn append(segments: &mut Vec<Self>, tokens: u32, version: u64) {
        let start = segments.last().map_or(0, |segment| segment.end);
        let end = start + tokens;
        match segments.last_mut() {
            Some(last) if last.version == version => last.end = end,
            _ => segments.push(Self { start, end, version }),
        }
    }

    /// The oldest version among `segments`, which decides staleness.
    #[must_use]
    pub fn oldest_version(segments: &[Self]) -> Option<u64> {
        segments.iter().map(|segment| segment.version).min()
    }
}

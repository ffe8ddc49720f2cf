//! One event of a streamed answer.

use serde::{Deserialize, Serialize};

/// New text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChoiceDelta {
    /// Text.
    #[serde(default)]
    pub content: String,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// New text.
    #[serde(default)]
    pub delta: ChoiceDelta,
    /// Set in the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Token counts of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens read.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChunk {
    /// Id of the answer.
    #[serde(default)]
    pub id: String,
    /// Choices; this service uses the first.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Weight version that produced these tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_version: Option<u64>,
    /// Tokens in this chunk.
    #[serde(default)]
    pub tokens: u32,
    /// Set in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

//! Event of a streamed completion.

use serde::{Deserialize, Serialize};

/// Text that an event adds to the completion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChoiceDelta {
    /// Added text.
    #[serde(default)]
    pub content: String,
}

/// Choice of a chunk: one of several completions that are generated in parallel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Text that the event adds to this choice.
    #[serde(default)]
    pub delta: ChoiceDelta,
    /// Reason why the generation ended; set in the last chunk only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Token counts of a complete response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// Data of one event of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChunk {
    /// Id of the completion, the same in all its chunks.
    #[serde(default)]
    pub id: String,
    /// Choices; this service uses the first.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Weight version that generated the tokens of this chunk; `None` if the engine does not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_version: Option<u64>,
    /// Number of tokens in this chunk.
    #[serde(default)]
    pub tokens: u32,
    /// Token counts; set in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

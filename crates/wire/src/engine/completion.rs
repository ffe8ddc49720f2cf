//! Messages of `POST /v1/chat/completions` and `POST /v1/completions`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Fields of a completion request that this service reads or writes; callers' other fields are passed through
/// unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the service that runs the request.
    pub model: Arc<str>,
    /// Messages of the chat so far; empty for a plain completion.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a plain completion; `None` for a chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Maximum number of tokens to generate; `None` if the caller sets none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Seed of the sampler; `None` if the caller sets none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

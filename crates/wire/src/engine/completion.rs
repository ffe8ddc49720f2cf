//! `POST /v1/chat/completions` and `/v1/completions`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The fields that this service reads or writes; all others pass through untouched.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Service to run on.
    pub model: Arc<str>,
    /// Chat so far.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to answer by server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Seed of the sampler.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

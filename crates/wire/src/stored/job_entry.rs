//! A batch job on record.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};

/// What every daemon knows of a batch job. Its items stand in parts of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEntry {
    /// Organisation that submitted it; empty where there are none.
    pub organisation: SharedName,
    /// Host of the submission, which selects the route.
    pub host: SharedName,
    /// Path of the submission.
    pub path: SharedName,
    /// Number of items.
    #[serde(rename = "items")]
    pub item_count: usize,
    /// Model that it is for, if it names one.
    #[serde(default)]
    pub model: Option<SharedName>,
    /// Oldest version of the model that may generate its texts.
    #[serde(default)]
    pub oldest_version: u64,
    /// Tokens that its texts are expected to have together.
    #[serde(default)]
    #[serde(rename = "tokens")]
    pub expected_tokens: u64,
    /// First submission in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

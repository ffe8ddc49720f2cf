//! Stored entry of a batch job.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};

/// Properties of a batch job that every daemon caches. Its items are stored separately, in the parts of the
/// submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEntry {
    /// Organisation that submitted the job; empty if no organisations are configured.
    pub organisation: SharedName,
    /// Host of the submission, which selects the route.
    pub host: SharedName,
    /// Path of the submission.
    pub path: SharedName,
    /// Number of items.
    #[serde(rename = "items")]
    pub item_count: usize,
    /// Model that the job is for; `None` if the submission names none.
    #[serde(default)]
    pub model: Option<SharedName>,
    /// Oldest weights version of the model that may generate the texts.
    #[serde(default)]
    pub oldest_version: u64,
    /// Expected number of tokens of all texts together.
    #[serde(default)]
    #[serde(rename = "tokens")]
    pub expected_tokens: u64,
    /// Time of the first submission in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
}

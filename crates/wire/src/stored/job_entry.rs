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
    /// Version of the configuration under which the job was accepted; `None` in entries of earlier releases.
    #[serde(default)]
    #[serde(rename = "config")]
    pub config_version: Option<u64>,
    /// Time of the first submission in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Region of the daemon that accepted the job; empty in entries of earlier releases.
    #[serde(default)]
    pub region: SharedName,
}

impl JobEntry {
    /// Largest expected number of tokens of a job, so that sums over many jobs cannot overflow.
    pub const EXPECTED_TOKENS_MAX: u64 = 1 << 40;
    /// Largest number of items of a job, far above what fits into the largest submission.
    const ITEM_COUNT_MAX: usize = 1 << 24;

    /// The entry with its numbers within their limits; another release or a fault may have stored others.
    #[must_use]
    pub fn limited(self) -> Self {
        Self {
            expected_tokens: self.expected_tokens.min(Self::EXPECTED_TOKENS_MAX),
            item_count: self.item_count.min(Self::ITEM_COUNT_MAX),
            ..self
        }
    }
}

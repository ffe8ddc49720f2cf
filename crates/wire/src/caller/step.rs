//! `POST /v1/steps` and `POST /v1/steps/fetch`.

use pimentoslip_kernel::{FetchCursor, SampleResult, StepSpec, TokenSegment};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Opens a step. The same body again opens the same step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRequest {
    /// Trainer, unique in its organisation.
    pub trainer: Arc<str>,
    /// Step, unique in its trainer.
    pub step: u64,
    /// Service that samples.
    pub service: Arc<str>,
    /// One prompt a group.
    pub prompts: Vec<Arc<str>>,
    /// Samples wanted of each prompt.
    pub group_size: usize,
    /// Most tokens of a sample.
    pub max_tokens: u32,
}

impl From<OpenRequest> for StepSpec {
    fn from(request: OpenRequest) -> Self {
        Self {
            service: request.service,
            prompts: request.prompts,
            group_size: request.group_size,
            max_tokens: request.max_tokens,
        }
    }
}

/// A step is open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenResponse {
    /// Samples in the step.
    #[serde(rename = "samples")]
    pub sample_count: usize,
}

/// Fetches whole samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchRequest {
    /// Trainer.
    pub trainer: Arc<str>,
    /// Step.
    pub step: u64,
    /// What the trainer holds.
    #[serde(default)]
    pub cursor: FetchCursor,
    /// Newest version that the trainer published.
    #[serde(default)]
    #[serde(rename = "published")]
    pub published_version: u64,
    /// Most samples in one answer.
    #[serde(default = "default_max")]
    #[serde(rename = "max")]
    pub samples_max: usize,
    /// How long to wait for the first sample, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

fn default_max() -> usize {
    256
}

/// A run of tokens by one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentBody {
    /// Index of the first token.
    pub start: u32,
    /// Index after the last token.
    pub end: u32,
    /// Weight version.
    pub version: u64,
}

impl From<TokenSegment> for SegmentBody {
    fn from(segment: TokenSegment) -> Self {
        Self { start: segment.start, end: segment.end, version: segment.version }
    }
}

/// One sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleBody {
    /// Position in the step: `group * group_size + index`.
    #[serde(rename = "sample")]
    pub position: usize,
    /// Generated text.
    pub text: String,
    /// Which version produced which tokens.
    pub segments: Vec<SegmentBody>,
}

impl From<SampleResult> for SampleBody {
    fn from(result: SampleResult) -> Self {
        let segments = result.segments.into_iter().map(SegmentBody::from).collect();
        Self { position: result.sample, text: result.text, segments }
    }
}

/// Samples handed over. Add them to the cursor of the next fetch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchResponse {
    /// Samples that the cursor lacked.
    pub samples: Vec<SampleBody>,
    /// Whether the cursor held every sample already.
    pub complete: bool,
    /// Samples in the step.
    #[serde(rename = "total")]
    pub sample_count: usize,
}

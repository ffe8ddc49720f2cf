//! One attempt to generate a sample of a step on an engine.

use crate::{
    request_id::RequestId,
    shared_state::SharedState,
    upstream::{UpstreamRequest, dispatch},
};
use actix_web::http::Method;
use awc::Client;
use futures_util::StreamExt;
use pimentoslip_kernel::{RequestClass, SampleResult, SharedName, StepSpec, StreamScanner, TokenSegment, fingerprint};
use pimentoslip_wire::engine::{ChatMessage, CompletionRequest, StreamChunk};
use std::sync::Arc;

/// Priority of samples. Engines run lower values first, so callers' requests run before samples.
const SAMPLE_PRIORITY: u32 = 200;
/// Length of the prompt prefix that is hashed for routing, so that an upstream with this prefix cached is preferred.
const PROMPT_PREFIX_BYTES: usize = 256;

/// Reason why an attempt did not generate a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleError {
    /// No engine responded.
    #[error("no engine responded; the sample is run again")]
    NoResponse,
    /// The response ended without its terminal marker.
    #[error("the response ended before its terminal marker; the sample is run again")]
    Truncated,
    /// The response has no tokens, or a chunk is malformed or has no weight version.
    #[error(
        "the response has no tokens, or a chunk is malformed or named no weight version; check the engine's release"
    )]
    VersionMissing,
}

/// An attempt at one sample of a step.
#[derive(Clone, Debug)]
pub struct SampleAttempt {
    /// Organisation that opened the step.
    pub organisation: SharedName,
    /// Key of the step in its site.
    pub step: SharedName,
    /// Position of the sample in the step.
    pub position: usize,
    /// Number of the attempt, unique in the step.
    pub attempt: u64,
    /// Maximum number of samples in flight on one upstream.
    pub inflight_max: u64,
    /// Timeout of the attempt, counted from its start.
    pub timeout_ms: u64,
}

impl SampleAttempt {
    /// Streams the sample from an engine, and records which weight version generated which tokens.
    pub async fn run(
        self,
        shared: Arc<SharedState>,
        client: Client,
        spec: Arc<StepSpec>,
    ) -> Result<SampleResult, SampleError> {
        let request = self.upstream_request(&shared, &spec);
        let mut upstream_response = dispatch(&shared, &client, &request).await.map_err(|_| SampleError::NoResponse)?;
        let mut scanner = StreamScanner::default();
        let mut sample = SampleResult { position: self.position, text: String::new(), segments: Vec::new() };
        let mut versions_present = true;
        while let Some(chunk) = upstream_response.response.next().await {
            let Ok(chunk) = chunk else {
                upstream_response.guard.connection_lost().await;
                return Err(SampleError::Truncated);
            };
            scanner.feed(&chunk, |data| versions_present &= append_chunk(&mut sample, data));
        }
        if !scanner.is_finished() {
            upstream_response.guard.connection_lost().await;
            return Err(SampleError::Truncated);
        }
        upstream_response.guard.request_completed();
        let tokens = sample.segments.last().map_or(0, |segment| u64::from(segment.end));
        shared.record_usage(&self.organisation, &spec.service, tokens);
        if !versions_present || sample.segments.is_empty() {
            return Err(SampleError::VersionMissing);
        }
        Ok(sample)
    }

    /// Request to an engine for the sample. Its seed depends only on the step and the sample, so that every attempt
    /// sends the same request.
    fn upstream_request(&self, shared: &SharedState, spec: &StepSpec) -> UpstreamRequest {
        let prompt = &spec.prompts[self.position / spec.group_size];
        let seed = fingerprint(&[self.step.as_bytes(), &self.position.to_be_bytes()]);
        let completion = CompletionRequest {
            model: spec.service.clone(),
            messages: vec![ChatMessage { role: "user".to_owned(), content: prompt.to_string() }],
            prompt: None,
            max_tokens: Some(spec.max_tokens),
            stream: true,
            seed: Some(seed),
        };
        // The request consists of plain strings and numbers, which always encode.
        let body = serde_json::to_vec(&completion).unwrap_or_default();
        let prompt_prefix = &prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)];
        UpstreamRequest {
            id: RequestId::new(format!("{}/{}/{}", self.step, self.position, self.attempt)),
            organisation: self.organisation.clone(),
            service: spec.service.clone(),
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            content_type: Some("application/json".to_owned()),
            accept: Some("text/event-stream".to_owned()),
            is_owed: true,
            fingerprint: fingerprint(&[self.organisation.as_bytes(), prompt.as_bytes()]),
            prefix_hash: Some(fingerprint(&[prompt_prefix])),
            body: body.into(),
            class: RequestClass::Idempotent,
            priority: SAMPLE_PRIORITY,
            deadline: shared.now().plus_ms(self.timeout_ms),
            inflight_max: self.inflight_max,
        }
    }
}

/// Adds the text and tokens of a chunk to `sample`. Returns false if the chunk is malformed or has tokens without a
/// weight version.
fn append_chunk(sample: &mut SampleResult, data: &[u8]) -> bool {
    let Ok(chunk) = serde_json::from_slice::<StreamChunk>(data) else { return false };
    for choice in &chunk.choices {
        sample.text.push_str(&choice.delta.content);
    }
    if chunk.tokens == 0 {
        return true;
    }
    let Some(version) = chunk.weight_version else { return false };
    TokenSegment::append(&mut sample.segments, chunk.tokens, version);
    true
}

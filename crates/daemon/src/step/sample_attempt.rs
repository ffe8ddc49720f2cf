//! One attempt at one sample.

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

/// Engines run trainers' work after customers' calls.
const SAMPLE_PRIORITY: u32 = 200;
const PREFIX_BYTES: usize = 256;

/// Why an attempt gave no sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SampleError {
    /// No engine answered.
    #[error("no engine answered; the sample is run again")]
    NoResponse,
    /// The answer ended without its terminal marker.
    #[error("the answer was cut; the sample is run again")]
    Truncated,
    /// A chunk named no weight version.
    #[error("a chunk named no weight version; check the engine's release")]
    VersionMissing,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct SampleAttempt {
    /// Organisation.
    pub organisation: SharedName,
    /// Step.
    pub step: SharedName,
    /// Position in the step.
    pub sample: usize,
    /// Number of the attempt.
    pub attempt: u64,
    /// Most samples on one upstream.
    pub inflight_max: u64,
    /// Time for the attempt in milliseconds from its start.
    pub timeout_ms: u64,
}

impl SampleAttempt {
    /// Streams the sample from an engine and keeps which version produced which tokens.
    pub async fn run(
        self,
        shared: Arc<SharedState>,
        client: Client,
        spec: Arc<StepSpec>,
    ) -> Result<SampleResult, SampleError> {
        let request = self.request(&shared, &spec);
        let mut dispatched = dispatch(&shared, &client, &request).await.map_err(|_| SampleError::NoResponse)?;
        let mut scanner = StreamScanner::default();
        let mut sample = SampleResult { sample: self.sample, text: String::new(), segments: Vec::new() };
        let mut versions_known = true;
        while let Some(chunk) = dispatched.response.next().await {
            let Ok(chunk) = chunk else {
                dispatched.guard.connection_lost().await;
                return Err(SampleError::Truncated);
            };
            scanner.feed(&chunk, |data| versions_known &= take_chunk(&mut sample, data));
        }
        if !scanner.is_finished() {
            dispatched.guard.connection_lost().await;
            return Err(SampleError::Truncated);
        }
        dispatched.guard.request_completed();
        let tokens = sample.segments.last().map_or(0, |segment| u64::from(segment.end));
        shared.record_usage(&self.organisation, &spec.service, tokens);
        if !versions_known || sample.segments.is_empty() {
            return Err(SampleError::VersionMissing);
        }
        Ok(sample)
    }

    fn request(&self, shared: &SharedState, spec: &StepSpec) -> UpstreamRequest {
        let prompt = &spec.prompts[self.sample / spec.group_size];
        let seed = fingerprint(&[self.step.as_bytes(), &self.sample.to_be_bytes()]);
        let question = CompletionRequest {
            model: spec.service.clone(),
            messages: vec![ChatMessage { role: "user".to_owned(), content: prompt.to_string() }],
            prompt: None,
            max_tokens: Some(spec.max_tokens),
            stream: true,
            seed: Some(seed),
        };
        // The question consists of plain strings and numbers, which always encode.
        let body = serde_json::to_vec(&question).unwrap_or_default();
        let head = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        UpstreamRequest {
            id: RequestId::new(format!("{}/{}/{}", self.step, self.sample, self.attempt)),
            organisation: self.organisation.clone(),
            service: spec.service.clone(),
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            content_type: Some("application/json".to_owned()),
            accept: Some("text/event-stream".to_owned()),
            fingerprint: fingerprint(&[self.organisation.as_bytes(), prompt.as_bytes()]),
            prefix_hash: Some(fingerprint(&[head])),
            body: body.into(),
            class: RequestClass::Idempotent,
            priority: SAMPLE_PRIORITY,
            deadline: shared.now().plus_ms(self.timeout_ms),
            inflight_max: self.inflight_max,
        }
    }
}

/// Adds a chunk; false when it has tokens of an unknown version.
fn take_chunk(sample: &mut SampleResult, data: &[u8]) -> bool {
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

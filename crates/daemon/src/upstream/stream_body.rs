//! A streamed answer on its way to the caller.

use super::UpstreamGuard;
use crate::{
    admission_gate::AdmissionGuard,
    api_error::ApiError,
    request_id::RequestId,
    shared_state::{InflightGuard, SharedState},
};
use actix_rt::time::Sleep;
use bytes::Bytes;
use futures_util::Stream;
use pimentoslip_kernel::{RefusalReason, RunState, SharedName, StreamScanner, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::engine::StreamChunk;
use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

/// How long the connection stays open after an error event.
const LINGER: Duration = Duration::from_millis(50);
/// How often a running stream looks whether its key still holds.
const KEY_CHECK_MS: u64 = 500;

/// Who reads the stream.
pub struct StreamOwner {
    /// State.
    pub shared: Arc<SharedState>,
    /// Organisation.
    pub organisation: SharedName,
    /// Id of the key.
    pub key: SharedName,
    /// Service.
    pub service: SharedName,
    /// Id of the request.
    pub id: RequestId,
}

/// Passes chunks on. The stream counts as whole only with its terminal marker; without it the caller
/// gets an error event and a connection that ends early.
pub struct StreamBody<S> {
    owner: StreamOwner,
    inner: S,
    scanner: StreamScanner,
    tokens: u64,
    next_key_check: TimePoint,
    upstream: UpstreamGuard,
    admission: AdmissionGuard,
    failed: Option<(ApiError, Pin<Box<Sleep>>)>,
    done: bool,
    _inflight: InflightGuard,
}

impl<S> StreamBody<S> {
    /// Wraps the body of an answer.
    pub fn new(
        owner: StreamOwner,
        inner: S,
        upstream: UpstreamGuard,
        admission: AdmissionGuard,
        inflight: InflightGuard,
    ) -> Self {
        let next_key_check = owner.shared.now().plus_ms(KEY_CHECK_MS);
        Self {
            owner,
            inner,
            scanner: StreamScanner::default(),
            tokens: 0,
            next_key_check,
            upstream,
            admission,
            failed: None,
            done: false,
            _inflight: inflight,
        }
    }

    fn scan(&mut self, chunk: &[u8]) {
        let tokens = &mut self.tokens;
        self.scanner.feed(chunk, |data| {
            let Ok(chunk) = serde_json::from_slice::<StreamChunk>(data) else { return };
            *tokens += u64::from(chunk.tokens.max(1));
            if let Some(usage) = chunk.usage {
                *tokens = usage.completion_tokens;
            }
        });
    }

    /// Whether the key that the stream began with still holds, looked at every [`KEY_CHECK_MS`].
    fn key_holds(&mut self) -> bool {
        let shared = &self.owner.shared;
        let now = shared.now();
        if now < self.next_key_check {
            return true;
        }
        self.next_key_check = now.plus_ms(KEY_CHECK_MS);
        shared.is_config_fresh() && shared.config().is_key_valid(&self.owner.organisation, &self.owner.key)
    }

    /// Ends the stream with an error event.
    fn fail(&mut self, reason: RefusalReason) -> Bytes {
        let error = ApiError { reason, run_state: RunState::Ran, request_id: self.owner.id.clone() };
        self.owner.shared.metrics.count_refusal(reason);
        LogLine::new("stream_failed").field("request_id", &*self.owner.id).field("reason", reason.code()).warn();
        let body = serde_json::to_string(&error.refusal()).unwrap_or_default();
        // The connection must not end before the event has left.
        self.failed = Some((error, Box::pin(actix_rt::time::sleep(LINGER))));
        Bytes::from(format!("event: error\ndata: {body}\n\n"))
    }

    fn finish(&mut self) {
        self.done = true;
        self.upstream.ran_clean();
        LogLine::new("stream_done").field("request_id", &*self.owner.id).field("tokens", self.tokens).info();
    }
}

impl<S, E> Stream for StreamBody<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    type Item = Result<Bytes, ApiError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.done {
            return Poll::Ready(None);
        }
        if let Some((error, linger)) = &mut this.failed {
            std::task::ready!(linger.as_mut().poll(context));
            this.done = true;
            return Poll::Ready(Some(Err(error.clone())));
        }
        let next = std::task::ready!(Pin::new(&mut this.inner).poll_next(context));
        if !this.key_holds() {
            return Poll::Ready(Some(Ok(this.fail(RefusalReason::KeyUnknown))));
        }
        match next {
            Some(Ok(chunk)) => {
                this.scan(&chunk);
                if this.scanner.has_overlong_line() {
                    return Poll::Ready(Some(Ok(this.fail(RefusalReason::AnswerMismatch))));
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            None if this.scanner.is_finished() => {
                this.finish();
                Poll::Ready(None)
            }
            Some(Err(_)) if this.scanner.is_finished() => {
                this.finish();
                Poll::Ready(None)
            }
            Some(Err(_)) | None => {
                this.upstream.lost_later();
                Poll::Ready(Some(Ok(this.fail(RefusalReason::UpstreamLost))))
            }
        }
    }
}

impl<S> Drop for StreamBody<S> {
    fn drop(&mut self) {
        self.admission.settle(self.tokens);
        self.owner.shared.record_usage(&self.owner.organisation, &self.owner.service, self.tokens);
    }
}

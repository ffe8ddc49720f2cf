//! Passes a streamed response from an upstream to the caller.

use super::UpstreamGuard;
use crate::{
    admission_controller::AdmissionGuard,
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

/// Time for which the connection stays open after an error event, so that the event is sent before it closes.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a running stream checks whether the caller's key is still valid.
const KEY_CHECK_INTERVAL_MS: u64 = 500;

/// The request whose response is streamed, and its caller.
pub struct StreamContext {
    /// State of the daemon.
    pub shared: Arc<SharedState>,
    /// Organisation of the caller.
    pub organisation: SharedName,
    /// ID of the caller's key.
    pub key_id: SharedName,
    /// Name of the service.
    pub service: SharedName,
    /// ID of the request.
    pub id: RequestId,
}

/// Response body that passes on the upstream's chunks and counts their tokens. The response is complete only if the
/// terminal marker was received; without it the caller receives an error event, and the connection is closed before the
/// end of the body.
pub struct StreamBody<S> {
    context: StreamContext,
    chunks: S,
    scanner: StreamScanner,
    /// Number of generated tokens so far.
    token_count: u64,
    next_key_check: TimePoint,
    /// Counts the request as in flight on the upstream.
    upstream_guard: UpstreamGuard,
    /// Counts the request as running in the fair queue of its service.
    admission_guard: AdmissionGuard,
    /// After an error event was sent: the error, and the delay before the connection is closed.
    failure: Option<(ApiError, Pin<Box<Sleep>>)>,
    /// Whether the body has ended.
    done: bool,
    /// Delays a shutdown of the daemon until the stream has ended.
    _inflight_guard: InflightGuard,
}

impl<S> StreamBody<S> {
    /// Wraps `chunks`, the body of an upstream's response. The guards are held until the stream is dropped.
    pub fn new(
        context: StreamContext,
        chunks: S,
        upstream_guard: UpstreamGuard,
        admission_guard: AdmissionGuard,
        inflight_guard: InflightGuard,
    ) -> Self {
        let next_key_check = context.shared.now().plus_ms(KEY_CHECK_INTERVAL_MS);
        Self {
            context,
            chunks,
            scanner: StreamScanner::default(),
            token_count: 0,
            next_key_check,
            upstream_guard,
            admission_guard,
            failure: None,
            done: false,
            _inflight_guard: inflight_guard,
        }
    }

    /// Counts the tokens of the events in a chunk of bytes, at least one for each event. The total reported by the
    /// upstream, if any, replaces the count.
    fn scan(&mut self, chunk: &[u8]) {
        let token_count = &mut self.token_count;
        self.scanner.feed(chunk, |data| {
            let Ok(chunk) = serde_json::from_slice::<StreamChunk>(data) else { return };
            *token_count += u64::from(chunk.tokens.max(1));
            if let Some(usage) = chunk.usage {
                *token_count = usage.completion_tokens;
            }
        });
    }

    /// Whether the caller's key is still valid and this daemon's configuration is fresh enough to rely on. Checked
    /// every [`KEY_CHECK_INTERVAL_MS`]; true in between.
    fn is_key_valid(&mut self) -> bool {
        let shared = &self.context.shared;
        let now = shared.now();
        if now < self.next_key_check {
            return true;
        }
        self.next_key_check = now.plus_ms(KEY_CHECK_INTERVAL_MS);
        shared.is_config_fresh() && shared.config().is_key_valid(&self.context.organisation, &self.context.key_id)
    }

    /// Fails the stream with `reason`. Returns the error event to send as its last chunk.
    fn fail(&mut self, reason: RefusalReason) -> Bytes {
        let error = ApiError { reason, run_state: RunState::Ran, request_id: self.context.id.clone() };
        self.context.shared.metrics.count_refusal(reason);
        LogLine::new("stream_failed").field("request_id", &*self.context.id).field("reason", reason.code()).warn();
        let body = serde_json::to_string(&error.refusal()).unwrap_or_default();
        // The connection must not be closed before the event has been sent.
        self.failure = Some((error, Box::pin(actix_rt::time::sleep(CLOSE_DELAY))));
        Bytes::from(format!("event: error\ndata: {body}\n\n"))
    }

    /// Records that the response was received completely.
    fn finish(&mut self) {
        self.done = true;
        self.upstream_guard.request_completed();
        LogLine::new("stream_done").field("request_id", &*self.context.id).field("tokens", self.token_count).info();
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
        if let Some((error, close_delay)) = &mut this.failure {
            std::task::ready!(close_delay.as_mut().poll(context));
            this.done = true;
            return Poll::Ready(Some(Err(error.clone())));
        }
        let next_chunk = std::task::ready!(Pin::new(&mut this.chunks).poll_next(context));
        if !this.is_key_valid() {
            return Poll::Ready(Some(Ok(this.fail(RefusalReason::KeyUnknown))));
        }
        match next_chunk {
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
                this.upstream_guard.connection_lost_in_background();
                Poll::Ready(Some(Ok(this.fail(RefusalReason::UpstreamLost))))
            }
        }
    }
}

impl<S> Drop for StreamBody<S> {
    fn drop(&mut self) {
        self.admission_guard.record_actual_tokens(self.token_count);
        self.context.shared.record_usage(&self.context.organisation, &self.context.service, self.token_count);
    }
}

//! Forwards a request for a stream: passes events on as they arrive, and continues a stream that breaks off.

use super::{
    api_refusal::ApiRefusal,
    proxy::{RESPONSE_BYTES_MAX, caller_response},
    request_target::RequestTarget,
    upstream_attempts::{AnsweredAttempt, AttemptPlan, AttemptResponse, run_unfinished, try_upstreams},
};
use crate::{
    edge_metrics::EdgeMetrics,
    relay::{
        AttemptFailure, OpenStream, StreamAttempt, StreamPortion, UpstreamGuard, forwarded_response_headers,
        open_stream,
    },
    suspect::request_completed,
    worker_parts::WorkerParts,
};
use actix_web::{HttpResponse, http::StatusCode};
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, stream};
use pimentoslip_kernel::{CapacityNeed, RouteKind, SamplerOutcome, SamplerQuery, StreamOrigin, TimePoint};
use pimentoslip_server::{BufferShare, ClientWatch};
use pimentoslip_telemetry::LogLine;
use std::{io, time::Duration};
use tokio::sync::mpsc;

/// Portions of a stream that wait for a caller that reads slowly; then the upstream waits as well.
const PORTIONS_MAX: usize = 16;
/// A stream without an event for this long is continued at another upstream that has room. Callers give up after two
/// seconds or more.
const STALL_MS: u64 = 1_500;
/// The same in latency objectives of the route, if that is longer.
const STALL_OBJECTIVES: u64 = 3;
/// Interval at which a portion that waits for memory is tried again.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for an upstream that can continue a stream.
const CONTINUE_WAIT_MS: u64 = 500;

impl<S> AttemptResponse for StreamAttempt<S>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    fn status(&self) -> StatusCode {
        match self {
            Self::Open(open) => open.status(),
            Self::Whole(response) => response.status,
        }
    }

    fn is_complete(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

/// Forwards a request for a stream. The response starts with the first event; its body is passed on by a task of its own.
pub async fn forward_stream(
    parts: &WorkerParts,
    mut plan: AttemptPlan,
    client_watch: Option<ClientWatch>,
) -> Result<HttpResponse, ApiRefusal> {
    let answered = try_stream(parts, &plan).await?;
    let AnsweredAttempt { response, guard, runs } = answered;
    let open = match response {
        StreamAttempt::Open(open) => open,
        StreamAttempt::Whole(response) => return Ok(caller_response(response)),
    };
    stream_started(parts, &plan.target, &guard);
    // Whatever happens from now on, the events of this answer are of one software.
    plan.target = RequestTarget {
        software: Some(guard.record.software.clone()),
        new_stream_key: None,
        service: guard.record.service.clone(),
        ..plan.target
    };
    let mut response = HttpResponse::build(open.status());
    for (name, value) in &forwarded_response_headers(open.headers()) {
        response.append_header((name.clone(), value.clone()));
    }
    let (sender, receiver) = mpsc::channel::<io::Result<QueuedPortion>>(PORTIONS_MAX);
    let last_event = plan.call.last_event_id;
    let progress_at = parts.state.now();
    let relay = StreamRelay { parts: parts.clone(), plan, runs, sender, last_event, progress_at, portion_count: 0 };
    actix_rt::spawn(relay.run(open, guard, client_watch));
    let portions = stream::unfold(receiver, |mut receiver| async move {
        let portion = receiver.recv().await?;
        Some((portion.map(|portion| portion.bytes), receiver))
    });
    Ok(response.streaming(portions))
}

/// Sends the request to upstreams until one starts the stream, or resumes it.
async fn try_stream(
    parts: &WorkerParts,
    plan: &AttemptPlan,
) -> Result<AnsweredAttempt<StreamAttempt<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<>>>, ApiRefusal>
{
    let open = async |guard: &UpstreamGuard, sent_at: TimePoint| {
        let opening = open_stream(&parts.upstream_client, &plan.call, guard, sent_at, RESPONSE_BYTES_MAX);
        tokio::pin!(opening);
        let may_repeat = plan.call.is_repeatable;
        loop {
            tokio::select! {
                result = &mut opening => return result,
                () = guard.path_lost(sent_at), if may_repeat => return Err(AttemptFailure::Unacknowledged),
                () = actix_rt::time::sleep(Duration::from_millis(stall_ms(plan))) => {}
            }
            if may_repeat && has_room_elsewhere(parts, plan, guard) {
                return Err(AttemptFailure::TimedOut);
            }
        }
    };
    try_upstreams(parts, plan, open).await
}

/// Whether another upstream could serve the plan's request at once. Otherwise a request that waits in the queue of its
/// upstream stays there.
fn has_room_elsewhere(parts: &WorkerParts, plan: &AttemptPlan, guard: &UpstreamGuard) -> bool {
    let excluded = [guard.record.id.clone()];
    let query = plan.target.query(&parts.state, &plan.call.id, &excluded, plan.permits);
    let query = SamplerQuery { capacity: CapacityNeed::FreeSlot, ..query };
    parts.state.upstreams().is_pickable(&query, parts.state.now())
}

/// Records the origin of a stream that is passed to its caller, who may resume it at any daemon.
fn stream_started(parts: &WorkerParts, target: &RequestTarget, guard: &UpstreamGuard) {
    let Some(key) = target.new_stream_key else { return };
    let stream = StreamOrigin { service: target.service.clone(), software: guard.record.software.clone() };
    let state = &parts.state;
    state.streams().started(key, stream, state.now());
    state.streams_started.notify_one();
}

/// Bytes of a stream that wait for its caller.
struct QueuedPortion {
    bytes: Bytes,
    /// Memory of the bytes.
    _share: BufferShare,
}

/// Passes a stream on to its caller.
struct StreamRelay {
    parts: WorkerParts,
    plan: AttemptPlan,
    /// Number of attempts in which the request may have run.
    runs: u32,
    sender: mpsc::Sender<io::Result<QueuedPortion>>,
    /// Number of the last event that was passed on, or that the caller had before; `None` if there is none.
    last_event: Option<u64>,
    /// When the last event was passed on, or the stream was begun at an upstream.
    progress_at: TimePoint,
    /// Number of portions passed on.
    portion_count: u64,
}

/// Why a portion of a stream was not passed on.
enum RelayEnd {
    /// The stream was passed on completely.
    Complete,
    /// The caller has closed its connection.
    ClientLeft,
    /// The process is about to exit.
    Stopping,
    /// The upstream failed.
    Failed(AttemptFailure),
}

impl StreamRelay {
    /// Passes the stream on until it ends. A stream that breaks off is continued at another upstream with the same software;
    /// otherwise the response ends without its end mark, so that it does not look complete.
    async fn run<S>(mut self, mut open: Box<OpenStream<S>>, mut guard: UpstreamGuard, client_watch: Option<ClientWatch>)
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
    {
        let _request_guard = self.parts.state.track_request();
        let started_at = self.parts.state.now();
        let end = self.pass_on(&mut open, &guard, &client_watch).await;
        let mut end = self.run_ended(end, &mut guard, open.monitor.event_interval_ms());
        drop((open, guard));
        while let RelayEnd::Failed(_) = end
            && let Some((mut open, mut guard)) = self.continue_stream().await
        {
            end = self.pass_on(&mut open, &guard, &client_watch).await;
            end = self.run_ended(end, &mut guard, open.monitor.event_interval_ms());
        }
        self.finish(end, started_at).await;
    }

    /// Waits for the next portion until the deadline. Fails earlier if the stream stalls while another upstream has room. Bytes
    /// that are no event do not count as progress.
    async fn next_portion<S>(
        &self,
        open: &mut OpenStream<S>,
        guard: &UpstreamGuard,
    ) -> Result<StreamPortion, AttemptFailure>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let state = &self.parts.state;
        let waiting_since = state.now();
        let mut checked_at = self.progress_at.plus_ms(stall_ms(&self.plan));
        loop {
            let wait = Duration::from_millis(self.plan.call.deadline.min(checked_at).since_ms(state.now()));
            let portion = tokio::select! {
                portion = actix_rt::time::timeout(wait, open.next()) => portion,
                () = guard.path_lost(waiting_since), if self.is_movable() => return Err(AttemptFailure::Unacknowledged),
            };
            if let Ok(portion) = portion {
                return portion;
            }
            checked_at = state.now().plus_ms(stall_ms(&self.plan));
            let is_over = state.now() >= self.plan.call.deadline;
            if is_over || (self.is_movable() && has_room_elsewhere(&self.parts, &self.plan, guard)) {
                return Err(AttemptFailure::TimedOut);
            }
        }
    }

    /// Passes on what one upstream sends.
    async fn pass_on<S>(
        &mut self,
        open: &mut OpenStream<S>,
        guard: &UpstreamGuard,
        client_watch: &Option<ClientWatch>,
    ) -> RelayEnd
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let state = self.parts.state.clone();
        let client_left = async {
            match client_watch {
                Some(client_watch) => client_watch.wait_for_close().await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(client_left);
        let stopping = state.planned_stop.wait_for_end();
        tokio::pin!(stopping);
        loop {
            let portion = tokio::select! {
                portion = self.next_portion(open, guard) => portion,
                () = &mut client_left => return RelayEnd::ClientLeft,
                () = &mut stopping => return RelayEnd::Stopping,
            };
            let portion = match portion {
                Ok(StreamPortion::Events(portion)) => portion,
                Ok(StreamPortion::End) => return RelayEnd::Complete,
                Err(failure) => return RelayEnd::Failed(failure),
            };
            if portion.last_event.is_some() {
                open.monitor.events_received(1, state.now());
            }
            self.portion_count += 1;
            let sent = tokio::select! {
                sent = self.queue(portion.bytes) => sent,
                () = &mut client_left => return RelayEnd::ClientLeft,
            };
            if !sent {
                return RelayEnd::ClientLeft;
            }
            if portion.last_event.is_some() {
                // The time for which the caller did not read is not the upstream's.
                self.progress_at = state.now();
                self.last_event = portion.last_event;
            }
        }
    }

    /// Queues bytes for the caller once there is room and memory for them. Returns false if the caller has left.
    async fn queue(&self, bytes: Bytes) -> bool {
        let mut share = self.parts.state.buffers.share();
        while !share.grow(bytes.len()) {
            actix_rt::time::sleep(MEMORY_CHECK_INTERVAL).await;
        }
        self.sender.send(Ok(QueuedPortion { bytes, _share: share })).await.is_ok()
    }

    /// Records how the run at an upstream ended.
    fn run_ended(&mut self, end: RelayEnd, guard: &mut UpstreamGuard, event_interval_ms: Option<u64>) -> RelayEnd {
        match &end {
            RelayEnd::Complete => guard.set_outcome(SamplerOutcome::Answered(event_interval_ms)),
            RelayEnd::ClientLeft | RelayEnd::Stopping => guard.set_outcome(SamplerOutcome::Abandoned),
            RelayEnd::Failed(failure) => {
                guard.set_outcome(failure.upstream_outcome());
                self.plan.failed_upstreams.push(guard.record.id.clone());
                EdgeMetrics::increment(&EdgeMetrics::global().retries, failure.as_str());
                let fingerprint = self.plan.call.repeat_fingerprint();
                run_unfinished(&self.parts, &self.plan.call.id, fingerprint, guard, *failure);
            }
        }
        end
    }

    /// Whether another upstream may continue the stream.
    fn is_movable(&self) -> bool {
        let AttemptPlan { rule, call, .. } = &self.plan;
        rule.kind == RouteKind::Idempotent && self.runs < rule.attempts_max && self.parts.state.now() < call.deadline
    }

    /// Lets another upstream with the same software continue the stream after the last event that was passed on. `None` if
    /// there is none.
    async fn continue_stream(
        &mut self,
    ) -> Option<(Box<OpenStream<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<>>>, UpstreamGuard)> {
        if !self.is_movable() {
            return None;
        }
        let refused_at = self.parts.state.now().plus_ms(CONTINUE_WAIT_MS);
        self.plan.call.last_event_id = self.last_event;
        self.plan.permits.useful_until = refused_at.min(self.plan.call.deadline);
        self.plan.wait.decided_at = refused_at;
        self.plan.wait.useful_until = refused_at;
        self.plan.earlier_runs = self.runs;
        match try_stream(&self.parts, &self.plan).await {
            Ok(AnsweredAttempt { response: StreamAttempt::Open(open), guard, runs }) => {
                self.runs = runs;
                self.progress_at = self.parts.state.now();
                Some((open, guard))
            }
            Ok(AnsweredAttempt { response: StreamAttempt::Whole(_), .. }) | Err(_) => None,
        }
    }

    /// Ends the response to the caller, and logs how.
    async fn finish(self, end: RelayEnd, started_at: TimePoint) {
        let state = &self.parts.state;
        let (outcome, result) = match &end {
            RelayEnd::Complete => ("served", "whole"),
            RelayEnd::ClientLeft => ("client_left", "client_left"),
            RelayEnd::Stopping => ("stopping", "stopping"),
            RelayEnd::Failed(failure) => ("upstream_failed", failure.as_str()),
        };
        if matches!(end, RelayEnd::Complete) {
            let call = &self.plan.call;
            request_completed(state, call.body.len(), || call.repeat_fingerprint());
        }
        EdgeMetrics::increment(&EdgeMetrics::global().answers, outcome);
        LogLine::new("stream_ended")
            .field("request_id", &self.plan.call.id)
            .field("runs", self.runs)
            .field("portions", self.portion_count)
            .field("took_ms", state.now().since_ms(started_at))
            .field("result", result)
            .info();
        if matches!(end, RelayEnd::Failed(_) | RelayEnd::Stopping) {
            // The caller's connection is closed without the end mark of the body. If the caller has left, nobody is told.
            let _ = self.sender.send(Err(io::Error::other(result))).await;
        }
    }
}

/// Time without an event after which a stream of the plan's route is continued elsewhere.
fn stall_ms(plan: &AttemptPlan) -> u64 {
    STALL_MS.max(plan.rule.latency_objective_ms * STALL_OBJECTIVES)
}

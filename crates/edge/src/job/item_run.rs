//! Runs one item of a batch job at one upstream, and records its events in the ledger.

use super::owned_job::OwnedJob;
use crate::{
    edge_metrics::EdgeMetrics,
    relay::{AttemptFailure, UpstreamCall, UpstreamGuard, is_clean_close, is_delimited_by_close, start_attempt},
};
use actix_web::http::{
    Method, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use futures_util::StreamExt;
use pimentoslip_kernel::{
    CapacityNeed, EventOutcome, FIRST_EVENT_NUMBER, PermitNeed, RunAssignment, RunMonitor, RunOutcome, SamplerOutcome,
    SamplerQuery, SharedName, TimePoint,
};
use pimentoslip_platform::{EventReader, header};
use pimentoslip_telemetry::LogLine;
use std::time::Duration;

/// Longest wait for the header of a response; longer than an upstream takes to load weights.
const RESPONSE_HEADER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest run; after this, the item resumes in a new run, for which an upstream is selected again.
const RUN_MS_MAX: u64 = 30_000;

/// Largest text of an item; a larger one fits into no page of results. The item starts again at another upstream then.
const TEXT_BYTES_MAX: usize = 900_000;

/// Outcome of a finished run.
struct FinishedRun {
    /// Outcome for the ledger.
    outcome: RunOutcome,
    /// Name of the result in metrics and logs.
    reason: &'static str,
    /// Outcome that is recorded for the upstream, on which its availability is based.
    upstream_outcome: SamplerOutcome,
    /// Why the attempt failed, if it did.
    failure: Option<AttemptFailure>,
}

impl FinishedRun {
    /// A run with the result `reason`, in which the upstream has responded as it should.
    fn answered(outcome: RunOutcome, reason: &'static str) -> Self {
        Self { outcome, reason, upstream_outcome: SamplerOutcome::Answered(None), failure: None }
    }

    /// Classifies a failed attempt.
    fn from_failure(failure: AttemptFailure) -> Self {
        let outcome = if failure.may_have_run() { RunOutcome::Interrupted } else { RunOutcome::NotRun };
        let upstream_outcome = match failure {
            // These failures concern only the item's model, so the upstream stays available for other models.
            AttemptFailure::Refused | AttemptFailure::Misdirected => SamplerOutcome::Answered(None),
            other_failure => other_failure.upstream_outcome(),
        };
        Self { outcome, reason: failure.as_str(), upstream_outcome, failure: Some(failure) }
    }

    /// Whether the next run should rather be at another upstream. A missing or lost path says nothing of this one, and one that
    /// has left is not selected again.
    fn is_failed(&self) -> bool {
        match self.failure {
            Some(
                AttemptFailure::NotSent
                | AttemptFailure::Departed
                | AttemptFailure::PathLost
                | AttemptFailure::Unacknowledged,
            ) => false,
            Some(_) => true,
            None => self.outcome == RunOutcome::Failed,
        }
    }
}

/// Runs an item at the guard's upstream until `retention_ends_at` at most, and records its events and the end of the
/// run in the job's ledger.
pub async fn run_item(
    job: OwnedJob,
    assignment: RunAssignment,
    mut guard: UpstreamGuard,
    priority: u32,
    retention_ends_at: TimePoint,
) {
    let state = job.state.clone();
    let started_at = state.now();
    let mut monitor = RunMonitor::new(started_at);
    let count_before = job.ledger.borrow().event_count(assignment.item_index);
    let mut run = stream_item(&job, &assignment, &guard, priority, retention_ends_at, &mut monitor).await;
    // A text that one run has generated alone is of one software, whichever that is.
    let is_of_one_run = assignment.resume_after.is_none() && run.outcome == RunOutcome::Completed;
    let has_events = job.ledger.borrow().event_count(assignment.item_index) > count_before;
    if guard.is_replaced() || (has_events && !is_of_one_run && !guard.is_software_known()) {
        // The response may be that of a new process, whose software may be another version.
        job.ledger.borrow_mut().discard_text(assignment.item_index);
        run = FinishedRun::from_failure(AttemptFailure::Mismatch);
    }
    let event_count = job.ledger.borrow().event_count(assignment.item_index);
    let took_ms = state.now().since_ms(started_at);
    let new_event_count =
        event_count.saturating_sub(assignment.resume_after.map_or(0, |last| last + 1 - FIRST_EVENT_NUMBER));
    guard.set_outcome(match run.upstream_outcome {
        SamplerOutcome::Answered(_) => SamplerOutcome::Answered(monitor.event_interval_ms()),
        outcome => outcome,
    });
    EdgeMetrics::increment(&EdgeMetrics::global().item_runs, run.reason);
    LogLine::new("item_run")
        .field("job", &job.id)
        .field("item", &job.submission.items[assignment.item_index].id)
        .field("upstream", &guard.record.id)
        .field("software", &guard.record.software)
        .field("path", guard.path_text())
        .field("listed_version", listed_version(&job, assignment.item_index, &guard))
        .field("resumed_after", assignment.resume_after.map_or_else(|| "none".to_owned(), |last| last.to_string()))
        .field("expected_tokens", job.submission.items[assignment.item_index].expected_tokens())
        .field("events", new_event_count)
        .field("interval_ms", monitor.event_interval_ms().map_or_else(|| "none".to_owned(), |ms| ms.to_string()))
        .field("requests", guard.inflight())
        .field("took_ms", took_ms)
        .field("result", run.reason)
        .info();
    if let Some(failure) = run.failure {
        guard.request_path_check(failure);
    }
    match run.outcome {
        RunOutcome::Completed => job.run_failures.borrow_mut().forget(assignment.item_index),
        _ if run.is_failed() => {
            job.run_failures.borrow_mut().run_failed(assignment.item_index, guard.record.id.clone());
        }
        _ => {}
    }
    if run.outcome == RunOutcome::NotRun
        && !matches!(run.failure, Some(AttemptFailure::Departed | AttemptFailure::PathLost))
        && let Some(model) = item_model(&job, assignment.item_index)
    {
        state.upstreams().model_refused(&guard.record.id, &model, state.now());
    }
    drop(guard);
    job.ledger.borrow_mut().run_ended(assignment.item_index, run.outcome, state.now());
    job.ledger_changed.notify_one();
}

/// Version of the item's model at the upstream according to the platform's list of upstreams; 0 if it lists none.
fn listed_version(job: &OwnedJob, item_index: usize, guard: &UpstreamGuard) -> u64 {
    let version = item_model(job, item_index).and_then(|model| guard.record.versions.get(&model).copied());
    version.unwrap_or(0)
}

/// The request for an item. It resumes after the item's last event in the ledger, if there is one.
fn item_call(job: &OwnedJob, assignment: &RunAssignment, priority: u32, deadline: TimePoint) -> UpstreamCall {
    let item = &job.submission.items[assignment.item_index];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let parsed = (HeaderName::try_from(name.as_str()), HeaderValue::from_str(value));
        if let (Ok(name), Ok(value)) = parsed {
            headers.append(name, value);
        }
    }
    headers.insert(HeaderName::from_static(header::PRIORITY), HeaderValue::from(priority));
    UpstreamCall {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.to_string(),
        host: job.entry.host.clone(),
        headers,
        organisation: job.organisation.clone(),
        body: item.body.clone(),
        deadline,
        is_repeatable: true,
        last_event_id: assignment.resume_after,
    }
}

/// Sends the request and adds the events of the response to the ledger until the run ends. `monitor` measures the
/// intervals between the events.
async fn stream_item(
    job: &OwnedJob,
    assignment: &RunAssignment,
    guard: &UpstreamGuard,
    priority: u32,
    retention_ends_at: TimePoint,
    monitor: &mut RunMonitor,
) -> FinishedRun {
    let state = &job.state;
    let now = state.now();
    let call = item_call(job, assignment, priority, retention_ends_at.min(now.plus_ms(RUN_MS_MAX)));
    let response = tokio::select! {
        response = actix_rt::time::timeout(RESPONSE_HEADER_TIMEOUT, start_attempt(&job.upstream_client, &call, guard, now)) => response,
        () = guard.path_lost(now) => return FinishedRun::from_failure(AttemptFailure::Unacknowledged),
    };
    let mut response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return FinishedRun::from_failure(error.failure),
        Err(_) => return FinishedRun::from_failure(AttemptFailure::TimedOut),
    };
    match response.status() {
        status if status.is_success() => {}
        StatusCode::UNPROCESSABLE_ENTITY => {
            return FinishedRun::answered(RunOutcome::Unrunnable, "impossible");
        }
        StatusCode::INTERNAL_SERVER_ERROR => {
            return FinishedRun::answered(RunOutcome::Failed, "upstream_failed");
        }
        status => {
            LogLine::new("item_status").field("item", &call.id).field("status", status.as_u16()).warn();
            return FinishedRun::from_failure(AttemptFailure::Malformed);
        }
    }
    let version =
        response.headers().get(header::WEIGHTS_VERSION).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let mut version: Option<u64> = version;
    let headers = response.headers().clone();
    let mut reader = EventReader::default();
    let mut share = guard.buffer_share();
    loop {
        let other_interval_ms = fastest_other_interval_ms(job, assignment.item_index, guard);
        if other_interval_ms.is_some_and(|ms| monitor.is_slower_than(ms)) {
            return FinishedRun::answered(RunOutcome::Interrupted, "moved_slow");
        }
        // Bytes that complete no event are no progress, however fast they arrive.
        let event_timeout = Duration::from_millis(monitor.unresponsive_at(other_interval_ms).since_ms(state.now()));
        if event_timeout.is_zero() {
            return FinishedRun::from_failure(AttemptFailure::TimedOut);
        }
        let chunk = tokio::select! {
            chunk = actix_rt::time::timeout(event_timeout, response.next()) => chunk,
            () = guard.path_lost(state.now()) => return FinishedRun::from_failure(AttemptFailure::Unacknowledged),
        };
        let chunk = match chunk {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(None) => return classify_stream_end(&reader),
            Ok(Some(Err(error))) if is_delimited_by_close(&headers) && is_clean_close(&error) => {
                return classify_stream_end(&reader);
            }
            Ok(Some(Err(_))) => return FinishedRun::from_failure(AttemptFailure::Lost),
            Err(_) => return FinishedRun::from_failure(AttemptFailure::TimedOut),
        };
        let new_events = reader.feed(&chunk);
        monitor.events_received(new_events.len() as u64, state.now());
        for event in new_events {
            version = event.version.or(version);
            // The ledger records the version of each event, so an event without one is malformed.
            let Some(version) = version else { return FinishedRun::from_failure(AttemptFailure::Malformed) };
            let outcome = job.ledger.borrow_mut().event_received(
                assignment.item_index,
                event.number,
                version,
                &guard.record.software,
                &event.data,
            );
            match outcome {
                EventOutcome::Accepted if job.ledger.borrow().text_bytes(assignment.item_index) > TEXT_BYTES_MAX => {
                    job.ledger.borrow_mut().discard_text(assignment.item_index);
                    return FinishedRun::from_failure(AttemptFailure::Malformed);
                }
                EventOutcome::Accepted => {}
                EventOutcome::Restart => {
                    return FinishedRun {
                        upstream_outcome: SamplerOutcome::Abandoned,
                        ..FinishedRun::answered(RunOutcome::Interrupted, "stale_version")
                    };
                }
                EventOutcome::Mismatch => return FinishedRun::from_failure(AttemptFailure::Mismatch),
            }
        }
        if reader.is_oversized() {
            return FinishedRun::from_failure(AttemptFailure::Oversized);
        }
        if reader.is_malformed() || !share.resize(reader.kept_bytes()) {
            return FinishedRun::from_failure(AttemptFailure::Malformed);
        }
    }
}

/// Milliseconds per event at the fastest other upstream with a free slot for the item; `None` if none is recorded.
fn fastest_other_interval_ms(job: &OwnedJob, item_index: usize, guard: &UpstreamGuard) -> Option<u64> {
    let model = item_model(job, item_index);
    let homes = job.homes();
    let query = SamplerQuery {
        service: &guard.record.service,
        model: model.as_deref().map(|model| (model, job.submission.oldest_version)),
        software: Some(&guard.record.software),
        failure_domain: &job.state.settings.failure_domain,
        homes: homes.as_ref(),
        excluded: &[],
        capacity: CapacityNeed::FreeSlot,
        affinity: "",
        permits: PermitNeed::NONE,
    };
    job.state.upstreams().fastest_other_latency_ms(&query, &guard.record.id, job.state.now())
}

/// Classifies a run whose response ended normally: the text is complete, unless the response ended within an event.
fn classify_stream_end(reader: &EventReader) -> FinishedRun {
    if !reader.is_between_events() {
        return FinishedRun::from_failure(AttemptFailure::Malformed);
    }
    FinishedRun::answered(RunOutcome::Completed, "whole")
}

/// The model that an item requests in its own header, or else the model of its batch job.
pub fn item_model(job: &OwnedJob, item_index: usize) -> Option<SharedName> {
    let item = &job.submission.items[item_index];
    item.header(header::MODEL).map(Into::into).or_else(|| job.submission.model.clone())
}

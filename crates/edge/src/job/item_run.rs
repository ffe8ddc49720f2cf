//! One run of an item at one upstream.

use super::owned_job::OwnedJob;
use crate::{
    edge_metrics::EdgeMetrics,
    relay::{AttemptFailure, SamplerGuard, UpstreamCall, begin, ends_with_connection, is_orderly_end},
};
use actix_web::http::{
    Method, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use futures_util::StreamExt;
use pimentoslip_kernel::{EventVerdict, ItemWork, RunEnd, SamplerOutcome, SharedName, TimePoint};
use pimentoslip_platform::{EventReader, header};
use pimentoslip_telemetry::LogLine;
use std::time::Duration;

/// Longest silence of a stream; longer than a load of weights and than a slow upstream's prefill.
const SILENCE_MAX: Duration = Duration::from_millis(2_500);
/// Longest run in milliseconds; a run that was cut goes on elsewhere.
const RUN_MS_MAX: u64 = 30_000;

/// How a run ended, for the log and the upstream's standing.
struct RunReport {
    end: RunEnd,
    reason: &'static str,
    outcome: SamplerOutcome,
}

impl RunReport {
    fn of(failure: AttemptFailure) -> Self {
        let end = if failure.may_have_run() { RunEnd::Broken } else { RunEnd::NotRun };
        Self { end, reason: failure.as_str(), outcome: failure.outcome() }
    }
}

/// Runs an item and enters what came of it into the job's ledger.
pub async fn run_item(job: OwnedJob, work: ItemWork, mut guard: SamplerGuard, priority: u32, give_up_at: TimePoint) {
    let state = job.state.clone();
    let began = state.now();
    let report = stream_item(&job, work, &guard, priority, give_up_at).await;
    let events = job.ledger.borrow().events(work.index);
    let took_ms = state.now().since_ms(began);
    let fresh = events.saturating_sub(work.resume_after.map_or(0, |last| last + 1));
    guard.end(match report.outcome {
        SamplerOutcome::Answered(_) if fresh > 0 => SamplerOutcome::Answered(Some(took_ms / fresh)),
        outcome => outcome,
    });
    EdgeMetrics::count(&EdgeMetrics::global().runs, report.reason);
    LogLine::new("item_run")
        .field("job", &job.id)
        .field("item", &job.submission.items[work.index].id)
        .field("upstream", &guard.record.id)
        .field("versions", format!("{:?}", guard.record.versions.values().collect::<Vec<_>>()))
        .field("resumed_after", work.resume_after.map_or_else(|| "none".to_owned(), |last| last.to_string()))
        .field("events", fresh)
        .field("took_ms", took_ms)
        .field("result", report.reason)
        .info();
    drop(guard);
    job.ledger.borrow_mut().run_ended(work.index, report.end, state.now());
    job.changed.notify_one();
}

fn item_call(job: &OwnedJob, work: ItemWork, priority: u32, deadline: TimePoint) -> UpstreamCall {
    let item = &job.submission.items[work.index];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let pair = (HeaderName::try_from(name.as_str()), HeaderValue::from_str(value));
        if let (Ok(name), Ok(value)) = pair {
            headers.append(name, value);
        }
    }
    headers.insert(HeaderName::from_static(header::PRIORITY), HeaderValue::from(priority));
    UpstreamCall {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.to_string(),
        host: job.host.clone(),
        headers,
        organisation: job.organisation.clone(),
        body: item.body.clone(),
        deadline,
        last_event: work.resume_after,
    }
}

async fn stream_item(
    job: &OwnedJob,
    work: ItemWork,
    guard: &SamplerGuard,
    priority: u32,
    give_up_at: TimePoint,
) -> RunReport {
    let state = &job.state;
    let now = state.now();
    let call = item_call(job, work, priority, give_up_at.min(now.plus_ms(RUN_MS_MAX)));
    let begun = actix_rt::time::timeout(SILENCE_MAX, begin(&job.upstreams, &call, guard, now)).await;
    let mut answer = match begun {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return RunReport::of(error.failure),
        Err(_) => return RunReport::of(AttemptFailure::TimedOut),
    };
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => {
            return RunReport {
                end: RunEnd::Impossible,
                reason: "impossible",
                outcome: SamplerOutcome::Answered(None),
            };
        }
        StatusCode::INTERNAL_SERVER_ERROR => {
            return RunReport {
                end: RunEnd::Failed,
                reason: "upstream_failed",
                outcome: SamplerOutcome::Answered(None),
            };
        }
        _ => return RunReport::of(AttemptFailure::Spoilt),
    }
    let version = answer.headers().get(header::VERSION).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let Some(mut version) = version else { return RunReport::of(AttemptFailure::Spoilt) };
    let headers = answer.headers().clone();
    let mut events = EventReader::default();
    loop {
        let chunk = match actix_rt::time::timeout(SILENCE_MAX, answer.next()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(None) => return whole(&events),
            Ok(Some(Err(error))) if ends_with_connection(&headers) && is_orderly_end(&error) => return whole(&events),
            Ok(Some(Err(_))) => return RunReport::of(AttemptFailure::Lost),
            Err(_) => return RunReport::of(AttemptFailure::TimedOut),
        };
        for event in events.feed(&chunk) {
            version = event.version.unwrap_or(version);
            let verdict = job.ledger.borrow_mut().event(work.index, event.number, version, &event.data);
            match verdict {
                EventVerdict::Taken => {}
                EventVerdict::Restart => {
                    return RunReport {
                        end: RunEnd::Broken,
                        reason: "stale_version",
                        outcome: SamplerOutcome::Abandoned,
                    };
                }
                EventVerdict::Mismatch => return RunReport::of(AttemptFailure::Mismatch),
            }
        }
        if events.is_malformed() {
            return RunReport::of(AttemptFailure::Spoilt);
        }
    }
}

fn whole(events: &EventReader) -> RunReport {
    if !events.is_between_events() {
        return RunReport::of(AttemptFailure::Spoilt);
    }
    RunReport { end: RunEnd::Whole, reason: "whole", outcome: SamplerOutcome::Answered(None) }
}

/// Model and oldest version that an item asks for.
pub fn model(job: &OwnedJob, index: usize) -> Option<SharedName> {
    let item = &job.submission.items[index];
    let named = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(header::MODEL));
    named.map(|(_, value)| value.as_str().into()).or_else(|| job.submission.model.clone())
}

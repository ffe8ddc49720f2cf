//! One run of an item at one upstream.

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
    EventVerdict, FIRST_EVENT, ItemWork, RoomNeed, RunEnd, RunPace, SamplerOutcome, SamplerQuery, SharedName, TimePoint,
};
use pimentoslip_platform::{EventReader, header};
use pimentoslip_telemetry::LogLine;
use std::time::Duration;

/// Longest wait for the header of an answer; longer than a load of weights.
const FIRST_ANSWER_MAX: Duration = Duration::from_millis(2_000);
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
        let outcome = match failure {
            // These concern the item's model only.
            AttemptFailure::Refused | AttemptFailure::Misdirected => SamplerOutcome::Answered(None),
            other => other.upstream_outcome(),
        };
        Self { end, reason: failure.as_str(), outcome }
    }
}

/// Runs an item and enters what came of it into the job's ledger.
pub async fn run_item(job: OwnedJob, work: ItemWork, mut guard: UpstreamGuard, priority: u32, give_up_at: TimePoint) {
    let state = job.state.clone();
    let began = state.now();
    let mut pace = RunPace::new(began);
    let report = stream_item(&job, work, &guard, priority, give_up_at, &mut pace).await;
    let events = job.ledger.borrow().events(work.index);
    let took_ms = state.now().since_ms(began);
    let fresh = events.saturating_sub(work.resume_after.map_or(0, |last| last + 1 - FIRST_EVENT));
    guard.set_outcome(match report.outcome {
        SamplerOutcome::Answered(_) => SamplerOutcome::Answered(pace.pace_ms()),
        outcome => outcome,
    });
    EdgeMetrics::increment(&EdgeMetrics::global().item_runs, report.reason);
    LogLine::new("item_run")
        .field("job", &job.id)
        .field("item", &job.submission.items[work.index].id)
        .field("upstream", &guard.record.id)
        .field("listed_version", listed_version(&job, work.index, &guard))
        .field("resumed_after", work.resume_after.map_or_else(|| "none".to_owned(), |last| last.to_string()))
        .field("events", fresh)
        .field("took_ms", took_ms)
        .field("result", report.reason)
        .info();
    if report.end == RunEnd::NotRun
        && let Some(model) = model(&job, work.index)
    {
        state.upstreams().model_refused(&guard.record.id, &model, state.now());
    }
    drop(guard);
    job.ledger.borrow_mut().run_ended(work.index, report.end, state.now());
    job.changed.notify_one();
}

/// Version of the item's model at the upstream, as the list says.
fn listed_version(job: &OwnedJob, index: usize, guard: &UpstreamGuard) -> u64 {
    let version = model(job, index).and_then(|model| guard.record.versions.get(&model).copied());
    version.unwrap_or(0)
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
        host: job.entry.host.clone(),
        headers,
        organisation: job.organisation.clone(),
        body: item.body.clone(),
        deadline,
        last_event_id: work.resume_after,
    }
}

async fn stream_item(
    job: &OwnedJob,
    work: ItemWork,
    guard: &UpstreamGuard,
    priority: u32,
    give_up_at: TimePoint,
    pace: &mut RunPace,
) -> RunReport {
    let state = &job.state;
    let now = state.now();
    let call = item_call(job, work, priority, give_up_at.min(now.plus_ms(RUN_MS_MAX)));
    let begun = actix_rt::time::timeout(FIRST_ANSWER_MAX, start_attempt(&job.upstreams, &call, guard, now)).await;
    let mut answer = match begun {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return RunReport::of(error.failure),
        Err(_) => return RunReport::of(AttemptFailure::TimedOut),
    };
    match answer.status() {
        status if status.is_success() => {}
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
        status => {
            LogLine::new("item_status").field("item", &call.id).field("status", status.as_u16()).warn();
            return RunReport::of(AttemptFailure::Malformed);
        }
    }
    let version = answer.headers().get(header::VERSION).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let mut version: Option<u64> = version;
    let headers = answer.headers().clone();
    let mut events = EventReader::default();
    loop {
        let elsewhere_ms = pace_elsewhere(job, work.index, guard);
        if elsewhere_ms.is_some_and(|ms| pace.is_slow(ms)) {
            return RunReport { end: RunEnd::Broken, reason: "moved_slow", outcome: SamplerOutcome::Answered(None) };
        }
        let silence = Duration::from_millis(pace.silent_at(elsewhere_ms).since_ms(state.now()));
        let chunk = match actix_rt::time::timeout(silence, answer.next()).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(None) => return whole(&events),
            Ok(Some(Err(error))) if is_delimited_by_close(&headers) && is_clean_close(&error) => return whole(&events),
            Ok(Some(Err(_))) => return RunReport::of(AttemptFailure::Lost),
            Err(_) => return RunReport::of(AttemptFailure::TimedOut),
        };
        let arrived = events.feed(&chunk);
        pace.events(arrived.len() as u64, state.now());
        for event in arrived {
            version = event.version.or(version);
            // An event of unknown version cannot be kept.
            let Some(version) = version else { return RunReport::of(AttemptFailure::Malformed) };
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
            return RunReport::of(AttemptFailure::Malformed);
        }
    }
}

/// Milliseconds of an event at the fastest other upstream that would take the item now.
fn pace_elsewhere(job: &OwnedJob, index: usize, guard: &UpstreamGuard) -> Option<u64> {
    let model = model(job, index);
    let query = SamplerQuery {
        service: &guard.record.service,
        model: model.as_deref().map(|model| (model, job.submission.oldest_version)),
        failure_domain: &job.state.settings.failure_domain,
        excluded: &[],
        room: RoomNeed::FreeSlot,
        affinity: "",
    };
    job.state.upstreams().pace_elsewhere(&query, &guard.record.id, job.state.now())
}

fn whole(events: &EventReader) -> RunReport {
    if !events.is_between_events() {
        return RunReport::of(AttemptFailure::Malformed);
    }
    RunReport { end: RunEnd::Whole, reason: "whole", outcome: SamplerOutcome::Answered(None) }
}

/// Model that an item asks for: its own header's, or its batch job's.
pub fn model(job: &OwnedJob, index: usize) -> Option<SharedName> {
    let item = &job.submission.items[index];
    item.header(header::MODEL).map(Into::into).or_else(|| job.submission.model.clone())
}

//! Scores the text of an item.

use super::owned_job::OwnedJob;
use crate::{
    edge_metrics::EdgeMetrics,
    relay::{SamplerGuard, UpstreamCall, attempt_whole},
};
use actix_web::http::{Method, StatusCode, header::HeaderMap};
use pimentoslip_kernel::{SamplerOutcome, SamplerQuery, ScoreEnd, fingerprint};
use pimentoslip_platform::header;
use pimentoslip_telemetry::LogLine;

/// Largest answer of a scorer that is read.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Longest wait for a score, where the route names none shorter.
const SCORE_MS_MAX: u64 = 5_000;

const SIGNED: &str = "signed";

/// Scores an item and enters the score into the job's ledger.
pub async fn score_item(job: OwnedJob, index: usize) {
    let (end, reason) = score(&job, index).await;
    EdgeMetrics::count(&EdgeMetrics::global().scores, reason);
    // A signed score shows in the item's result.
    if reason != SIGNED {
        LogLine::new("item_not_scored")
            .field("job", &job.id)
            .field("item", &job.submission.items[index].id)
            .field("result", reason)
            .warn();
    }
    let now = job.state.now();
    job.ledger.borrow_mut().score_ended(index, end, failures_max(&job, index), now);
    job.changed.notify_one();
}

/// Failures of the scorer after which an item may be given up: both routes allow as many attempts.
fn failures_max(job: &OwnedJob, index: usize) -> u32 {
    let own = job.route().map_or(1, |rule| rule.attempts_max);
    let scorer = job.submission.items[index].scorer.as_ref();
    let config = job.state.config();
    let rule = scorer.and_then(|scorer| config.as_ref()?.route(&scorer.host, &scorer.path).cloned());
    own.max(rule.map_or(1, |rule| rule.attempts_max))
}

async fn score(job: &OwnedJob, index: usize) -> (ScoreEnd, &'static str) {
    let state = &job.state;
    let Some(scorer) = &job.submission.items[index].scorer else { return (ScoreEnd::Broken, "no_scorer") };
    let rule = state.config().and_then(|config| config.route(&scorer.host, &scorer.path).cloned());
    let Some(rule) = rule else { return (ScoreEnd::Broken, "no_route") };
    let Some(service) = rule.service(fingerprint(&[scorer.id.as_bytes()])) else {
        return (ScoreEnd::Broken, "no_service");
    };
    let query = SamplerQuery {
        service,
        model: None,
        failure_domain: &state.settings.failure_domain,
        excluded: &[],
        may_queue: true,
        affinity: &scorer.id,
    };
    let Some(mut guard) = SamplerGuard::pick(state, &query) else { return (ScoreEnd::Broken, "no_upstream") };
    let now = state.now();
    let wait_ms = rule.timeout_ms.min(SCORE_MS_MAX);
    let call = UpstreamCall {
        id: scorer.id.clone(),
        method: Method::POST,
        path: scorer.path.to_string(),
        host: scorer.host.clone(),
        headers: HeaderMap::new(),
        organisation: None,
        body: scorer.body.clone(),
        deadline: now.plus_ms(wait_ms),
        last_event: None,
    };
    let answer = match attempt_whole(&job.upstreams, &call, &guard, now, ANSWER_BYTES_MAX).await {
        Ok(answer) => answer,
        Err(failure) => {
            guard.end(failure.outcome());
            return (ScoreEnd::Broken, failure.as_str());
        }
    };
    guard.end(SamplerOutcome::Answered(Some(state.now().since_ms(now))));
    let signature = answer.headers.get(header::SIGNATURE).and_then(|value| value.to_str().ok());
    match (answer.status, signature) {
        (status, Some(signature)) if status.is_success() => (ScoreEnd::Signed(signature.to_owned()), SIGNED),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => (ScoreEnd::Failed, "scorer_failed"),
        _ => (ScoreEnd::Broken, "scorer_refused"),
    }
}

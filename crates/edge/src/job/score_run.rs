//! Calls the scorer of an item whose text is complete, and records the signed score in the ledger.

use super::owned_job::OwnedJob;
use crate::{
    edge_metrics::EdgeMetrics,
    limit::queued_permits,
    relay::{UpstreamCall, UpstreamGuard, fetch_complete},
};
use actix_web::http::{Method, StatusCode, header::HeaderMap};
use pimentoslip_kernel::{
    CapacityNeed, RequestUrgency, RouteRule, SamplerOutcome, SamplerQuery, ScoreOutcome, SharedName, fingerprint,
};
use pimentoslip_platform::{ScorerCall, header};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Largest response that is accepted from a scorer.
const RESPONSE_BYTES_MAX: usize = 4 << 20;
/// Longest wait for a score, unless the timeout of the scorer's route is shorter.
const SCORE_MS_MAX: u64 = 5_000;

/// Name of a successful result in metrics.
const SIGNED_RESULT: &str = "signed";

/// A request to a scorer, with the upstream selected for it.
pub struct ScoreCall {
    call: UpstreamCall,
    /// Counts the request on its upstream.
    guard: UpstreamGuard,
}

/// Why a request to a scorer cannot be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No upstream of this service, which the scorer is in, has a spare slot.
    NoCapacity(SharedName),
    /// The item has no scorer, or the current configuration has no route to it.
    NoRoute,
}

/// Builds the request to the scorer of an item, and selects an upstream for it.
pub fn prepare_score_call(job: &OwnedJob, item_index: usize) -> Result<ScoreCall, PlacementError> {
    let state = &job.state;
    let scorer = job.submission.items[item_index].scorer.as_ref().ok_or(PlacementError::NoRoute)?;
    let rule = scorer_rule(job, scorer).ok_or(PlacementError::NoRoute)?;
    let service = rule.service_for_draw(fingerprint(&[scorer.id.as_bytes()])).ok_or(PlacementError::NoRoute)?;
    let unscored_count = job.ledger.borrow().unscored_count_for(service.clone()) + 1;
    // Each call of a scorer prefers another upstream, so that those which fail do not keep it from the others.
    let affinity = format!("{}@{}", scorer.id, state.now().0);
    let query = SamplerQuery {
        service,
        model: None,
        software: None,
        failure_domain: &state.settings.failure_domain,
        homes: rule.homes.as_ref(),
        excluded: &[],
        capacity: CapacityNeed::SpareSlot,
        affinity: &affinity,
        permits: queued_permits(state, RequestUrgency::of_scorer(rule.priority), unscored_count),
    };
    let guard = UpstreamGuard::pick(state, &query).ok_or_else(|| PlacementError::NoCapacity(service.clone()))?;
    let call = UpstreamCall {
        id: scorer.id.clone(),
        method: Method::POST,
        path: scorer.path.to_string(),
        host: scorer.host.clone(),
        headers: HeaderMap::new(),
        organisation: None,
        body: scorer.body.clone(),
        deadline: state.now().plus_ms(rule.timeout_ms.min(SCORE_MS_MAX)),
        is_repeatable: true,
        last_event_id: None,
    };
    Ok(ScoreCall { call, guard })
}

/// The route of a scorer in the current configuration.
fn scorer_rule(job: &OwnedJob, scorer: &ScorerCall) -> Option<Arc<RouteRule>> {
    job.state.config()?.route(&scorer.host, &scorer.path).cloned()
}

/// Sends a prepared request to the scorer, and records the outcome in the job's ledger.
pub async fn score_item(job: OwnedJob, item_index: usize, score_call: ScoreCall) {
    let (outcome, reason) = send_score_call(&job, score_call).await;
    EdgeMetrics::increment(&EdgeMetrics::global().score_calls, reason);
    // A signed score is visible in the stored result of the item and is not logged.
    if reason != SIGNED_RESULT {
        LogLine::new("item_not_scored")
            .field("job", &job.id)
            .field("item", &job.submission.items[item_index].id)
            .field("result", reason)
            .warn();
    }
    let now = job.state.now();
    job.ledger.borrow_mut().scoring_ended(item_index, outcome, failures_max(&job, item_index), now);
    job.ledger_changed.notify_one();
}

/// Scorer failures after which the item is terminated: the larger of the attempts that the job's route and the scorer's
/// route allow.
fn failures_max(job: &OwnedJob, item_index: usize) -> u32 {
    let job_attempts = job.route().map_or(1, |rule| rule.attempts_max);
    let scorer = job.submission.items[item_index].scorer.as_ref();
    job_attempts.max(scorer.and_then(|scorer| scorer_rule(job, scorer)).map_or(1, |rule| rule.attempts_max))
}

/// Sends the request and classifies the response. Returns the outcome and its name in metrics and logs.
async fn send_score_call(job: &OwnedJob, score_call: ScoreCall) -> (ScoreOutcome, &'static str) {
    let ScoreCall { call, mut guard } = score_call;
    let now = job.state.now();
    let response = match fetch_complete(&job.upstream_client, &call, &guard, now, RESPONSE_BYTES_MAX).await {
        Ok(response) => response,
        Err(failure) => {
            guard.request_path_check(failure);
            guard.set_outcome(failure.upstream_outcome());
            return (ScoreOutcome::Interrupted, failure.as_str());
        }
    };
    guard.set_outcome(SamplerOutcome::Answered(Some(job.state.now().since_ms(now))));
    let signature = response.headers.get(header::UPSTREAM_SIGNATURE).and_then(|value| value.to_str().ok());
    match (response.status, signature) {
        (status, Some(signature)) if status.is_success() => (ScoreOutcome::Signed(signature.to_owned()), SIGNED_RESULT),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => (ScoreOutcome::Failed, "scorer_failed"),
        _ => (ScoreOutcome::Interrupted, "scorer_refused"),
    }
}

//! Scores the text of an item.

use super::owned_job::OwnedJob;
use crate::{
    edge_metrics::EdgeMetrics,
    relay::{UpstreamCall, UpstreamGuard, fetch_complete},
};
use actix_web::http::{Method, StatusCode, header::HeaderMap};
use pimentoslip_kernel::{RoomNeed, RouteRule, SamplerOutcome, SamplerQuery, ScoreEnd, fingerprint};
use pimentoslip_platform::{ScorerCall, header};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Largest answer of a scorer that is read.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Longest wait for a score, where the route names none shorter.
const SCORE_MS_MAX: u64 = 5_000;

const SIGNED: &str = "signed";

/// A scorer's call that has found its upstream.
pub struct ScoreCall {
    call: UpstreamCall,
    guard: UpstreamGuard,
}

/// Why a scorer's call cannot be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScoreHindrance {
    /// No upstream has room.
    NoRoom,
    /// The configuration in force has no way for it.
    NoRoute,
}

/// Chooses the upstream for the scorer of an item.
pub fn place_score(job: &OwnedJob, index: usize) -> Result<ScoreCall, ScoreHindrance> {
    let state = &job.state;
    let scorer = job.submission.items[index].scorer.as_ref().ok_or(ScoreHindrance::NoRoute)?;
    let rule = scorer_rule(job, scorer).ok_or(ScoreHindrance::NoRoute)?;
    let service = rule.service(fingerprint(&[scorer.id.as_bytes()])).ok_or(ScoreHindrance::NoRoute)?;
    let query = SamplerQuery {
        service,
        model: None,
        failure_domain: &state.settings.failure_domain,
        excluded: &[],
        room: RoomNeed::SpareSlot,
        affinity: &scorer.id,
    };
    let guard = UpstreamGuard::pick(state, &query).ok_or(ScoreHindrance::NoRoom)?;
    let call = UpstreamCall {
        id: scorer.id.clone(),
        method: Method::POST,
        path: scorer.path.to_string(),
        host: scorer.host.clone(),
        headers: HeaderMap::new(),
        organisation: None,
        body: scorer.body.clone(),
        deadline: state.now().plus_ms(rule.timeout_ms.min(SCORE_MS_MAX)),
        last_event_id: None,
    };
    Ok(ScoreCall { call, guard })
}

fn scorer_rule(job: &OwnedJob, scorer: &ScorerCall) -> Option<Arc<RouteRule>> {
    job.state.config()?.route(&scorer.host, &scorer.path).cloned()
}

/// Scores an item and enters the score into the job's ledger.
pub async fn score_item(job: OwnedJob, index: usize, placed: ScoreCall) {
    let (end, reason) = score(&job, placed).await;
    EdgeMetrics::increment(&EdgeMetrics::global().score_calls, reason);
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
    own.max(scorer.and_then(|scorer| scorer_rule(job, scorer)).map_or(1, |rule| rule.attempts_max))
}

async fn score(job: &OwnedJob, placed: ScoreCall) -> (ScoreEnd, &'static str) {
    let ScoreCall { call, mut guard } = placed;
    let now = job.state.now();
    let answer = match fetch_complete(&job.upstreams, &call, &guard, now, ANSWER_BYTES_MAX).await {
        Ok(answer) => answer,
        Err(failure) => {
            guard.set_outcome(failure.upstream_outcome());
            return (ScoreEnd::Broken, failure.as_str());
        }
    };
    guard.set_outcome(SamplerOutcome::Answered(Some(job.state.now().since_ms(now))));
    let signature = answer.headers.get(header::SIGNATURE).and_then(|value| value.to_str().ok());
    match (answer.status, signature) {
        (status, Some(signature)) if status.is_success() => (ScoreEnd::Signed(signature.to_owned()), SIGNED),
        (StatusCode::INTERNAL_SERVER_ERROR, _) => (ScoreEnd::Failed, "scorer_failed"),
        _ => (ScoreEnd::Broken, "scorer_refused"),
    }
}

//! Chooses upstreams and repeats attempts by the retry policy.

use super::{AttemptError, AttemptFailure, UpstreamGuard, UpstreamRequest, send_once};
use crate::{
    api_error::{ApiError, Result},
    shared_state::SharedState,
};
use awc::{Client, ClientResponse};
use futures_util::Stream;
use pimentoslip_kernel::{FailedAttempt, RefusalReason, RetryDecision, RetryPolicy, RouteQuery, RunState, SharedName};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// A begun answer, with the count on its upstream.
pub struct Dispatched<S> {
    /// The answer, of which the header has arrived.
    pub answer: ClientResponse<S>,
    /// Keeps the request counted while its body arrives.
    pub guard: UpstreamGuard,
}

/// Runs `request` until an upstream answers it or it may not be sent again.
pub async fn dispatch(
    shared: &Arc<SharedState>,
    client: &Client,
    request: &UpstreamRequest,
) -> Result<Dispatched<impl Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + use<>>>
{
    let mut tried: Vec<SharedName> = Vec::new();
    let mut attempt = 0;
    let mut run_state = RunState::NotRun;
    shared.with_retry_budget(&request.organisation, &request.service, pimentoslip_kernel::RetryBudget::record_attempt);
    loop {
        attempt += 1;
        let now = shared.now();
        let refuse = |reason| Err(ApiError { reason, run_state, request_id: request.id.clone() });
        if now >= request.deadline {
            return refuse(RefusalReason::DeadlinePassed);
        }
        if shared.suspects().is_quarantined(request.fingerprint, now) {
            return refuse(RefusalReason::Quarantined);
        }
        let Some(mut guard) = pick(shared, request, &tried).await else {
            return refuse(RefusalReason::NoUpstream);
        };
        let attempt_id = request.id.part(attempt);
        LogLine::new("attempt")
            .field("request_id", &*request.id)
            .field("upstream_request_id", &*attempt_id)
            .field("upstream", &guard.entry.name)
            .info();
        let error = match send_once(shared, client, request, &attempt_id, &mut guard).await {
            Ok(answer) => return Ok(Dispatched { answer, guard }),
            Err(error) => error,
        };
        tried.push(guard.entry.name.clone());
        drop(guard);
        run_state = run_state.max(error.progress.run_state());
        if let Err(reason) = wait_for_next(shared, request, attempt, error).await {
            return Err(ApiError { reason, run_state, request_id: request.id.clone() });
        }
    }
}

/// Picks an upstream. A suspect waits for one with nothing else on it, until its deadline.
async fn pick(shared: &Arc<SharedState>, request: &UpstreamRequest, tried: &[SharedName]) -> Option<UpstreamGuard> {
    const POLL: Duration = Duration::from_millis(20);
    loop {
        let now = shared.now();
        let alone = shared.suspects().is_suspect(request.fingerprint, now);
        let query = RouteQuery {
            service: &request.service,
            failure_domain: &shared.settings.failure_domain,
            prefix_hash: request.prefix,
            excluded: tried,
            exclusive: alone,
            inflight_max: request.inflight_max,
        };
        let picked = shared.with_rng(|rng| {
            let mut routes = shared.routes();
            let again = RouteQuery { excluded: &[], ..query.clone() };
            routes.pick(&query, now, rng).or_else(|| routes.pick(&again, now, rng))
        });
        if let Some(entry) = picked {
            return Some(UpstreamGuard::new(shared.clone(), entry, request.fingerprint));
        }
        let any = shared.routes().capacity(&request.service, 1) > 0;
        if !any || now >= request.deadline {
            return None;
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// Waits before the next attempt, or says why there is none.
async fn wait_for_next(
    shared: &Arc<SharedState>,
    request: &UpstreamRequest,
    attempt: u32,
    error: AttemptError,
) -> std::result::Result<(), RefusalReason> {
    let now = shared.now();
    let failed = FailedAttempt { class: &request.class, progress: error.progress, attempt, deadline: request.deadline };
    let decision = shared.with_rng(|rng| {
        shared.with_retry_budget(&request.organisation, &request.service, |budget| {
            RetryPolicy.decide(failed, now, budget, rng)
        })
    });
    match decision {
        RetryDecision::RetryAt(at) => {
            shared.metrics.count_retry(error.failure.retry_reason());
            actix_rt::time::sleep(Duration::from_millis(at.since_ms(now))).await;
            Ok(())
        }
        RetryDecision::BudgetExhausted(_) => Err(RefusalReason::RetryExhausted),
        RetryDecision::Stop(_) => Err(refusal(error.failure)),
    }
}

fn refusal(failure: AttemptFailure) -> RefusalReason {
    match failure {
        AttemptFailure::TimedOut => RefusalReason::DeadlinePassed,
        AttemptFailure::Mismatch => RefusalReason::AnswerMismatch,
        AttemptFailure::Unreachable | AttemptFailure::Refused => RefusalReason::UpstreamUnreachable,
        AttemptFailure::Lost => RefusalReason::UpstreamLost,
    }
}

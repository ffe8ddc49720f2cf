//! Picks an upstream for each attempt of a request and retries failed attempts according to the retry policy.

use super::{AttemptError, AttemptFailure, UpstreamGuard, UpstreamRequest, start_attempt};
use crate::{
    api_error::{ApiError, Result},
    shared_state::SharedState,
};
use awc::{Client, ClientResponse};
use futures_util::Stream;
use pimentoslip_kernel::{
    FailedAttempt, RefusalReason, RetryDecision, RetryPolicy, RouteQuery, RunState, SharedName, SuspectVerdict,
};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// Response of an upstream whose body has not been read yet.
pub struct UpstreamResponse<S> {
    /// Response with its header.
    pub response: ClientResponse<S>,
    /// Counts the request as in flight on the upstream until the body has been read.
    pub guard: UpstreamGuard,
}

/// Sends `request` to upstreams until one of them responds. Returns an error if no upstream is available, if the
/// deadline has passed, if the request is quarantined, or if the retry policy allows no further attempt.
pub async fn dispatch(
    shared: &Arc<SharedState>,
    client: &Client,
    request: &UpstreamRequest,
) -> Result<
    UpstreamResponse<impl Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + use<>>,
> {
    let mut tried_upstreams: Vec<SharedName> = Vec::new();
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
        if matches!(suspect_verdict(shared, request), SuspectVerdict::Quarantined { .. }) {
            return refuse(RefusalReason::Quarantined);
        }
        let Some(mut guard) = pick_upstream(shared, request, &tried_upstreams).await else {
            return refuse(RefusalReason::NoUpstream);
        };
        let attempt_id = request.id.with_suffix(attempt);
        LogLine::new("attempt")
            .field("request_id", &*request.id)
            .field("upstream_request_id", &*attempt_id)
            .field("upstream", &guard.entry.name)
            .info();
        let error = match start_attempt(shared, client, request, &attempt_id, &mut guard).await {
            Ok(response) => return Ok(UpstreamResponse { response, guard }),
            Err(error) => error,
        };
        tried_upstreams.push(guard.entry.name.clone());
        drop(guard);
        run_state = run_state.max(error.progress.run_state());
        if let Err(reason) = wait_for_retry(shared, request, attempt, error).await {
            return Err(ApiError { reason, run_state, request_id: request.id.clone() });
        }
    }
}

/// How the request is treated because of the crashes of upstreams that ran it.
fn suspect_verdict(shared: &SharedState, request: &UpstreamRequest) -> SuspectVerdict {
    let Some(fingerprint) = request.suspect_fingerprint() else { return SuspectVerdict::Unsuspected };
    shared.suspects().verdict(fingerprint, shared.now())
}

/// Picks an upstream, waiting for capacity until the request's deadline. Upstreams in `tried_upstreams` are picked only
/// if no other one is available. A request that is isolated, since it may crash upstreams, waits for one on which this
/// daemon runs no other request. Returns `None` if the service has no live upstream or the deadline has passed.
async fn pick_upstream(
    shared: &Arc<SharedState>,
    request: &UpstreamRequest,
    tried_upstreams: &[SharedName],
) -> Option<UpstreamGuard> {
    /// Interval at which a waiting request checks for capacity again.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    loop {
        let now = shared.now();
        let is_isolated = suspect_verdict(shared, request) == SuspectVerdict::Isolated;
        let query = RouteQuery {
            service: &request.service,
            failure_domain: &shared.settings.failure_domain,
            prefix_hash: request.prefix_hash,
            excluded: tried_upstreams,
            exclusive: is_isolated,
            inflight_max: request.inflight_max,
        };
        let picked_entry = shared.with_rng(|rng| {
            let mut routes = shared.routes();
            let without_exclusions = RouteQuery { excluded: &[], ..query.clone() };
            routes.pick(&query, now, rng).or_else(|| routes.pick(&without_exclusions, now, rng))
        });
        if let Some(entry) = picked_entry {
            return Some(UpstreamGuard::new(shared.clone(), entry, request));
        }
        let has_upstream = shared.routes().capacity(&request.service, 1) > 0;
        if !has_upstream || now >= request.deadline {
            return None;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the next attempt may start. Returns the reason for refusing the request if it must not be retried.
async fn wait_for_retry(
    shared: &Arc<SharedState>,
    request: &UpstreamRequest,
    attempt: u32,
    error: AttemptError,
) -> std::result::Result<(), RefusalReason> {
    let now = shared.now();
    let failed_attempt =
        FailedAttempt { class: &request.class, progress: error.progress, attempt, deadline: request.deadline };
    let decision = shared.with_rng(|rng| {
        shared.with_retry_budget(&request.organisation, &request.service, |budget| {
            RetryPolicy.decide(failed_attempt, now, budget, rng)
        })
    });
    match decision {
        RetryDecision::RetryAt(retry_at) => {
            shared.metrics.count_retry(error.failure.retry_reason());
            actix_rt::time::sleep(Duration::from_millis(retry_at.since_ms(now))).await;
            Ok(())
        }
        RetryDecision::BudgetExhausted(_) => Err(RefusalReason::RetryExhausted),
        RetryDecision::Stop(_) => Err(refusal_reason(error.failure)),
    }
}

/// Reason for refusing a request after a failure that must not be retried.
fn refusal_reason(failure: AttemptFailure) -> RefusalReason {
    match failure {
        AttemptFailure::TimedOut => RefusalReason::DeadlinePassed,
        AttemptFailure::Mismatch => RefusalReason::AnswerMismatch,
        AttemptFailure::Unreachable | AttemptFailure::Refused => RefusalReason::UpstreamUnreachable,
        AttemptFailure::Lost => RefusalReason::UpstreamLost,
    }
}

//! Attempts to send a request to upstreams, until one returns a response.

use super::{api_refusal::ApiRefusal, request_target::RequestTarget};
use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    relay::{AttemptFailure, CompleteResponse, UpstreamCall, UpstreamGuard},
    stream::unrecorded_upstreams,
    suspect::{SuspectTrial, examine_loss, request_completed},
    waiting::{WaitTerms, early_refusal, wait_for_room},
    worker_parts::WorkerParts,
};
use actix_web::http::StatusCode;
use pimentoslip_kernel::{PermitNeed, RouteKind, RouteRule, SamplerOutcome, SharedName, SuspectVerdict, TimePoint};
use pimentoslip_telemetry::LogLine;
use std::{
    cell::LazyCell,
    sync::{Arc, atomic::Ordering},
};

/// Result of the attempts.
pub type Result<T> = std::result::Result<T, ApiRefusal>;

/// Number of attempts in which the request did not run, such as refusals by upstreams, after which one more attempt is
/// made. They do not count towards the attempts that the route allows.
const REFUSALS_MAX: u32 = 4;

/// Number of attempts without a path to the upstream, after which one more attempt is made.
const PATH_FAILURES_MAX: u32 = 6;

/// Results of the attempts to send one request.
#[derive(Debug)]
struct AttemptHistory<R> {
    /// Ids of the upstreams tried so far; cleared when no other upstream has capacity, so that all are tried again.
    tried: Vec<SharedName>,
    /// Number of attempts in which the request may have run.
    runs: u32,
    /// Number of attempts in which the request certainly did not run.
    refusals: u32,
    /// Number of attempts in which the direct path failed or there was none.
    path_failures: u32,
    /// Whether the request may have run in any attempt.
    may_have_run: bool,
    /// Why no further attempt was made, if it is because upstreams crashed while they ran the request.
    suspect_refusal: Option<ApiRefusal>,
    /// Why it was not sent to a further upstream, if none had room.
    room_refusal: Option<ApiRefusal>,
    /// The last response; it has an error status if a further attempt was made.
    answered: Option<(R, UpstreamGuard)>,
}

impl<R> Default for AttemptHistory<R> {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
            path_failures: 0,
            may_have_run: false,
            suspect_refusal: None,
            room_refusal: None,
            answered: None,
        }
    }
}

/// A request and the upstreams that it may be sent to.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// The request.
    pub call: UpstreamCall,
    /// The upstreams.
    pub target: RequestTarget,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Version of the configuration that the route is from.
    pub config_version: u64,
    /// Need of permits; while the next room is not known, the request is refused when they are of no use.
    pub permits: PermitNeed,
    /// How long the request waits for room.
    pub wait: WaitTerms,
    /// Number of runs that the request had before, in the same answer.
    pub earlier_runs: u32,
    /// Upstreams that failed the request before, in the same answer; others are preferred.
    pub failed_upstreams: Vec<SharedName>,
}

/// Response of an attempt that may be passed to the caller.
pub trait AttemptResponse {
    /// HTTP status of the response.
    fn status(&self) -> StatusCode;

    /// Whether all of the response was received.
    fn is_complete(&self) -> bool;
}

impl AttemptResponse for CompleteResponse {
    fn status(&self) -> StatusCode {
        self.status
    }

    fn is_complete(&self) -> bool {
        true
    }
}

/// A response with the upstream that sent it.
#[derive(Debug)]
pub struct AnsweredAttempt<R> {
    /// The response.
    pub response: R,
    /// Counts the request at the upstream.
    pub guard: UpstreamGuard,
    /// Number of attempts in which the request may have run, also in earlier ones of the same answer.
    pub runs: u32,
}

/// Sends the plan's request to its upstreams, one at a time by `attempt`, until one returns a response that is not to be
/// retried, or until the attempts, the wait for capacity or the deadline are exhausted.
pub async fn try_upstreams<R: AttemptResponse>(
    parts: &WorkerParts,
    plan: &AttemptPlan,
    attempt: impl AsyncFn(&UpstreamGuard, TimePoint) -> std::result::Result<R, AttemptFailure>,
) -> Result<AnsweredAttempt<R>> {
    let AttemptPlan { call, target, rule, .. } = plan;
    let state = &parts.state;
    // The body is hashed once, and only if it has to be.
    let repeat_fingerprint = LazyCell::new(|| call.repeat_fingerprint());
    let is_marked = || !state.suspects().is_empty();
    let tried = plan.failed_upstreams.clone();
    let mut history = AttemptHistory { runs: plan.earlier_runs, tried, ..AttemptHistory::default() };
    while history.runs < rule.attempts_max
        && history.refusals <= REFUSALS_MAX
        && history.path_failures <= PATH_FAILURES_MAX
        && state.now() < call.deadline
    {
        history.suspect_refusal = if is_marked() { suspect_refusal(parts, target, *repeat_fingerprint) } else { None };
        if history.suspect_refusal.is_some() {
            break;
        }
        let Some(mut guard) = next_upstream(state, plan, &mut history).await else { break };
        // Marks may have arrived while the request waited.
        let trial = if is_marked() { admit_suspect(parts, target, *repeat_fingerprint).await } else { Ok(None) };
        let trial = match trial {
            Ok(trial) => trial,
            Err(refusal) => {
                history.suspect_refusal = Some(refusal);
                break;
            }
        };
        if history.path_failures > 0 {
            guard.prefer_relay();
        }
        let sent_at = state.now();
        let result = attempt(&guard, sent_at).await.and_then(|response| check_software(response, target, &guard));
        let took_ms = state.now().since_ms(sent_at);
        let upstream = guard.record.id.clone();
        history.tried.push(upstream.clone());
        let result_text = match &result {
            Ok(response) => response.status().as_u16().to_string(),
            Err(failure) => failure.as_str().to_owned(),
        };
        LogLine::new("attempt")
            .field("request_id", &call.id)
            .field("route", &rule.name)
            .field("upstream", &upstream)
            .field("software", &guard.record.software)
            .field("path", guard.path_text())
            .field("resumed_after", call.last_event_id.map_or_else(|| "none".to_owned(), |last| last.to_string()))
            .field("config", plan.config_version)
            .field("left_ms", call.deadline.since_ms(sent_at))
            .field("took_ms", took_ms)
            .field("result", result_text)
            .info();
        let is_trial = trial.is_some();
        if let Some(trial) = trial.filter(|_| !may_have_crashed(&result)) {
            trial.release(state, &parts.store);
        }
        match result {
            Ok(response) => {
                guard.set_outcome(SamplerOutcome::Answered(response.is_complete().then_some(took_ms)));
                if response.is_complete() {
                    request_completed(state, call.body.len(), || *repeat_fingerprint);
                }
                count_usage(parts, call, sent_at);
                history.runs += 1;
                history.may_have_run = true;
                let should_retry = response.status().is_server_error() && rule.kind == RouteKind::Idempotent;
                history.answered = Some((response, guard));
                if !should_retry {
                    break;
                }
                EdgeMetrics::increment(&EdgeMetrics::global().retries, "upstream_failed");
            }
            Err(failure) => {
                guard.set_outcome(failure.upstream_outcome());
                EdgeMetrics::increment(&EdgeMetrics::global().retries, failure.as_str());
                let is_path_failure = matches!(failure, AttemptFailure::PathLost | AttemptFailure::Unacknowledged);
                history.path_failures += u32::from(is_path_failure);
                if failure.may_have_run() {
                    run_unfinished(parts, &call.id, *repeat_fingerprint, &guard, failure);
                    count_usage(parts, call, sent_at);
                    history.runs += 1;
                    history.may_have_run = true;
                    if rule.kind != RouteKind::Idempotent || is_trial {
                        break;
                    }
                } else if !is_path_failure {
                    history.refusals += 1;
                }
            }
        }
    }
    final_answer(parts, call, history)
}

/// The upstream of the next attempt, once it is the request's turn. `None` if there is none, which is final if the history
/// has a response already.
async fn next_upstream<R>(
    state: &Arc<EdgeState>,
    plan: &AttemptPlan,
    history: &mut AttemptHistory<R>,
) -> Option<UpstreamGuard> {
    let AttemptPlan { call, target, permits, .. } = plan;
    // Requests that wait come before new ones.
    if history.answered.is_some() || !state.lines.is_waited_for(&target.service) {
        let picked_guard = pick_upstream(state, target, &call.id, &history.tried, *permits);
        if picked_guard.is_some() || history.answered.is_some() {
            return picked_guard;
        }
    }
    let tried = std::mem::take(&mut history.tried);
    let waited = match early_refusal(state, plan) {
        Some(refusal) => Err(refusal),
        None => wait_for_room(state, plan, &tried).await,
    };
    history.room_refusal = waited.as_ref().err().copied();
    waited.ok()
}

/// Fails if the response may be that of a process with other software than the target's, which was started under the
/// upstream's id and is not known here.
fn check_software<R>(
    response: R,
    target: &RequestTarget,
    guard: &UpstreamGuard,
) -> std::result::Result<R, AttemptFailure> {
    if target.needs_software() && !guard.is_software_known() { Err(AttemptFailure::Mismatch) } else { Ok(response) }
}

/// Whether the upstream may have crashed, or may still crash, under the request.
fn may_have_crashed<R: AttemptResponse>(result: &std::result::Result<R, AttemptFailure>) -> bool {
    match result {
        Ok(response) => !response.is_complete(),
        Err(failure) => failure.may_have_run(),
    }
}

/// Handles a run that got no complete response: logs it with what identifies repeats of the request at any daemon, and finds
/// out whether the upstream has crashed.
pub fn run_unfinished(
    parts: &WorkerParts,
    request_id: &SharedName,
    fingerprint: u64,
    guard: &UpstreamGuard,
    failure: AttemptFailure,
) {
    LogLine::new("run_unfinished")
        .field("request_id", request_id)
        .field("fingerprint", format!("{fingerprint:016x}"))
        .field("upstream", &guard.record.id)
        .field("upstream_started", guard.record.started_unix_ms)
        .field("running", guard.inflight())
        .field("result", failure.as_str())
        .warn();
    // An upstream that has responded to another request since is slow, not gone.
    let is_slow = failure == AttemptFailure::TimedOut && guard.has_responded_since();
    if failure.may_be_crash() && !is_slow {
        examine_loss(parts, request_id, fingerprint, guard, failure);
    }
}

/// The last response, or, without one, the refusal that describes the failed attempts.
fn final_answer<R: AttemptResponse>(
    parts: &WorkerParts,
    call: &UpstreamCall,
    history: AttemptHistory<R>,
) -> Result<AnsweredAttempt<R>> {
    if let Some((response, guard)) = history.answered {
        return Ok(AnsweredAttempt { response, guard, runs: history.runs });
    }
    if let (Some(refusal), false) = (history.suspect_refusal, history.may_have_run) {
        return Err(refusal);
    }
    if let (Some(refusal), false) = (history.room_refusal, history.may_have_run) {
        return Err(refusal);
    }
    let is_past_deadline = parts.state.now() >= call.deadline;
    Err(match (history.may_have_run, is_past_deadline) {
        (true, true) => ApiRefusal::ResponseTimeout,
        (true, false) => ApiRefusal::UpstreamLost,
        (false, true) => ApiRefusal::DeadlinePassed,
        (false, false) => ApiRefusal::NoUpstream,
    })
}

/// Why the request with `fingerprint` must not run because of the upstreams that crashed under it; `None` if it may, or a trial
/// may show that it is not the cause.
fn suspect_refusal(parts: &WorkerParts, target: &RequestTarget, fingerprint: u64) -> Option<ApiRefusal> {
    let refusal = crash_refusal(parts, target, fingerprint)?;
    let (now, suspects) = (parts.state.now(), parts.state.suspects());
    suspects.next_trial(fingerprint, now).is_none().then_some(refusal)
}

/// Lets the request with `fingerprint` run, unless it must not because of the upstreams that crashed under it. Returns the
/// trial in which it runs, if it is one.
async fn admit_suspect(parts: &WorkerParts, target: &RequestTarget, fingerprint: u64) -> Result<Option<SuspectTrial>> {
    let Some(refusal) = crash_refusal(parts, target, fingerprint) else { return Ok(None) };
    let trial = SuspectTrial::claim(&parts.state, &parts.store, fingerprint).await;
    trial.map(Some).ok_or(refusal)
}

/// Why the request with `fingerprint` is kept from running by the crashes that count against it; `None` if it is not. A request
/// that could be the cause is kept from the last upstream of its service, which serves all other requests.
fn crash_refusal(parts: &WorkerParts, target: &RequestTarget, fingerprint: u64) -> Option<ApiRefusal> {
    let now = parts.state.now();
    let verdict = parts.state.suspects().verdict(fingerprint, now);
    match verdict {
        SuspectVerdict::Quarantined { until } => Some(ApiRefusal::Quarantined { retry_after_ms: until.since_ms(now) }),
        SuspectVerdict::Isolated => {
            let available_count =
                parts.state.upstreams().available_count(&target.query(&parts.state, "", &[], PermitNeed::NONE), now);
            (available_count <= 1).then_some(ApiRefusal::Isolated)
        }
        SuspectVerdict::Unsuspected => None,
    }
}

/// Picks an upstream of `target` other than those in `tried`. `None` if none has capacity. A resumable stream starts
/// only at a software version that is stored, and none is selected by its software while the list is outdated.
pub fn pick_upstream(
    state: &Arc<EdgeState>,
    target: &RequestTarget,
    id: &str,
    tried: &[SharedName],
    permits: PermitNeed,
) -> Option<UpstreamGuard> {
    if target.needs_software() && !state.is_list_confirmed() {
        return None;
    }
    let unrecorded = match target.new_stream_key {
        Some(_) => unrecorded_upstreams(state, &target.service),
        None => Vec::new(),
    };
    if unrecorded.is_empty() {
        return UpstreamGuard::pick(state, &target.query(state, id, tried, permits));
    }
    let excluded: Vec<SharedName> = tried.iter().chain(&unrecorded).cloned().collect();
    let guard = UpstreamGuard::pick(state, &target.query(state, id, &excluded, permits));
    if guard.is_none() {
        state.software_wanted.store(true, Ordering::SeqCst);
        state.software_unrecorded.notify_one();
    }
    guard
}

/// Counts a request that an upstream may have run as usage of its organisation, in the window in which it was sent.
fn count_usage(parts: &WorkerParts, call: &UpstreamCall, sent_at: TimePoint) {
    let Some(organisation) = &call.organisation else { return };
    let state = &parts.state;
    let unix_ms = state.unix_ms().saturating_sub(state.now().since_ms(sent_at));
    state.usage().count_request(organisation, unix_ms);
}

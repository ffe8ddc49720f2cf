//! Decides whether a request is retried after a failed attempt.

use crate::{RequestClass, RequestProgress, RetryBudget, RunState, TimePoint};
use rand::Rng;

/// Maximum number of attempts for one request, the first one included.
const ATTEMPTS_MAX: u32 = 3;
/// Base of the exponential backoff: the upper limit of the delay after attempt `n` is `BACKOFF_BASE_MS << n`.
const BACKOFF_BASE_MS: u64 = 20;
/// Largest upper limit of the delay after an attempt.
const BACKOFF_MAX_MS: u64 = 500;

/// Reason for a retry; used as a label of the retry counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The upstream refused the request before running it.
    UpstreamRefused,
    /// The connection to the upstream was lost while it ran an idempotent request.
    UpstreamLost,
    /// The response carried the id of another request.
    AnswerMismatch,
}

impl RetryReason {
    /// All reasons, in the order of the documentation.
    pub const ALL: &'static [Self] =
        &[Self::ConnectFailed, Self::UpstreamRefused, Self::UpstreamLost, Self::AnswerMismatch];

    /// Stable machine-readable code, used as a metric label.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::UpstreamRefused => "upstream_refused",
            Self::UpstreamLost => "upstream_lost",
            Self::AnswerMismatch => "answer_mismatch",
        }
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again at the given time.
    RetryAt(TimePoint),
    /// Report the failure to the caller, together with whether the request ran.
    Stop(RunState),
    /// Report the failure to the caller as in `Stop`: a retry was allowed, but the retry budget is exhausted.
    BudgetExhausted(RunState),
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Repeat class of the request.
    pub class: &'a RequestClass,
    /// Progress of the attempt at the upstream.
    pub progress: RequestProgress,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// Time at which the caller stops waiting.
    pub deadline: TimePoint,
}

/// Retry policy: a limited number of attempts, exponential backoff with full jitter, and a shared retry budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides whether to retry a request whose attempt failed at `now`. Retries only a request that did not run or is
    /// idempotent, and only before its deadline. Spends `budget` if the decision is a retry.
    pub fn decide<R: Rng>(
        self,
        failed: FailedAttempt<'_>,
        now: TimePoint,
        budget: &mut RetryBudget,
        rng: &mut R,
    ) -> RetryDecision {
        let run_state = failed.progress.run_state();
        let may_repeat = run_state == RunState::NotRun || *failed.class == RequestClass::Idempotent;
        if !may_repeat || failed.attempt >= ATTEMPTS_MAX {
            return RetryDecision::Stop(run_state);
        }
        let backoff_limit_ms = (BACKOFF_BASE_MS << failed.attempt.min(8)).min(BACKOFF_MAX_MS);
        let retry_at = now.plus_ms(rng.random_range(0..=backoff_limit_ms));
        if retry_at >= failed.deadline {
            return RetryDecision::Stop(run_state);
        }
        if !budget.try_spend() {
            return RetryDecision::BudgetExhausted(run_state);
        }
        RetryDecision::RetryAt(retry_at)
    }
}

//! Decides whether a failed attempt is sent again.

use crate::{RequestClass, RequestProgress, RetryBudget, RunState, TimePoint};
use rand::Rng;

const ATTEMPTS_MAX: u32 = 3;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_MAX_MS: u64 = 500;

/// Why an attempt is repeated; labels the retry counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The upstream refused before running.
    UpstreamRefused,
    /// The upstream was lost while running an idempotent request.
    UpstreamLost,
    /// The answer carried another request's id.
    AnswerMismatch,
}

impl RetryReason {
    /// Every reason, in the order of the documentation.
    pub const ALL: &'static [Self] =
        &[Self::ConnectFailed, Self::UpstreamRefused, Self::UpstreamLost, Self::AnswerMismatch];

    /// Stable machine-readable code.
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

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it again at the given time.
    RetryAt(TimePoint),
    /// Tell the caller, with what is known about the run.
    Stop(RunState),
    /// As `Stop`, because the budget is used up.
    BudgetExhausted(RunState),
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// How often the request may be sent.
    pub class: &'a RequestClass,
    /// What the upstream may have done.
    pub progress: RequestProgress,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
}

/// The rules for repeating attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides on a request whose attempt failed at `now`.
    pub fn decide<R: Rng>(
        self,
        failed: FailedAttempt<'_>,
        now: TimePoint,
        budget: &mut RetryBudget,
        rng: &mut R,
    ) -> RetryDecision {
        let run_state = failed.progress.run_state();
        let repeatable = run_state == RunState::NotRun || *failed.class == RequestClass::Idempotent;
        if !repeatable || failed.attempt >= ATTEMPTS_MAX {
            return RetryDecision::Stop(run_state);
        }
        let ceiling_ms = (BACKOFF_BASE_MS << failed.attempt.min(8)).min(BACKOFF_MAX_MS);
        let again = now.plus_ms(rng.random_range(0..=ceiling_ms));
        if again >= failed.deadline {
            return RetryDecision::Stop(run_state);
        }
        if !budget.try_spend() {
            return RetryDecision::BudgetExhausted(run_state);
        }
        RetryDecision::RetryAt(again)
    }
}

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
    Again(TimePoint),
    /// Tell the caller, with what is known about the run.
    Stop(RunState),
    /// As `Stop`, because the budget is used up.
    Exhausted(RunState),
}

/// The rules for repeating attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides on attempt number `attempt` (counted from 1) of a request that failed at `now`.
    pub fn decide<R: Rng>(
        self,
        class: &RequestClass,
        progress: RequestProgress,
        attempt: u32,
        deadline: TimePoint,
        now: TimePoint,
        budget: &mut RetryBudget,
        rng: &mut R,
    ) -> RetryDecision {
        let run_state = progress.run_state();
        let repeatable = run_state == RunState::NotRun || *class == RequestClass::Idempotent;
        if !repeatable || attempt >= ATTEMPTS_MAX {
            return RetryDecision::Stop(run_state);
        }
        let ceiling = (BACKOFF_BASE_MS << attempt.min(8)).min(BACKOFF_MAX_MS);
        let again = now.plus_ms(rng.random_range(0..=ceiling));
        if again >= deadline {
            return RetryDecision::Stop(run_state);
        }
        if !budget.spend() {
            return RetryDecision::Exhausted(run_state);
        }
        RetryDecision::Again(again)
    }
}

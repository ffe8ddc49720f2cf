//! The body of every refusal.

use pimentoslip_kernel::{RefusalReason, RunState};
use serde::{Deserialize, Serialize};

/// Why a request was refused, and whether it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Stable code.
    pub code: String,
    /// "not run", "may have run" or "ran".
    pub run_state: String,
    /// What the caller can do.
    pub remedy: String,
    /// Id of the request.
    pub request_id: String,
}

/// Envelope of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The refusal.
    pub error: RefusalBody,
}

impl Refusal {
    /// Builds the body for `reason`.
    #[must_use]
    pub fn new(reason: RefusalReason, run_state: RunState, request_id: &str) -> Self {
        let error = RefusalBody {
            code: reason.code().to_owned(),
            run_state: run_state.as_str().to_owned(),
            remedy: reason.remedy().to_owned(),
            request_id: request_id.to_owned(),
        };
        Self { error }
    }
}

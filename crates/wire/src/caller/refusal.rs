//! Body of the response to a refused request.

use pimentoslip_kernel::{RefusalReason, RunState};
use serde::{Deserialize, Serialize};

/// Reason of a refusal, and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Code of the reason, which stays the same across releases.
    pub code: String,
    /// "not run", "may have run" or "ran".
    pub run_state: String,
    /// Advice to the caller on what to do.
    pub remedy: String,
    /// Id of the refused request.
    pub request_id: String,
}

/// JSON envelope of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub error: RefusalBody,
}

impl Refusal {
    /// Creates the body for `reason`.
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

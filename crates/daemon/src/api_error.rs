//! Refusals as HTTP answers.

use crate::request_id::RequestId;
use actix_web::{HttpResponse, ResponseError, http::StatusCode, http::header::RETRY_AFTER};
use pimentoslip_kernel::{RefusalReason, RunState};
use pimentoslip_wire::{REQUEST_ID_HEADER, caller::Refusal};

/// Result of a caller's request.
pub type Result<T> = std::result::Result<T, ApiError>;

const RETRY_AFTER_SECONDS: &str = "1";

/// A refused request.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}", .reason.remedy())]
pub struct ApiError {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub run_state: RunState,
    /// Id of the request.
    pub request_id: RequestId,
}

impl ApiError {
    /// A refusal of a request of which nothing reached an upstream.
    #[must_use]
    pub fn not_run(reason: RefusalReason, request_id: &RequestId) -> Self {
        Self { reason, run_state: RunState::NotRun, request_id: request_id.clone() }
    }

    /// The body.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        Refusal::new(self.reason, self.run_state, &self.request_id)
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut answer = HttpResponse::build(self.status_code());
        answer.insert_header((REQUEST_ID_HEADER, &*self.request_id));
        if matches!(self.reason.status(), 429 | 503) {
            answer.insert_header((RETRY_AFTER, RETRY_AFTER_SECONDS));
        }
        answer.json(self.refusal())
    }
}

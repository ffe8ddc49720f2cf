//! Converts refusals of callers' requests to HTTP responses.

use crate::request_id::RequestId;
use actix_web::{HttpResponse, ResponseError, http::StatusCode, http::header::RETRY_AFTER};
use pimentoslip_kernel::{RefusalReason, RunState};
use pimentoslip_wire::{REQUEST_ID_HEADER, caller::Refusal};

/// Result of handling a caller's request.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Value of the `Retry-After` header, which is sent with the statuses 429 and 503 because a retry can succeed.
const RETRY_AFTER_SECONDS: &str = "1";

/// Refusal of a caller's request.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}", .reason.remedy())]
pub struct ApiError {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether an upstream ran the request.
    pub run_state: RunState,
    /// ID of the request.
    pub request_id: RequestId,
}

impl ApiError {
    /// Creates a refusal of a request that no upstream has run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, request_id: &RequestId) -> Self {
        Self { reason, run_state: RunState::NotRun, request_id: request_id.clone() }
    }

    /// Body of the HTTP response.
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
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((REQUEST_ID_HEADER, &*self.request_id));
        if matches!(self.reason.status(), 429 | 503) {
            response.insert_header((RETRY_AFTER, RETRY_AFTER_SECONDS));
        }
        response.json(self.refusal())
    }
}

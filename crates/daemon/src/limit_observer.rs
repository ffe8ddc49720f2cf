//! Counts what the listeners of a daemon refuse.

use crate::{api_error::ApiError, shared_state::SharedState};
use actix_web::{HttpResponse, ResponseError};
use pimentoslip_kernel::RefusalReason;
use pimentoslip_server::LimitObserver;
use std::sync::Arc;

/// Observer of a daemon's listeners.
#[derive(Clone)]
pub struct DaemonObserver(pub Arc<SharedState>);

impl LimitObserver for DaemonObserver {
    fn connection_closed(&self, reason: &'static str) {
        self.0.metrics.count_client_close(reason);
    }

    fn request_refused(&self) -> HttpResponse {
        self.0.metrics.count_refusal(RefusalReason::MemoryUsedUp);
        ApiError::not_run(RefusalReason::MemoryUsedUp, &self.0.next_request_id()).error_response()
    }
}

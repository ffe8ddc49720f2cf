//! Reads request bodies with limits on size and time.

use crate::{
    api_error::{ApiError, Result},
    request_id::RequestId,
    shared_state::SharedState,
};
use actix_web::web::{Bytes, Payload};
use pimentoslip_kernel::RefusalReason;
use std::time::Duration;

/// Maximum time for which a caller may send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads the complete body. Fails if it is too large, incomplete or slow.
pub async fn read_body(shared: &SharedState, payload: Payload, id: &RequestId) -> Result<Bytes> {
    let refuse = |reason| ApiError::not_run(reason, id);
    let read = payload.to_bytes_limited(shared.settings.body_bytes_max);
    match actix_rt::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) | Err(_) => Err(refuse(RefusalReason::BodyMalformed)),
        Ok(Err(_)) => Err(refuse(RefusalReason::BodyTooLarge)),
    }
}

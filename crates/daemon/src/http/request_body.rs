//! Reads request bodies with limits on size and time.

use crate::{
    api_error::{ApiError, Result},
    request_id::RequestId,
    shared_state::SharedState,
};
use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;
use pimentoslip_kernel::RefusalReason;
use pimentoslip_server::BufferShare;
use std::time::Duration;

/// Maximum time for which a caller may send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// A body together with its memory.
struct ChargedBytes {
    bytes: BytesMut,
    share: BufferShare,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the complete body, whose memory is taken from the budget until it is dropped. Fails if it is too large, incomplete or slow,
/// or if there is no memory for it.
pub async fn read_body(shared: &SharedState, mut payload: Payload, id: &RequestId) -> Result<Bytes> {
    let mut body = ChargedBytes { bytes: BytesMut::new(), share: shared.buffers.share() };
    let read = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| RefusalReason::BodyMalformed)?;
            if body.bytes.len() + chunk.len() > shared.settings.body_bytes_max {
                return Err(RefusalReason::BodyTooLarge);
            }
            if !body.share.grow(chunk.len()) {
                return Err(RefusalReason::MemoryUsedUp);
            }
            body.bytes.extend_from_slice(&chunk);
        }
        Ok(())
    };
    let read = actix_rt::time::timeout(BODY_TIMEOUT, read).await.unwrap_or(Err(RefusalReason::BodyMalformed));
    read.map_err(|reason| ApiError::not_run(reason, id))?;
    Ok(Bytes::from_owner(body))
}

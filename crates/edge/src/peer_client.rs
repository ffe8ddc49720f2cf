//! Calls to other daemons.

use awc::Client;
use pimentoslip_client::client_with_user_timeout;
use pimentoslip_wire::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Unacknowledged bytes towards a peer are given up after this; round trips take milliseconds.
const PEER_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest answer: a page of results, which the interface for callers bounds.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No whole answer came.
    #[error("no answer from the peer: {problem}; the store is used instead")]
    Unresponsive {
        /// What happened.
        problem: String,
    },
    /// It did not take the call.
    #[error("the peer answered {status}; the store is used instead")]
    Refused {
        /// Status.
        status: u16,
    },
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Malformed(#[from] pimentoslip_wire::CodecError),
}

/// A client for one thread.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
}

impl std::fmt::Debug for PeerClient {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

impl Default for PeerClient {
    fn default() -> Self {
        Self { client: client_with_user_timeout(PEER_USER_TIMEOUT) }
    }
}

impl PeerClient {
    /// Sends `request` to `path` of the daemon at `control` and waits for its answer for up to `timeout_ms`.
    pub async fn call<A: DeserializeOwned>(
        &self,
        control: &str,
        path: &str,
        request: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<A> {
        let body = encode(request)?;
        let timeout = Duration::from_millis(timeout_ms);
        let sent = self.client.post(format!("http://{control}{path}")).timeout(timeout).send_body(body);
        let whole = async {
            let mut answer = sent.await.map_err(|error| PeerError::Unresponsive { problem: error.to_string() })?;
            if !answer.status().is_success() {
                return Err(PeerError::Refused { status: answer.status().as_u16() });
            }
            let body = answer.body().limit(ANSWER_BYTES_MAX).await;
            body.map_err(|error| PeerError::Unresponsive { problem: error.to_string() })
        };
        let body = actix_rt::time::timeout(timeout, whole).await;
        let body = body.map_err(|_| PeerError::Unresponsive { problem: format!("nothing in {timeout_ms} ms") })??;
        Ok(decode(&body)?)
    }
}

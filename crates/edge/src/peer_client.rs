//! HTTP client for calls to the control listeners of other daemons.

use awc::Client;
use pimentoslip_client::client_with_tcp_user_timeout;
use pimentoslip_wire::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// TCP user timeout of connections to peers: a connection is closed when sent bytes stay unacknowledged for this long.
/// Round trips take milliseconds.
const PEER_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest response body: a page of results, which the batch API limits.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No complete response was received in time.
    #[error("no complete response from the peer: {problem}; the store is used instead if it can serve the call")]
    Unresponsive {
        /// Description of the failure.
        problem: String,
    },
    /// The peer returned an error status.
    #[error("the peer returned HTTP status {status}; the store is used instead if it can serve the call")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Malformed(#[from] pimentoslip_wire::CodecError),
}

/// HTTP client for other daemons; each thread has its own.
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
        Self { client: client_with_tcp_user_timeout(PEER_USER_TIMEOUT) }
    }
}

impl PeerClient {
    /// Posts `request` to `path` of the daemon with the control listener at `control_address`, and waits up to
    /// `timeout_ms` for its response.
    pub async fn call<Response: DeserializeOwned>(
        &self,
        control_address: &str,
        path: &str,
        request: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<Response> {
        let body = encode(request)?;
        let timeout = Duration::from_millis(timeout_ms);
        let sent = self.client.post(format!("http://{control_address}{path}")).timeout(timeout).send_body(body);
        let complete_body = async {
            let mut response = sent.await.map_err(|error| PeerError::Unresponsive { problem: error.to_string() })?;
            if !response.status().is_success() {
                return Err(PeerError::Refused { status: response.status().as_u16() });
            }
            let body = response.body().limit(RESPONSE_BYTES_MAX).await;
            body.map_err(|error| PeerError::Unresponsive { problem: error.to_string() })
        };
        let body = actix_rt::time::timeout(timeout, complete_body).await;
        let body =
            body.map_err(|_| PeerError::Unresponsive { problem: format!("timed out after {timeout_ms} ms") })??;
        Ok(decode(&body)?)
    }
}

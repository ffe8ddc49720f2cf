//! HTTP client for calls to the control listeners of other daemons.

use awc::{Client, error::SendRequestError};
use bytes::Bytes;
use pimentoslip_client::plain_client;
use pimentoslip_kernel::SharedName;
use pimentoslip_wire::{CLUSTER_SECRET_HEADER, CodecError, decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, time::Duration};

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Maximum size of a response body.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// Reason why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer's address refuses connections, which means that its process has ended.
    #[error("the peer refuses connections because its process has ended; check the daemon on its VM")]
    ProcessEnded,
    /// No connection could be opened, so that the peer did not receive the request.
    #[error("cannot connect to the peer: {0}; check the network between the VMs")]
    ConnectFailed(String),
    /// No complete response was received; the peer may have processed the request.
    #[error("no complete response from the peer: {0}; check its VM")]
    Unresponsive(String),
    /// The peer returned an error status.
    #[error("the peer returned HTTP status {0}; check that both daemons have the same cluster secret")]
    Refused(u16),
    /// The request could not be encoded, or the response could not be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// HTTP client for other daemons. Each thread has its own.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    /// Cluster secret that authenticates this daemon to its peers.
    secret: SharedName,
}

impl PeerClient {
    /// Creates a client that sends the cluster secret `secret` with each request.
    #[must_use]
    pub fn new(secret: SharedName) -> Self {
        Self { client: plain_client(), secret }
    }

    /// Posts `request` to `path` of the daemon at `control_address`, and waits up to `timeout_ms` for its response.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        control_address: &str,
        path: &str,
        request: &Q,
        timeout_ms: u64,
    ) -> Result<A> {
        let body = self.call_raw(control_address, path, encode(request)?, timeout_ms).await?;
        Ok(decode(&body)?)
    }

    /// Does the same as [`call`](Self::call) with an encoded request, and returns the encoded response.
    pub async fn call_raw(&self, control_address: &str, path: &str, body: Vec<u8>, timeout_ms: u64) -> Result<Bytes> {
        let request = self
            .client
            .post(format!("http://{control_address}{path}"))
            .insert_header((CLUSTER_SECRET_HEADER, &*self.secret))
            .timeout(Duration::from_millis(timeout_ms));
        let mut response = request.send_body(body).await.map_err(|error| peer_error(&error))?;
        if !response.status().is_success() {
            return Err(PeerError::Refused(response.status().as_u16()));
        }
        response.body().limit(RESPONSE_BYTES_MAX).await.map_err(|error| PeerError::Unresponsive(error.to_string()))
    }
}

/// Classifies a failure to send a request or to receive the header of its response.
fn peer_error(error: &SendRequestError) -> PeerError {
    let SendRequestError::Connect(connect_error) = error else { return PeerError::Unresponsive(error.to_string()) };
    match connect_error {
        awc::error::ConnectError::Io(io_error) if io_error.kind() == io::ErrorKind::ConnectionRefused => {
            PeerError::ProcessEnded
        }
        _ => PeerError::ConnectFailed(error.to_string()),
    }
}

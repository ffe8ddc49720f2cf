//! Calls to other daemons.

use awc::{Client, error::SendRequestError};
use bytes::Bytes;
use pimentoslip_client::plain_client;
use pimentoslip_kernel::SharedName;
use pimentoslip_wire::{CLUSTER_SECRET_HEADER, CodecError, decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, time::Duration};

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// Nothing listens there: the process has ended.
    #[error("the peer's port refuses connections; its process has ended")]
    ProcessEnded,
    /// No connection could be opened, so nothing was asked.
    #[error("the peer cannot be connected: {0}; check the network between the VMs")]
    ConnectFailed(String),
    /// No whole answer came; the peer may have acted.
    #[error("the peer did not answer: {0}; check its VM")]
    Unresponsive(String),
    /// It refused.
    #[error("the peer answered with status {0}; check that the cluster secret is the same")]
    Refused(u16),
    /// The message could not be coded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Client for peers. Not shared between threads.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    secret: SharedName,
}

impl PeerClient {
    /// Creates a client that shows `secret`.
    #[must_use]
    pub fn new(secret: SharedName) -> Self {
        Self { client: plain_client(), secret }
    }

    /// Asks `question` of the peer at `control`.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        control: &str,
        path: &str,
        question: &Q,
        timeout_ms: u64,
    ) -> Result<A> {
        let body = self.call_raw(control, path, encode(question)?, timeout_ms).await?;
        Ok(decode(&body)?)
    }

    /// As [`call`](Self::call), with encoded messages.
    pub async fn call_raw(&self, control: &str, path: &str, question: Vec<u8>, timeout_ms: u64) -> Result<Bytes> {
        let request = self
            .client
            .post(format!("http://{control}{path}"))
            .insert_header((CLUSTER_SECRET_HEADER, &*self.secret))
            .timeout(Duration::from_millis(timeout_ms));
        let mut answer = request.send_body(question).await.map_err(|error| classify(&error))?;
        if !answer.status().is_success() {
            return Err(PeerError::Refused(answer.status().as_u16()));
        }
        answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| PeerError::Unresponsive(error.to_string()))
    }
}

fn classify(error: &SendRequestError) -> PeerError {
    let SendRequestError::Connect(connect) = error else { return PeerError::Unresponsive(error.to_string()) };
    match connect {
        awc::error::ConnectError::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => PeerError::ProcessEnded,
        _ => PeerError::ConnectFailed(error.to_string()),
    }
}

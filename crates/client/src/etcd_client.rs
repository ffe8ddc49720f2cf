//! Client of the key-value service, which uses the JSON form of the etcd v3 protocol.

use crate::{CallTimeout, KeyValueClient, PlatformError, Result, plain_client};
use awc::Client;
use futures_util::StreamExt;
use pimentoslip_wire::kv::{
    KeepAliveResponse, LeaseGrantRequest, LeaseGrantResponse, LeaseId, RangeRequest, RangeResponse, ResponseHeader,
    TxnRequest, TxnResponse, WatchCreate, WatchRequest, WatchResponse, prefix_end,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Maximum size of a response.
const RESPONSE_BYTES_MAX: usize = 64 << 20;
const MS_PER_SECOND: u64 = 1_000;
/// Longest wait of a watch for the response, and for each chunk of it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of one endpoint. Clones share its connections and its call counter.
#[derive(Clone)]
pub struct EtcdClient {
    client: Client,
    endpoint: Arc<str>,
    /// Number of calls made, including watches.
    calls: Arc<AtomicU64>,
}

impl EtcdClient {
    /// Creates a client of `endpoint`, given as `ip:port`, that counts its calls in `calls`.
    #[must_use]
    pub fn new(endpoint: Arc<str>, calls: Arc<AtomicU64>) -> Self {
        Self { client: plain_client(), endpoint, calls }
    }

    async fn call<Req: Serialize, Resp: DeserializeOwned>(&self, path: &str, request_body: &Req) -> Result<Resp> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let request = self.client.post(format!("http://{}{path}", self.endpoint)).timeout(CallTimeout::KEY_VALUE);
        let mut response = request.send_json(request_body).await.map_err(|error| self.unreachable_error(&error))?;
        if !response.status().is_success() {
            return Err(PlatformError::Refused {
                endpoint: self.endpoint.to_string(),
                status: response.status().as_u16(),
            });
        }
        let body = response.body().limit(RESPONSE_BYTES_MAX).await.map_err(|error| self.unreachable_error(&error))?;
        self.parse(&body)
    }

    fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
            endpoint: self.endpoint.to_string(),
            problem: error.to_string(),
        })
    }

    fn unreachable_error(&self, error: &impl ToString) -> PlatformError {
        PlatformError::Unreachable { endpoint: self.endpoint.to_string(), problem: error.to_string() }
    }
}

impl KeyValueClient for EtcdClient {
    async fn range(&self, prefix: &str, since: u64) -> Result<RangeResponse> {
        let request_body =
            RangeRequest { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()), min_mod_revision: since };
        self.call("/v3/kv/range", &request_body).await
    }

    async fn get(&self, key: &str) -> Result<RangeResponse> {
        let request_body = RangeRequest { key: key.into(), ..RangeRequest::default() };
        self.call("/v3/kv/range", &request_body).await
    }

    async fn commit(&self, txn: &TxnRequest) -> Result<TxnResponse> {
        self.call("/v3/kv/txn", txn).await
    }

    async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        let request_body = LeaseGrantRequest { ttl_seconds: ttl_ms.div_ceil(MS_PER_SECOND) };
        let response: LeaseGrantResponse = self.call("/v3/lease/grant", &request_body).await?;
        Ok(response.id)
    }

    async fn renew_lease(&self, lease: u64) -> Result<()> {
        let response: KeepAliveResponse = self.call("/v3/lease/keepalive", &LeaseId { id: lease }).await?;
        if response.result.ttl_seconds == 0 {
            return Err(PlatformError::LeaseNotFound);
        }
        Ok(())
    }

    async fn revoke_lease(&self, lease: u64) -> Result<()> {
        let _: HeaderOnlyResponse = self.call("/v3/lease/revoke", &LeaseId { id: lease }).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, since: u64) -> Result<u64> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let create_request =
            WatchCreate { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()), start_revision: since };
        let request = self.client.post(format!("http://{}/v3/watch", self.endpoint)).timeout(WATCH_TIMEOUT);
        let request_body = WatchRequest { create_request };
        let mut response = request.send_json(&request_body).await.map_err(|error| self.unreachable_error(&error))?;
        let mut received = Vec::new();
        loop {
            let result = actix_rt::time::timeout(WATCH_TIMEOUT, response.next()).await;
            let chunk = result.map_err(|error| self.unreachable_error(&error))?;
            let Some(chunk) = chunk else {
                return Err(self.unreachable_error(&"the connection of the watch ended without a change"));
            };
            received.extend_from_slice(&chunk.map_err(|error| self.unreachable_error(&error))?);
            while let Some(line_end) = received.iter().position(|byte| *byte == b'\n') {
                let complete_line: Vec<u8> = received.drain(..=line_end).collect();
                let watch_response: WatchResponse = self.parse(&complete_line)?;
                if !watch_response.result.events.is_empty() {
                    return Ok(watch_response.result.header.revision);
                }
            }
        }
    }
}

/// Response of which only the header is checked.
#[derive(serde::Deserialize)]
struct HeaderOnlyResponse {
    #[serde(rename = "header", default)]
    _header: ResponseHeader,
}

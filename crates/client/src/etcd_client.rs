//! The key-value service through the JSON form of the etcd v3 protocol.

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

const ANSWER_BYTES_MAX: usize = 64 << 20;
const MS_PER_SECOND: u64 = 1_000;
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of one endpoint. Cloning shares its connections and its call counter.
#[derive(Clone)]
pub struct EtcdClient {
    client: Client,
    endpoint: Arc<str>,
    calls: Arc<AtomicU64>,
}

impl EtcdClient {
    /// Creates a client of `endpoint`, given as `ip:port`, that counts its calls in `calls`.
    #[must_use]
    pub fn new(endpoint: Arc<str>, calls: Arc<AtomicU64>) -> Self {
        Self { client: plain_client(), endpoint, calls }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, question: &Q) -> Result<A> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let request = self.client.post(format!("http://{}{path}", self.endpoint)).timeout(CallTimeout::KEY_VALUE);
        let mut answer = request.send_json(question).await.map_err(|error| self.unreachable(&error))?;
        if !answer.status().is_success() {
            return Err(PlatformError::Refused {
                endpoint: self.endpoint.to_string(),
                status: answer.status().as_u16(),
            });
        }
        let body = answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| self.unreachable(&error))?;
        self.parse(&body)
    }

    fn parse<A: DeserializeOwned>(&self, body: &[u8]) -> Result<A> {
        serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
            endpoint: self.endpoint.to_string(),
            problem: error.to_string(),
        })
    }

    fn unreachable(&self, error: &impl ToString) -> PlatformError {
        PlatformError::Unreachable { endpoint: self.endpoint.to_string(), problem: error.to_string() }
    }
}

impl KeyValueClient for EtcdClient {
    async fn range(&self, prefix: &str, since: u64) -> Result<RangeResponse> {
        let question =
            RangeRequest { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()), min_mod_revision: since };
        self.call("/v3/kv/range", &question).await
    }

    async fn get(&self, key: &str) -> Result<RangeResponse> {
        let question = RangeRequest { key: key.into(), ..RangeRequest::default() };
        self.call("/v3/kv/range", &question).await
    }

    async fn commit(&self, txn: &TxnRequest) -> Result<TxnResponse> {
        self.call("/v3/kv/txn", txn).await
    }

    async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        let question = LeaseGrantRequest { ttl_seconds: ttl_ms.div_ceil(MS_PER_SECOND) };
        let granted: LeaseGrantResponse = self.call("/v3/lease/grant", &question).await?;
        Ok(granted.id)
    }

    async fn renew_lease(&self, lease: u64) -> Result<()> {
        let answer: KeepAliveResponse = self.call("/v3/lease/keepalive", &LeaseId { id: lease }).await?;
        if answer.result.ttl_seconds == 0 {
            return Err(PlatformError::LeaseNotFound);
        }
        Ok(())
    }

    async fn revoke_lease(&self, lease: u64) -> Result<()> {
        let _: ResponseEnvelope = self.call("/v3/lease/revoke", &LeaseId { id: lease }).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, since: u64) -> Result<u64> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let create_request =
            WatchCreate { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()), start_revision: since };
        let request = self.client.post(format!("http://{}/v3/watch", self.endpoint)).timeout(WATCH_TIMEOUT);
        let question = WatchRequest { create_request };
        let mut answer = request.send_json(&question).await.map_err(|error| self.unreachable(&error))?;
        let mut line = Vec::new();
        loop {
            let next = actix_rt::time::timeout(WATCH_TIMEOUT, answer.next()).await;
            let chunk = next.map_err(|error| self.unreachable(&error))?;
            let Some(chunk) = chunk else { return Err(self.unreachable(&"the watch ended")) };
            line.extend_from_slice(&chunk.map_err(|error| self.unreachable(&error))?);
            while let Some(at) = line.iter().position(|byte| *byte == b'\n') {
                let whole: Vec<u8> = line.drain(..=at).collect();
                let batch: WatchResponse = self.parse(&whole)?;
                if !batch.result.events.is_empty() {
                    return Ok(batch.result.header.revision);
                }
            }
        }
    }
}

/// An answer of which only the header matters.
#[derive(serde::Deserialize)]
struct ResponseEnvelope {
    #[serde(rename = "header", default)]
    _header: ResponseHeader,
}

//! Client of the administration API.

use crate::{CliError, CliResult};
use awc::{Client, SendClientRequest};
use pimentoslip_wire::OPERATOR_KEY_HEADER;
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Talks to one daemon.
pub struct AdminClient {
    client: Client,
    daemon: String,
    operator_key: String,
}

impl AdminClient {
    /// Creates a client of the daemon at control address `daemon`.
    pub fn new(daemon: String, operator_key: String) -> Self {
        let client = Client::builder().timeout(TIMEOUT).finish();
        Self { client, daemon, operator_key }
    }

    /// Reads `path` below the administration API.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> CliResult<A> {
        let request = self.client.get(self.url(path)).insert_header((OPERATOR_KEY_HEADER, self.operator_key.as_str()));
        self.finish(request.send()).await
    }

    /// Sends `body` to `path` below the administration API.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(&self, path: &str, body: &Q) -> CliResult<A> {
        let request = self.client.post(self.url(path)).insert_header((OPERATOR_KEY_HEADER, self.operator_key.as_str()));
        self.finish(request.send_json(body)).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.daemon)
    }

    async fn finish<A: DeserializeOwned>(&self, request: SendClientRequest) -> CliResult<A> {
        let unreachable = |reason: String| CliError::Unreachable { daemon: self.daemon.clone(), reason };
        let mut answer = request.await.map_err(|error| unreachable(error.to_string()))?;
        let body = answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| unreachable(error.to_string()))?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            let reason = match status {
                404 => "check the operator key".to_owned(),
                _ => String::from_utf8_lossy(&body).into_owned(),
            };
            return Err(CliError::Refused { daemon: self.daemon.clone(), status, reason });
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

//! HTTP client of a daemon's administration API.

use crate::{CliError, CliResult};
use awc::{Client, SendClientRequest};
use pimentoslip_wire::OPERATOR_KEY_HEADER;
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the administration API of one daemon, authenticated with the operator key.
pub struct AdminClient {
    client: Client,
    daemon: String,
    operator_key: String,
}

impl AdminClient {
    /// Creates a client of the daemon whose control address (`ip:port`) is `daemon`.
    pub fn new(daemon: String, operator_key: String) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { client, daemon, operator_key }
    }

    /// Sends a GET request to `path`, relative to the root of the administration API, and parses the response.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> CliResult<R> {
        let request = self.client.get(self.url(path)).insert_header((OPERATOR_KEY_HEADER, self.operator_key.as_str()));
        self.read_response(request.send()).await
    }

    /// Posts `body` as JSON to `path`, relative to the root of the administration API, and parses the response.
    pub async fn post<B: Serialize, R: DeserializeOwned>(&self, path: &str, body: &B) -> CliResult<R> {
        let request = self.client.post(self.url(path)).insert_header((OPERATOR_KEY_HEADER, self.operator_key.as_str()));
        self.read_response(request.send_json(body)).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.daemon)
    }

    /// Awaits the response of `request` and parses its JSON body, or turns the failure into an error.
    async fn read_response<R: DeserializeOwned>(&self, request: SendClientRequest) -> CliResult<R> {
        let unreachable_error = |reason: String| CliError::Unreachable { daemon: self.daemon.clone(), reason };
        let mut response = request.await.map_err(|error| unreachable_error(error.to_string()))?;
        let body =
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|error| unreachable_error(error.to_string()))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let reason = match status {
                404 => "check the operator key given with --operator-key".to_owned(),
                _ => String::from_utf8_lossy(&body).into_owned(),
            };
            return Err(CliError::Rejected { daemon: self.daemon.clone(), status, reason });
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

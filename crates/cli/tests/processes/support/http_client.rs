//! HTTP client for the public, administration and stand-in interfaces of a site.

use awc::{Client, ClientRequest, SendClientRequest};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const ANSWER_BODY_MAX_BYTES: usize = 64 << 20;

/// Complete HTTP answer, or the transport error of the request.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status; 0 if no complete answer was received.
    pub status: u16,
    /// Names and values of the headers; empty if no header was received.
    pub headers: Vec<(String, String)>,
    /// Complete body, or the text of the transport error if the status is 0.
    pub body: String,
}

impl HttpAnswer {
    /// Body parsed as JSON. Panics if it is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }

    /// Text of the field `field` in the `error` object of a refusal; empty if it is missing.
    pub fn error(&self, field: &str) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"][field].as_str().unwrap_or_default().to_owned()
    }

    /// Value of the header `name`; empty if it is missing.
    pub fn header(&self, name: &str) -> String {
        self.headers.iter().find(|(header, _)| header == name).map_or(String::new(), |(_, value)| value.clone())
    }
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Creates a client with a connection pool of its own.
    pub fn new() -> Self {
        Self { client: pimentoslip_client::plain_client() }
    }

    /// Builds a request; the caller of this function sends it.
    pub fn request(&self, method: &str, url: &str) -> ClientRequest {
        let method = awc::http::Method::from_bytes(method.as_bytes()).expect("a valid HTTP method");
        self.client.request(method, url).timeout(REQUEST_TIMEOUT)
    }

    /// Sends a request with `headers` and `body` as JSON, and reads the complete answer.
    pub async fn send<Q: Serialize>(&self, method: &str, url: &str, headers: &[(&str, &str)], body: &Q) -> HttpAnswer {
        Self::complete(self.request_with(method, url, headers).send_json(body)).await
    }

    /// Sends a request with `headers` and no body, and reads the complete answer.
    pub async fn send_without_body(&self, method: &str, url: &str, headers: &[(&str, &str)]) -> HttpAnswer {
        Self::complete(self.request_with(method, url, headers).send()).await
    }

    fn request_with(&self, method: &str, url: &str, headers: &[(&str, &str)]) -> ClientRequest {
        let request = self.request(method, url);
        headers.iter().fold(request, |request, header| request.append_header(*header))
    }

    /// Awaits the answer to a request that was sent, and reads it completely.
    async fn complete(sent: SendClientRequest) -> HttpAnswer {
        match sent.await {
            Ok(answer) => read_answer(answer).await,
            Err(error) => HttpAnswer { status: 0, headers: Vec::new(), body: error.to_string() },
        }
    }

    /// Reads the JSON document at `url`; `None` if the request fails or the body does not parse.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let mut answer = self.client.get(url).send().await.ok()?;
        let body = answer.body().limit(ANSWER_BODY_MAX_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a PUT request with `body` as JSON to `url`. Panics unless the answer has a success status.
    pub async fn put_json<Q: Serialize>(&self, url: &str, body: &Q) {
        let answer = self.client.put(url).send_json(body).await.expect("send a PUT request");
        assert!(answer.status().is_success(), "PUT {url} was refused with status {}", answer.status());
    }

    /// Sends a DELETE request to `url`. Panics only if no answer is received.
    pub async fn delete(&self, url: &str) {
        self.client.delete(url).send().await.expect("send a DELETE request");
    }
}

/// Reads the complete body of an answer.
async fn read_answer<S>(mut answer: awc::ClientResponse<S>) -> HttpAnswer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let headers = answer.headers().iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
    let status = answer.status().as_u16();
    match answer.body().limit(ANSWER_BODY_MAX_BYTES).await {
        Ok(body) => HttpAnswer { status, headers, body: String::from_utf8_lossy(&body).into_owned() },
        Err(error) => HttpAnswer { status: 0, headers, body: error.to_string() },
    }
}

//! HTTP as callers speak it.

use awc::{Client, ClientRequest};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(60);
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// A whole answer, or how it failed.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status; zero when no whole answer came.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it came.
    pub body: String,
}

impl HttpAnswer {
    /// The parsed body.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }

    /// A field of a refusal.
    pub fn error(&self, field: &str) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"][field].as_str().unwrap_or_default().to_owned()
    }

    /// Value of a header, empty when it is missing.
    pub fn header(&self, name: &str) -> String {
        self.headers.iter().find(|(key, _)| key == name).map_or(String::new(), |(_, value)| value.clone())
    }
}

/// One caller.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Creates a caller with connections of its own.
    pub fn new() -> Self {
        Self { client: pimentoslip_client::plain_client() }
    }

    /// Begins a request.
    pub fn request(&self, method: &str, url: &str) -> ClientRequest {
        let method = awc::http::Method::from_bytes(method.as_bytes()).expect("a method");
        self.client.request(method, url).timeout(TIMEOUT)
    }

    /// Sends JSON with headers and reads the whole answer.
    pub async fn send<Q: Serialize>(&self, method: &str, url: &str, headers: &[(&str, &str)], body: &Q) -> HttpAnswer {
        let mut request = self.request(method, url);
        for (name, value) in headers {
            request = request.append_header((*name, *value));
        }
        let answer = match request.send_json(body).await {
            Ok(answer) => answer,
            Err(error) => return HttpAnswer { status: 0, headers: Vec::new(), body: error.to_string() },
        };
        read(answer).await
    }

    /// Reads JSON.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let mut answer = self.client.get(url).send().await.ok()?;
        let body = answer.body().limit(ANSWER_BYTES_MAX).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Puts JSON, which must be accepted.
    pub async fn put_json<Q: Serialize>(&self, url: &str, body: &Q) {
        let answer = self.client.put(url).send_json(body).await.expect("put");
        assert!(answer.status().is_success(), "{url} refused with {}", answer.status());
    }

    /// Deletes.
    pub async fn delete(&self, url: &str) {
        self.client.delete(url).send().await.expect("delete");
    }
}

async fn read<S>(mut answer: awc::ClientResponse<S>) -> HttpAnswer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let headers = answer.headers().iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
    let status = answer.status().as_u16();
    match answer.body().limit(ANSWER_BYTES_MAX).await {
        Ok(body) => HttpAnswer { status, headers, body: String::from_utf8_lossy(&body).into_owned() },
        Err(error) => HttpAnswer { status: 0, headers, body: error.to_string() },
    }
}

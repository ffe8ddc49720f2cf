//! What an upstream stand-in was sent.

use actix_web::HttpRequest;
use serde::{Deserialize, Serialize};

/// One request as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// All headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl RecordedRequest {
    /// Copies a request.
    #[must_use]
    pub fn from_request(request: &HttpRequest, body: &[u8]) -> Self {
        let headers = request
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()))
            .collect();
        Self {
            method: request.method().to_string(),
            uri: request.uri().to_string(),
            headers,
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// Value of a header, empty when it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

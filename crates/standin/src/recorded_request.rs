//! Copy of a request that an upstream stand-in received.

use actix_web::HttpRequest;
use serde::{Deserialize, Serialize};

/// A received request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub uri: String,
    /// Names and values of all headers.
    pub headers: Vec<(String, String)>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl RecordedRequest {
    /// Copies a received request.
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

    /// Value of the header `name` (lower case), or an empty text if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

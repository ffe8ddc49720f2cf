//! Classifies requests by whether they may be sent to an upstream more than once.

use crate::SharedName;

/// Repeat class of a request, determined before its first attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// May run any number of times, because running it again has no further effect.
    Idempotent,
    /// Must run at most once. It has no idempotency key, so a repeat by the caller cannot be detected.
    AtMostOnce,
    /// Must run at most once across all daemons. Repeats are detected by the caller's idempotency key, which the
    /// variant holds.
    Claimed(SharedName),
}

impl RequestClass {
    /// Classifies a request by its HTTP method, the service's `repeatable` setting and the caller's idempotency key.
    #[must_use]
    pub fn classify(method: &str, repeatable: bool, idempotency_key: Option<&str>) -> Self {
        if let Some(key) = idempotency_key {
            return Self::Claimed(key.into());
        }
        if repeatable || matches!(method, "GET" | "HEAD" | "OPTIONS") {
            return Self::Idempotent;
        }
        Self::AtMostOnce
    }
}

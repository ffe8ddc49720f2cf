//! How often a request may be sent to an upstream.

use crate::SharedName;

/// The repeat class of a request, decided before anything is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Running it again has no further effect.
    Idempotent,
    /// Must run at most once and carries nothing to recognise a repeat by.
    AtMostOnce,
    /// Must run at most once across daemons, recognised by the caller's idempotency key.
    Claimed(SharedName),
}

impl RequestClass {
    /// Classifies by HTTP method, the service's own setting, and the caller's idempotency key.
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

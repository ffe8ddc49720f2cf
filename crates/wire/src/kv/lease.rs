//! `POST /v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke`.

use super::ResponseHeader;
use serde::{Deserialize, Serialize};

/// Asks for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Lifetime in seconds.
    #[serde(rename = "TTL", with = "super::int_string")]
    pub ttl_seconds: u64,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Revision of the store.
    pub header: ResponseHeader,
    /// Lease.
    #[serde(rename = "ID", with = "super::int_string")]
    pub id: u64,
    /// Lifetime in seconds.
    #[serde(rename = "TTL", with = "super::int_string")]
    pub ttl_seconds: u64,
}

/// Names a lease to renew or to revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseId {
    /// Lease.
    #[serde(rename = "ID", with = "super::int_string")]
    pub id: u64,
}

/// Outcome of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAliveResult {
    /// Remaining lifetime in seconds, zero when the lease is gone.
    #[serde(rename = "TTL", with = "super::int_string", default)]
    pub ttl_seconds: u64,
}

/// Answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAliveResponse {
    /// Outcome.
    pub result: KeepAliveResult,
}

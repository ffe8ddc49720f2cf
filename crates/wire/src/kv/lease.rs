//! Messages of `POST /v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.

use super::ResponseHeader;
use serde::{Deserialize, Serialize};

/// Request for a new lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "super::int_string")]
    pub ttl_seconds: u64,
}

/// Response with the granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantResponse {
    /// Header with the revision of the store.
    pub header: ResponseHeader,
    /// Id of the lease.
    #[serde(rename = "ID", with = "super::int_string")]
    pub id: u64,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "super::int_string")]
    pub ttl_seconds: u64,
}

/// Request to renew or to revoke a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseId {
    /// Id of the lease.
    #[serde(rename = "ID", with = "super::int_string")]
    pub id: u64,
}

/// Outcome of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAliveResult {
    /// Remaining time to live in seconds; 0 if the lease has ended.
    #[serde(rename = "TTL", with = "super::int_string", default)]
    pub ttl_seconds: u64,
}

/// Response to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAliveResponse {
    /// Outcome of the renewal.
    pub result: KeepAliveResult,
}

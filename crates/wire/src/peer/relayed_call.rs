//! Requests that a daemon relays to an upstream for another one, which has no path of its own.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Header of the response to a [`RelayedCall`]: [`RELAY_ANSWERED`] if it is the upstream's, otherwise why there is none.
pub const RELAY_RESULT_HEADER: &str = "x-relay-result";
/// Value of [`RELAY_RESULT_HEADER`] for the response of an upstream.
pub const RELAY_ANSWERED: &str = "answered";
/// Header of the response to a [`RelayedCall`] whose body ended only with the connection of the upstream.
pub const RELAY_UNMEASURED_HEADER: &str = "x-relay-unmeasured";

/// Proof that a call is from a daemon that is present, and is not received twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySender {
    /// Name of the sending daemon.
    pub daemon: SharedName,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Token in its presence, which only daemons can read.
    pub token: SharedName,
    /// Number of the call; each call of a process has another one.
    pub number: u64,
}

/// Header of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderBody {
    /// Name of the header.
    pub name: String,
    /// Its value.
    pub value: ByteBuf,
}

/// Request to an upstream. The sender has selected the upstream; the receiver sends the request there on its direct path
/// and passes the response on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCall {
    /// The sender.
    pub sender: RelaySender,
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Request id.
    pub id: SharedName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `Host` header.
    pub host: SharedName,
    /// Further headers.
    pub headers: Vec<HeaderBody>,
    /// Organisation of the caller.
    pub organisation: Option<SharedName>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Request body.
    pub body: ByteBuf,
}

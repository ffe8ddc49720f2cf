//! Entries of the platform's list of upstreams.

use crate::SharedName;
use std::collections::BTreeMap;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SamplerState {
    /// Accepts new requests.
    Ready,
    /// Completes its current requests and accepts no new ones.
    Leaving,
}

/// Properties of an upstream as it reported them to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SamplerRecord {
    /// Id of the upstream's incarnation.
    pub id: SharedName,
    /// Service that the upstream belongs to.
    pub service: SharedName,
    /// Address, `ip:port`.
    pub address: SharedName,
    /// Failure domain in which the upstream runs.
    pub failure_domain: SharedName,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u64,
    /// Whether the upstream accepts new requests.
    pub state: SamplerState,
    /// Version of the upstream's software; empty if it names none. What two versions generate does not fit together.
    pub software: SharedName,
    /// Loaded version of the weights by model.
    pub versions: BTreeMap<SharedName, u64>,
    /// Start of the upstream's process, in milliseconds since the Unix epoch. Distinguishes incarnations with the same
    /// id.
    pub started_unix_ms: u64,
    /// Whether the platform may stop the upstream at any time to reclaim its machine.
    pub reclaimable: bool,
}

impl SamplerRecord {
    /// Whether `other` describes the same process of the upstream, with the same software.
    #[must_use]
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.started_unix_ms == other.started_unix_ms
            && self.software == other.software
    }
}

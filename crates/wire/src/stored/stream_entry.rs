//! Stored streams, and the versions of the software with which services have served.

use pimentoslip_kernel::{SharedName, SoftwareUse, StreamOrigin};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

const KEY_BYTES: usize = 8;

/// Streams that one version of a service's software started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StreamGroup {
    service: SharedName,
    software: SharedName,
    /// Keys of the streams, eight bytes each.
    keys: ByteBuf,
}

/// Streams that one process of a daemon started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsEntry {
    groups: Vec<StreamGroup>,
}

impl From<&[(u64, StreamOrigin)]> for StreamsEntry {
    fn from(streams: &[(u64, StreamOrigin)]) -> Self {
        let mut keys_by_stream: BTreeMap<&StreamOrigin, Vec<u8>> = BTreeMap::new();
        for (key, stream) in streams {
            keys_by_stream.entry(stream).or_default().extend(key.to_be_bytes());
        }
        let group = |(stream, keys): (&StreamOrigin, Vec<u8>)| StreamGroup {
            service: stream.service.clone(),
            software: stream.software.clone(),
            keys: keys.into(),
        };
        Self { groups: keys_by_stream.into_iter().map(group).collect() }
    }
}

impl From<StreamsEntry> for Vec<(u64, StreamOrigin)> {
    fn from(entry: StreamsEntry) -> Self {
        let streams = |group: StreamGroup| {
            let stream = StreamOrigin { service: group.service, software: group.software };
            let (keys, _) = group.keys.as_chunks::<KEY_BYTES>();
            keys.iter().map(|key| (u64::from_be_bytes(*key), stream.clone())).collect::<Vec<_>>()
        };
        entry.groups.into_iter().flat_map(streams).collect()
    }
}

/// Version of the software of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SoftwareUseEntry {
    software: SharedName,
    /// When the last upstream with it left, in milliseconds since the Unix epoch.
    left_unix_ms: Option<u64>,
}

/// Versions of the software with which a service has served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareEntry {
    uses: Vec<SoftwareUseEntry>,
}

impl From<&[SoftwareUse]> for SoftwareEntry {
    fn from(uses: &[SoftwareUse]) -> Self {
        let entry = |software_use: &SoftwareUse| SoftwareUseEntry {
            software: software_use.software.clone(),
            left_unix_ms: software_use.left_unix_ms,
        };
        Self { uses: uses.iter().map(entry).collect() }
    }
}

impl From<SoftwareEntry> for Vec<SoftwareUse> {
    fn from(entry: SoftwareEntry) -> Self {
        let software_use =
            |entry: SoftwareUseEntry| SoftwareUse { software: entry.software, left_unix_ms: entry.left_unix_ms };
        entry.uses.into_iter().map(software_use).collect()
    }
}

//! Processes of upstreams that have said in a response that they are about to end.

use super::SamplerRecord;
use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// Time for which such a process is remembered. It ends within seconds; its entry in the list may lapse and return until then.
const LEAVING_TTL_MS: u64 = 600_000;

/// A process that leaves.
#[derive(Clone, Debug)]
struct LeavingProcess {
    record: SamplerRecord,
    forgotten_at: TimePoint,
}

/// Leaving processes by the id of the upstream. The next process under an id is another one.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingProcesses {
    processes: BTreeMap<SharedName, LeavingProcess>,
}

impl LeavingProcesses {
    /// Adds the process that `record` describes. Returns whether it is new.
    pub(super) fn add(&mut self, record: &SamplerRecord, now: TimePoint) -> bool {
        let is_new = !self.contains(record);
        self.processes.retain(|_, process| now < process.forgotten_at);
        let process = LeavingProcess { record: record.clone(), forgotten_at: now.plus_ms(LEAVING_TTL_MS) };
        self.processes.insert(record.id.clone(), process);
        is_new
    }

    /// Whether the process that `record` describes leaves.
    pub(super) fn contains(&self, record: &SamplerRecord) -> bool {
        self.processes.get(&record.id).is_some_and(|process| process.record.is_same_process(record))
    }
}

//! The key-value store in the simulation of reads.

use pimentoslip_kernel::{OwnerRecord, TimePoint};
use std::collections::BTreeMap;

pub const LEASE_MS: u64 = 3_000;

/// What happens to a call that changes the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFate {
    Answered,
    /// The answer says that it was not carried out.
    Refused,
    AnswerLost,
    /// It is not answered, and carried out later.
    CarriedOutLate,
}

/// A write of the result at `position`, on the condition that none is stored there and the ownership entry is unchanged.
#[derive(Clone, Copy, Debug)]
pub struct ResultWrite {
    pub owner_revision: u64,
    pub position: usize,
    pub text: u8,
}

/// What an owner learns of its write.
#[derive(Clone, Copy, Debug)]
pub enum WriteOutcome {
    Committed,
    /// Not carried out: whether the ownership entry is unchanged, and the text that is stored at the position.
    Conflict(bool, Option<u8>),
    Unanswered,
}

/// The key-value store, and the time.
#[derive(Default)]
pub struct ResultStore {
    pub now: TimePoint,
    pub revision: u64,
    /// Times before which leases do not expire, by the revision of the presence that was stored under them.
    pub leases: BTreeMap<u64, TimePoint>,
    /// The ownership entry and its lease.
    pub owner: Option<(OwnerRecord, u64)>,
    /// Changes of the ownership entry, with their revisions; `None` is its removal.
    pub owner_history: Vec<(u64, Option<OwnerRecord>)>,
    pub is_ended: bool,
    /// Texts by position, with the revisions of their writes.
    pub results: Vec<(u8, u64)>,
    pub late_writes: Vec<ResultWrite>,
    /// Whether the owner of a job with results opened it as if it had not run.
    pub is_run_again: bool,
}

impl ResultStore {
    pub fn owner_revision(&self) -> u64 {
        self.owner.as_ref().map_or(0, |(owner, _)| owner.revision)
    }

    /// Stores the owner in place of the one of `replaced_revision`.
    pub fn write_owner(&mut self, replaced_revision: u64, owner: &OwnerRecord, lease: u64) -> Option<OwnerRecord> {
        if self.owner_revision() != replaced_revision || !self.leases.contains_key(&lease) {
            return None;
        }
        let owner = OwnerRecord { revision: self.revision + 1, ..owner.clone() };
        self.set_owner(Some((owner.clone(), lease)));
        Some(owner)
    }

    pub fn set_owner(&mut self, owner: Option<(OwnerRecord, u64)>) {
        self.revision += 1;
        self.owner_history.push((self.revision, owner.as_ref().map(|(owner, _)| owner.clone())));
        self.owner = owner;
    }

    /// Ends a lease at a time at which it may have expired.
    pub fn end_lease(&mut self, number: usize) {
        let Some((&lease, &ends_at)) = self.leases.iter().nth(number) else { return };
        self.now = self.now.max(ends_at);
        self.leases.remove(&lease);
        if self.owner.as_ref().is_some_and(|(_, owner_lease)| *owner_lease == lease) {
            self.set_owner(None);
        }
    }

    pub fn write_result(&mut self, write: ResultWrite) -> WriteOutcome {
        let stored = self.results.get(write.position).map(|(text, _)| *text);
        let is_owner = self.owner_revision() == write.owner_revision;
        if stored.is_some() || !is_owner {
            return WriteOutcome::Conflict(is_owner, stored);
        }
        assert_eq!(write.position, self.results.len(), "the results have a gap");
        self.revision += 1;
        self.results.push((write.text, self.revision));
        WriteOutcome::Committed
    }

    pub fn call_write(&mut self, write: ResultWrite, fate: CallFate) -> WriteOutcome {
        match fate {
            CallFate::Answered => return self.write_result(write),
            CallFate::Refused => return WriteOutcome::Conflict(true, None),
            CallFate::AnswerLost => _ = self.write_result(write),
            CallFate::CarriedOutLate => self.late_writes.push(write),
        }
        WriteOutcome::Unanswered
    }

    /// Texts from `position` on.
    pub fn texts(&self, position: usize) -> Vec<u8> {
        self.results.iter().skip(position).map(|(text, _)| *text).collect()
    }
}

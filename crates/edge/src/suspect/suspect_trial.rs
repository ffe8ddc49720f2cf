//! Lets one daemon run a request that is kept from running because of crashes, to find out whether it caused them.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::SuspectTable;
use pimentoslip_platform::{CommitOutcome, Result, StoreCommit, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{encode, stored::KeyLayout};

/// The right to run a request once although crashes count against it.
#[derive(Debug)]
pub struct SuspectTrial {
    fingerprint: u64,
    number: u32,
}

impl SuspectTrial {
    /// Records the next trial of a request in the store, so that no other daemon runs it. `None` if there may be none now, or
    /// another daemon or request was first.
    pub async fn claim(state: &EdgeState, store: &StoreAccess, fingerprint: u64) -> Option<Self> {
        let number = {
            let now = state.now();
            let mut suspects = state.suspects();
            let number = suspects.next_trial(fingerprint, now)?;
            // Other requests of this daemon do not claim it meanwhile.
            suspects.trial_known(fingerprint, number, now);
            number
        };
        let outcome = record_trial(state, store, fingerprint, number).await;
        let result = match &outcome {
            Ok(CommitOutcome::Committed(_)) => "claimed".to_owned(),
            Ok(CommitOutcome::Conflict(_)) => "claimed_elsewhere".to_owned(),
            Err(error) => error.to_string(),
        };
        LogLine::new("suspect_trial")
            .field("fingerprint", format!("{fingerprint:016x}"))
            .field("number", number)
            .field("result", result)
            .info();
        matches!(outcome, Ok(CommitOutcome::Committed(_))).then_some(Self { fingerprint, number })
    }

    /// Gives the trial back, as the request did not run or was completed: a later one may be needed.
    pub fn release(self, state: &EdgeState, store: &StoreAccess) {
        let Self { fingerprint, number } = self;
        state.suspects().trial_removed(fingerprint, number);
        let store = store.clone();
        actix_rt::spawn(async move {
            let commit = StoreCommit::default().remove(KeyLayout::trial_key(fingerprint, number));
            if let Err(error) = store.commit(&commit).await {
                LogLine::new("suspect_trial_not_released").field("number", number).field("reason", error).warn();
            }
        });
    }
}

/// Writes the entry of a trial, unless there is one. It is kept for as long as marks.
async fn record_trial(state: &EdgeState, store: &StoreAccess, fingerprint: u64, number: u32) -> Result<CommitOutcome> {
    let value = encode(&state.daemon_entry()).map_err(|error| StoreError::Malformed { problem: error.to_string() })?;
    let lease = store.grant_lease(SuspectTable::MARK_TTL_MS).await?;
    let key = KeyLayout::trial_key(fingerprint, number);
    store.commit(&StoreCommit::default().expect(key.clone(), 0).put(key, value, lease)).await
}

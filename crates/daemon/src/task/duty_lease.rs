//! One duty's lease in the platform's service.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError, Result};
use pimentoslip_kernel::{HolderEvidence, LeaseHolder, LeaseState, MemberState, PreviousHolder, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::kv::{RangeResponse, TxnRequest};
use std::sync::{Arc, PoisonError, atomic::Ordering};

/// A daemon of rank n waits so many of these for better ones to take a free duty.
const RANK_STEP_MS: u64 = 2_000;
/// Ranks from here on take no part.
const RANK_MAX: usize = 3;

/// Acquires, renews and gives up one duty.
pub struct DutyLease<K> {
    kv: K,
    shared: Arc<SharedState>,
    duty: SharedName,
    holder: LeaseHolder,
    receiver_checks: bool,
    lease: u64,
    /// Former holders that were on record when the duty was acquired.
    previous: Vec<PreviousHolder>,
    trimmed: bool,
    vacant_since: Option<TimePoint>,
}

impl<K: KeyValueClient> DutyLease<K> {
    /// Creates the lease of `duty`; `receiver_checks` says whether the receiver refuses old fencing numbers.
    pub fn new(kv: K, shared: Arc<SharedState>, duty: SharedName, receiver_checks: bool) -> Self {
        let holder = LeaseHolder::new(receiver_checks);
        Self {
            kv,
            shared,
            duty,
            holder,
            receiver_checks,
            lease: 0,
            previous: Vec::new(),
            trimmed: false,
            vacant_since: None,
        }
    }

    /// Key of the leased record. Writes under this duty compare against it.
    #[must_use]
    pub fn holder_key(&self) -> String {
        format!("pimentoslip/{}/duty/{}/holder", self.shared.settings.site, self.duty)
    }

    fn previous_key(&self) -> String {
        format!("pimentoslip/{}/duty/{}/previous", self.shared.settings.site, self.duty)
    }

    /// Moves the lease on. Fencing number and deadline while the duty may be performed.
    pub async fn tick(&mut self, rank: Option<usize>) -> Option<(u64, TimePoint)> {
        if self.holder.expire(self.shared.now()) {
            LogLine::new("duty_expired").field("duty", &self.duty).warn();
        }
        if let Err(error) = self.advance(rank).await {
            LogLine::new("duty_call_failed").field("duty", &self.duty).field("error", error).warn();
        }
        let authority = self.holder.authority(self.shared.now());
        self.publish_state();
        authority
    }

    /// The authority at this very moment.
    #[must_use]
    pub fn authority(&self) -> Option<(u64, TimePoint)> {
        self.holder.authority(self.shared.now())
    }

    async fn advance(&mut self, rank: Option<usize>) -> Result<()> {
        match self.holder.state() {
            LeaseState::Idle => self.acquire_if_vacant(rank).await?,
            LeaseState::Settling { .. } | LeaseState::Held { .. } => self.renew().await?,
        }
        if matches!(self.holder.state(), LeaseState::Settling { .. }) {
            let evidence = self.evidence();
            self.holder.evidence_updated(evidence, self.shared.now());
        }
        self.trim().await
    }

    async fn acquire_if_vacant(&mut self, rank: Option<usize>) -> Result<()> {
        let Some(rank) = rank.filter(|rank| *rank < RANK_MAX) else { return Ok(()) };
        // A daemon that is not on the platform's list cannot be proved gone later.
        if !self.shared.listed.load(Ordering::SeqCst) || self.shared.draining.load(Ordering::SeqCst) {
            return Ok(());
        }
        let now = self.shared.now();
        let vacant = self.kv.get(&self.holder_key()).await?.kvs.is_empty();
        if !vacant {
            self.vacant_since = None;
            return Ok(());
        }
        let since = *self.vacant_since.get_or_insert(now);
        if now.since_ms(since) < rank as u64 * RANK_STEP_MS {
            return Ok(());
        }
        self.acquire().await
    }

    async fn acquire(&mut self) -> Result<()> {
        let stored = self.kv.get(&self.previous_key()).await?;
        let (revision, previous) = parse_previous(&stored);
        let mut on_record = previous.clone();
        on_record.retain(|holder| *holder != self.own_record());
        on_record.push(self.own_record());
        let nonce = format!("{}/{}", self.shared.process(), self.shared.draw());
        let asked_at = self.shared.now();
        let lease = self.kv.grant_lease(self.holder.ttl_ms()).await?;
        let txn = TxnRequest::default()
            .expect(&self.holder_key(), 0)
            .expect(&self.previous_key(), revision)
            .put(&self.holder_key(), nonce.clone().into_bytes(), lease)
            .put(&self.previous_key(), encode(&on_record), 0);
        let fencing = match self.kv.commit(&txn).await {
            Ok(answer) if answer.succeeded => Some(answer.header.revision),
            Ok(_) => None,
            // The answer is lost; the record tells who holds the duty.
            Err(_) => self.read_back(&nonce).await?,
        };
        let Some(fencing) = fencing else {
            return self.kv.revoke_lease(lease).await;
        };
        self.lease = lease;
        self.previous = previous;
        self.trimmed = false;
        self.vacant_since = None;
        let evidence = self.evidence();
        self.holder.lease_acquired(fencing, asked_at, evidence, self.shared.now());
        LogLine::new("duty_acquired")
            .field("duty", &self.duty)
            .field("fencing", fencing)
            .field("evidence", format!("{evidence:?}").to_lowercase())
            .info();
        Ok(())
    }

    async fn read_back(&self, nonce: &str) -> Result<Option<u64>> {
        let stored = self.kv.get(&self.holder_key()).await?;
        let mine = stored.kvs.first().filter(|entry| entry.value == nonce.as_bytes());
        Ok(mine.map(|entry| entry.mod_revision))
    }

    async fn renew(&mut self) -> Result<()> {
        let fencing = match self.holder.state() {
            LeaseState::Held { fencing, .. } | LeaseState::Settling { fencing, .. } => fencing,
            LeaseState::Idle => return Ok(()),
        };
        if !self.holder.is_renewal_due(self.shared.now()) {
            return Ok(());
        }
        let asked_at = self.shared.now();
        match self.kv.renew_lease(self.lease).await {
            Ok(()) => self.holder.lease_renewed(fencing, asked_at),
            Err(PlatformError::LeaseNotFound) => self.holder.step_down(),
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// What is known about all former holders on record.
    fn evidence(&self) -> HolderEvidence {
        self.previous.iter().map(|previous| self.evidence_of(previous)).max().unwrap_or(HolderEvidence::Clear)
    }

    fn evidence_of(&self, previous: &PreviousHolder) -> HolderEvidence {
        if *previous == self.own_record() {
            return HolderEvidence::Clear;
        }
        if previous.daemon == self.shared.settings.name {
            return HolderEvidence::Ended;
        }
        let listed = self.shared.listed_entries.lock().unwrap_or_else(PoisonError::into_inner);
        let off_list = !listed.is_empty() && !listed.contains_key(&previous.daemon);
        drop(listed);
        let ended = self
            .shared
            .member(&previous.daemon)
            .is_some_and(|member| member.incarnation > previous.incarnation || member.state == MemberState::Ended);
        if off_list || ended { HolderEvidence::Ended } else { HolderEvidence::Silent }
    }

    /// Once the duty is held, former holders are proved to have ended and come off the record.
    async fn trim(&mut self) -> Result<()> {
        let LeaseState::Held { fencing, .. } = self.holder.state() else { return Ok(()) };
        if self.trimmed || self.receiver_checks {
            return Ok(());
        }
        self.trimmed = self.write_previous(fencing, &[self.own_record()]).await?;
        Ok(())
    }

    async fn write_previous(&self, fencing: u64, holders: &[PreviousHolder]) -> Result<bool> {
        let txn =
            TxnRequest::default().expect(&self.holder_key(), fencing).put(&self.previous_key(), encode(holders), 0);
        Ok(self.kv.commit(&txn).await?.succeeded)
    }

    fn own_record(&self) -> PreviousHolder {
        PreviousHolder { daemon: self.shared.settings.name.clone(), incarnation: self.shared.incarnation }
    }

    /// Gives the duty up, with nothing outstanding.
    pub async fn step_down(&mut self) {
        let LeaseState::Held { fencing, .. } = self.holder.state() else { return };
        self.holder.step_down();
        self.publish_state();
        if let Err(error) = self.write_previous(fencing, &[]).await {
            LogLine::new("duty_step_down_failed").field("duty", &self.duty).field("error", error).warn();
            return;
        }
        // If this fails the lease runs out by itself.
        let _ = self.kv.revoke_lease(self.lease).await;
        LogLine::new("duty_stepped_down").field("duty", &self.duty).info();
    }

    fn publish_state(&self) {
        let (state, fencing) = match self.holder.state() {
            LeaseState::Idle => ("idle", None),
            LeaseState::Settling { fencing, .. } => ("settling", Some(fencing)),
            LeaseState::Held { fencing, .. } => ("held", Some(fencing)),
        };
        self.shared.set_duty(&self.duty, state, fencing);
    }
}

fn encode(holders: &[PreviousHolder]) -> Vec<u8> {
    // The records consist of plain strings and numbers, which always encode.
    serde_json::to_vec(holders).unwrap_or_default()
}

fn parse_previous(stored: &RangeResponse) -> (u64, Vec<PreviousHolder>) {
    let Some(entry) = stored.kvs.first() else { return (0, Vec::new()) };
    (entry.mod_revision, serde_json::from_slice(&entry.value).unwrap_or_default())
}

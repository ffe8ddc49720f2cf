//! Lease of a duty in the platform's key-value service.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError, Result};
use pimentoslip_kernel::{HolderEvidence, LeaseHolder, LeaseState, MemberState, PreviousHolder, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::kv::{RangeResponse, TxnRequest};
use std::sync::{Arc, PoisonError, atomic::Ordering};

/// A daemon of rank n acquires a vacant duty only after n times this delay, so that a daemon of a better rank acquires
/// it first. Rank 0 is the best.
const RANK_DELAY_MS: u64 = 2_000;
/// Daemons of this rank or a worse one never acquire the duty.
const RANK_LIMIT: usize = 3;

/// Acquires, renews and gives up the lease of one duty.
pub struct DutyLease<K> {
    kv: K,
    shared: Arc<SharedState>,
    duty: SharedName,
    holder: LeaseHolder,
    receiver_checks_fencing: bool,
    /// ID of the lease in the key-value service.
    lease_id: u64,
    /// Previous holders that were stored when the duty was acquired.
    previous_holders: Vec<PreviousHolder>,
    /// Whether the previous holders have been deleted from the store.
    previous_holders_deleted: bool,
    /// When this daemon first saw the duty vacant; `None` if another daemon held it at the last check.
    vacant_since: Option<TimePoint>,
}

impl<K: KeyValueClient> DutyLease<K> {
    /// Creates the lease of `duty`, not held yet. `receiver_checks_fencing` says whether the receiver of the duty's
    /// messages refuses old fencing numbers.
    pub fn new(kv: K, shared: Arc<SharedState>, duty: SharedName, receiver_checks_fencing: bool) -> Self {
        let holder = LeaseHolder::new(receiver_checks_fencing);
        Self {
            kv,
            shared,
            duty,
            holder,
            receiver_checks_fencing,
            lease_id: 0,
            previous_holders: Vec::new(),
            previous_holders_deleted: false,
            vacant_since: None,
        }
    }

    /// Key of the current holder's entry, which expires with the lease. Its revision is the fencing number; every write
    /// under this duty is conditional on it.
    #[must_use]
    pub fn holder_key(&self) -> String {
        format!("pimentoslip/{}/duty/{}/holder", self.shared.settings.site, self.duty)
    }

    /// Key of the list of holders, current and previous, that are not proved to have ended.
    fn previous_holders_key(&self) -> String {
        format!("pimentoslip/{}/duty/{}/previous", self.shared.settings.site, self.duty)
    }

    /// Acquires the duty if it is vacant, or renews its lease. Returns the fencing number and the deadline for acting;
    /// `None` while this daemon may not act. Daemons without a `rank` never acquire the duty.
    pub async fn tick(&mut self, rank: Option<usize>) -> Option<(u64, TimePoint)> {
        if self.holder.expire(self.shared.now()) {
            LogLine::new("duty_expired").field("duty", &self.duty).warn();
        }
        if let Err(error) = self.acquire_or_renew(rank).await {
            LogLine::new("duty_call_failed").field("duty", &self.duty).field("error", error).warn();
        }
        let authority = self.holder.authority(self.shared.now());
        self.publish_state();
        authority
    }

    /// Fencing number and deadline for acting at this moment; `None` while this daemon may not act.
    #[must_use]
    pub fn authority(&self) -> Option<(u64, TimePoint)> {
        self.holder.authority(self.shared.now())
    }

    async fn acquire_or_renew(&mut self, rank: Option<usize>) -> Result<()> {
        match self.holder.state() {
            LeaseState::Idle => self.acquire_if_vacant(rank).await?,
            LeaseState::Settling { .. } | LeaseState::Held { .. } => self.renew().await?,
        }
        if matches!(self.holder.state(), LeaseState::Settling { .. }) {
            let evidence = self.evidence();
            self.holder.evidence_updated(evidence, self.shared.now());
        }
        self.delete_previous_holders().await
    }

    async fn acquire_if_vacant(&mut self, rank: Option<usize>) -> Result<()> {
        let Some(rank) = rank.filter(|rank| *rank < RANK_LIMIT) else { return Ok(()) };
        // A daemon that is not on the VM list must not become a holder, because its removal from the list could not
        // prove later that it has ended.
        if !self.shared.is_listed.load(Ordering::SeqCst) || self.shared.draining.load(Ordering::SeqCst) {
            return Ok(());
        }
        let now = self.shared.now();
        let is_vacant = self.kv.get(&self.holder_key()).await?.kvs.is_empty();
        if !is_vacant {
            self.vacant_since = None;
            return Ok(());
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        if now.since_ms(vacant_since) < rank as u64 * RANK_DELAY_MS {
            return Ok(());
        }
        self.acquire().await
    }

    /// Requests a lease and stores this process as the duty's holder, unless another daemon is faster.
    async fn acquire(&mut self) -> Result<()> {
        let stored = self.kv.get(&self.previous_holders_key()).await?;
        let (revision, previous_holders) = parse_holders(&stored);
        let mut holders = previous_holders.clone();
        holders.retain(|holder| *holder != self.own_holder());
        holders.push(self.own_holder());
        let nonce = format!("{}/{}", self.shared.process_name(), self.shared.random_u64());
        let requested_at = self.shared.now();
        let lease = self.kv.grant_lease(self.holder.ttl_ms()).await?;
        let txn = TxnRequest::default()
            .expect(&self.holder_key(), 0)
            .expect(&self.previous_holders_key(), revision)
            .put(&self.holder_key(), nonce.clone().into_bytes(), lease)
            .put(&self.previous_holders_key(), encode_holders(&holders), 0);
        let fencing_number = match self.kv.commit(&txn).await {
            Ok(response) if response.succeeded => Some(response.header.revision),
            Ok(_) => None,
            // The answer was lost; the stored entry shows whether this write succeeded.
            Err(_) => self.read_own_fencing(&nonce).await?,
        };
        let Some(fencing_number) = fencing_number else {
            return self.kv.revoke_lease(lease).await;
        };
        self.lease_id = lease;
        self.previous_holders = previous_holders;
        self.previous_holders_deleted = false;
        self.vacant_since = None;
        let evidence = self.evidence();
        self.holder.lease_acquired(fencing_number, requested_at, evidence, self.shared.now());
        LogLine::new("duty_acquired")
            .field("duty", &self.duty)
            .field("fencing", fencing_number)
            .field("evidence", format!("{evidence:?}").to_lowercase())
            .info();
        Ok(())
    }

    /// Revision of the stored holder entry if it contains `nonce`, that is if this attempt wrote it.
    async fn read_own_fencing(&self, nonce: &str) -> Result<Option<u64>> {
        let stored = self.kv.get(&self.holder_key()).await?;
        let own_entry = stored.kvs.first().filter(|entry| entry.value == nonce.as_bytes());
        Ok(own_entry.map(|entry| entry.mod_revision))
    }

    async fn renew(&mut self) -> Result<()> {
        let fencing_number = match self.holder.state() {
            LeaseState::Held { fencing_number, .. } | LeaseState::Settling { fencing_number, .. } => fencing_number,
            LeaseState::Idle => return Ok(()),
        };
        if !self.holder.is_renewal_due(self.shared.now()) {
            return Ok(());
        }
        let requested_at = self.shared.now();
        match self.kv.renew_lease(self.lease_id).await {
            Ok(()) => self.holder.lease_renewed(fencing_number, requested_at),
            Err(PlatformError::LeaseNotFound) => self.holder.step_down(),
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Combined evidence on whether any previous holder can still act.
    fn evidence(&self) -> HolderEvidence {
        self.previous_holders
            .iter()
            .map(|previous| self.holder_evidence(previous))
            .max()
            .unwrap_or(HolderEvidence::Clear)
    }

    /// Evidence on whether one previous holder can still act.
    fn holder_evidence(&self, previous: &PreviousHolder) -> HolderEvidence {
        if *previous == self.own_holder() {
            return HolderEvidence::Clear;
        }
        if previous.daemon == self.shared.settings.name {
            return HolderEvidence::Ended;
        }
        let listed_daemons = self.shared.listed_daemons.lock().unwrap_or_else(PoisonError::into_inner);
        let is_unlisted = !listed_daemons.is_empty() && !listed_daemons.contains_key(&previous.daemon);
        drop(listed_daemons);
        let has_ended = self
            .shared
            .member(&previous.daemon)
            .is_some_and(|member| member.incarnation > previous.incarnation || member.state == MemberState::Ended);
        if is_unlisted || has_ended { HolderEvidence::Ended } else { HolderEvidence::Silent }
    }

    /// Deletes the previous holders from the store once the duty is held, as they are then proved to have ended. If the
    /// receiver checks fencing numbers they stay stored, because the duty is then held without that proof.
    async fn delete_previous_holders(&mut self) -> Result<()> {
        let LeaseState::Held { fencing_number, .. } = self.holder.state() else { return Ok(()) };
        if self.previous_holders_deleted || self.receiver_checks_fencing {
            return Ok(());
        }
        self.previous_holders_deleted = self.store_holders(fencing_number, &[self.own_holder()]).await?;
        Ok(())
    }

    /// Replaces the stored list of holders. Returns false if this process no longer holds the duty.
    async fn store_holders(&self, fencing_number: u64, holders: &[PreviousHolder]) -> Result<bool> {
        let txn = TxnRequest::default().expect(&self.holder_key(), fencing_number).put(
            &self.previous_holders_key(),
            encode_holders(holders),
            0,
        );
        Ok(self.kv.commit(&txn).await?.succeeded)
    }

    /// This process as an entry of the list of holders.
    fn own_holder(&self) -> PreviousHolder {
        PreviousHolder { daemon: self.shared.settings.name.clone(), incarnation: self.shared.incarnation }
    }

    /// Gives up the duty, if it is held, and empties the stored list of holders, so that a successor need not wait. No
    /// message under the duty may be outstanding.
    pub async fn step_down(&mut self) {
        let LeaseState::Held { fencing_number, .. } = self.holder.state() else { return };
        self.holder.step_down();
        self.publish_state();
        if let Err(error) = self.store_holders(fencing_number, &[]).await {
            LogLine::new("duty_step_down_failed").field("duty", &self.duty).field("error", error).warn();
            return;
        }
        // If this fails, the lease expires on its own.
        let _ = self.kv.revoke_lease(self.lease_id).await;
        LogLine::new("duty_stepped_down").field("duty", &self.duty).info();
    }

    /// Updates the state shown on the status page.
    fn publish_state(&self) {
        let (state, fencing_number) = match self.holder.state() {
            LeaseState::Idle => ("idle", None),
            LeaseState::Settling { fencing_number, .. } => ("settling", Some(fencing_number)),
            LeaseState::Held { fencing_number, .. } => ("held", Some(fencing_number)),
        };
        self.shared.set_duty_state(&self.duty, state, fencing_number);
    }
}

fn encode_holders(holders: &[PreviousHolder]) -> Vec<u8> {
    // Holders consist of strings and numbers, which can always be encoded.
    serde_json::to_vec(holders).unwrap_or_default()
}

/// Revision and content of the stored list of holders; revision 0 if there is none.
fn parse_holders(stored: &RangeResponse) -> (u64, Vec<PreviousHolder>) {
    let Some(entry) = stored.kvs.first() else { return (0, Vec::new()) };
    (entry.mod_revision, serde_json::from_slice(&entry.value).unwrap_or_default())
}

//! Exchanges heartbeats, configuration and crash marks with peers, and reads the configuration from the platform's
//! key-value service.

use super::PeriodicTask;
use crate::{
    config_writer::{StoredRecord, config_prefix},
    peer_client::{PeerClient, PeerError},
    shared_state::SharedState,
};
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, KeyValueClient};
use pimentoslip_kernel::{CrashMark, MemberEntry, RecordEntry, RecordName, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    kv::KeyValue,
    peer::{CrashMarkBody, ExchangeRequest, ExchangeResponse, MemberBody},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError},
};

const EXCHANGE_TIMEOUT_MS: u64 = 700;
const EXCHANGE_PATH: &str = "/peer/exchange";
/// A daemon of rank n in its failure domain reads the key-value service itself once its configuration is older than n
/// times this.
const RELAY_RANK_DELAY_MS: u64 = 700;
/// Name by which the daemons of a failure domain are ranked for reading the key-value service.
const RELAY_DUTY: &str = "relay";

/// Name and control address of a peer.
type PeerAddress = (SharedName, SharedName);

/// Exchanges state with the peers and, on behalf of its failure domain, reads the stored configuration.
pub struct ExchangeTask {
    shared: Arc<SharedState>,
    peer_client: PeerClient,
    kv: EtcdClient,
}

impl ExchangeTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, peer_client: PeerClient, kv: EtcdClient) -> Self {
        Self { shared, peer_client, kv }
    }

    /// Whether this daemon must read the key-value service in this run. Normally only the first-ranked daemon of a
    /// failure domain does; the others receive its configuration by exchange.
    fn must_read_config(&self) -> bool {
        let rank =
            self.shared.members().duty_rank(RELAY_DUTY, &self.shared.settings.failure_domain).unwrap_or(0) as u64;
        let now = self.shared.now();
        let age_ms = self.shared.freshness().age_ms(now);
        rank == 0 || age_ms.is_none_or(|age_ms| age_ms > rank * RELAY_RANK_DELAY_MS)
    }

    /// Reads and applies the configuration records that were written since the last complete read.
    async fn read_config(&self) {
        let prefix = config_prefix(&self.shared.settings.site);
        let since = self.shared.config().complete_revision() + 1;
        let requested_at = self.shared.now();
        match self.kv.range(&prefix, since).await {
            Ok(response) => {
                let entries = response.kvs.iter().filter_map(|entry| parse_entry(&prefix, entry)).collect();
                let applied = self.shared.apply_records(entries, response.header.revision);
                self.shared.freshness().service_read(requested_at);
                log_applied_records("service", &applied);
            }
            Err(error) => LogLine::new("config_read_failed").field("error", error).warn(),
        }
    }

    /// Peers to exchange with in this run: those chosen by the member table, and daemons on the VM list that have not
    /// been seen at their listed address.
    fn exchange_peers(&self) -> Vec<PeerAddress> {
        let listed_daemons = self.shared.listed_daemons.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut members = self.shared.members();
        let mut exchange_peers: BTreeMap<SharedName, SharedName> =
            members.next_exchange_peers().into_iter().map(|member| (member.name, member.control_address)).collect();
        for (name, control_address) in listed_daemons {
            let is_seen = members
                .get(&name)
                .is_some_and(|member| member.control_address == control_address && !member.control_address.is_empty());
            if name != self.shared.settings.name && !is_seen {
                exchange_peers.insert(name, control_address);
            }
        }
        exchange_peers.into_iter().collect()
    }

    /// Updates the states of the members, and the freshness of the configuration from the answers of the other daemons.
    fn update_members(&self) {
        let now = self.shared.now();
        let listed_daemons = self.shared.listed_daemons.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut members = self.shared.members();
        members.tick(now);
        let mut running_names = members.possibly_running_names();
        running_names.extend(
            listed_daemons.into_keys().filter(|name| *name != self.shared.settings.name && members.get(name).is_none()),
        );
        drop(members);
        if self.shared.config().complete_revision() > 0 {
            self.shared.freshness().update_from_peers(&running_names, now);
        }
    }
}

impl PeriodicTask for ExchangeTask {
    const PAUSE_MS: u64 = 500;

    async fn run(&mut self) {
        let exchange_peers = self.exchange_peers();
        let exchanges = join_all(
            exchange_peers.iter().map(|peer| exchange(&self.shared, &self.peer_client, peer, PeerUpdate::default())),
        );
        let config_read = async {
            if self.must_read_config() {
                self.read_config().await;
            }
        };
        futures_util::future::join(exchanges, config_read).await;
        self.update_members();
    }
}

/// Parses a stored configuration record; `None` if its key or value is malformed.
fn parse_entry(prefix: &str, entry: &KeyValue) -> Option<RecordEntry> {
    let path = std::str::from_utf8(&entry.key).ok()?.strip_prefix(prefix)?;
    let stored: StoredRecord = serde_json::from_slice(&entry.value).ok()?;
    Some(RecordEntry { name: RecordName::parse(path)?, revision: entry.mod_revision, record: stored.record })
}

fn log_applied_records(source: &str, entries: &[RecordEntry]) {
    for entry in entries {
        LogLine::new("config_applied")
            .field("record", entry.name.path())
            .field("revision", entry.revision)
            .field("source", source)
            .info();
    }
}

/// What is new at this daemon and not yet known to its peers.
#[derive(Clone, Debug, Default)]
pub struct PeerUpdate {
    /// Configuration records.
    pub records: Vec<RecordEntry>,
    /// Crashes of upstreams while they ran a request.
    pub crashes: Vec<CrashMark>,
}

impl PeerUpdate {
    /// New configuration records.
    #[must_use]
    pub fn records(records: Vec<RecordEntry>) -> Self {
        Self { records, crashes: Vec::new() }
    }

    /// Newly observed crashes.
    #[must_use]
    pub fn crashes(crashes: Vec<CrashMark>) -> Self {
        Self { records: Vec::new(), crashes }
    }
}

fn exchange_request(shared: &SharedState, update: PeerUpdate) -> ExchangeRequest {
    let now = shared.now();
    ExchangeRequest {
        sender: shared.own_member(),
        complete_revision: shared.config().complete_revision(),
        records: update.records,
        crashes: mark_bodies(update.crashes, now),
        crashes_digest: shared.suspects().digest(now),
        members_digest: members_digest(shared),
    }
}

fn mark_bodies(marks: Vec<CrashMark>, now: TimePoint) -> Vec<CrashMarkBody> {
    marks.into_iter().map(|mark| CrashMarkBody::from_mark(mark, now)).collect()
}

/// Adds marks that a peer has sent.
fn merge_marks(shared: &SharedState, bodies: Vec<CrashMarkBody>) {
    let now = shared.now();
    let mut suspects = shared.suspects();
    for body in bodies {
        suspects.merge(body.into_mark(now), now);
    }
}

/// Digest of the members, by which peers detect that they hold the same ones.
fn members_digest(shared: &SharedState) -> u64 {
    shared.members().digest(shared.incarnation)
}

/// Sends `update` and this daemon's state to a peer and applies its answer. Returns true if the peer answered.
async fn exchange(shared: &SharedState, peer_client: &PeerClient, peer: &PeerAddress, update: PeerUpdate) -> bool {
    let (name, control_address) = peer;
    let body = match encode(&exchange_request(shared, update)) {
        Ok(body) => body,
        Err(error) => {
            LogLine::new("peer_message_not_encoded").field("peer", name).field("error", error).warn();
            return false;
        }
    };
    let request_bytes = body.len();
    let requested_at = shared.now();
    let call_result = peer_client.call_raw(control_address, EXCHANGE_PATH, body, EXCHANGE_TIMEOUT_MS).await;
    let response_body = match call_result {
        Ok(response_body) => response_body,
        Err(PeerError::ProcessEnded) => {
            let now = shared.now();
            shared.members().process_ended(name, now);
            return false;
        }
        Err(_) => return false,
    };
    shared.metrics.exchange_bytes.inc_by((request_bytes + response_body.len()) as u64);
    match decode::<ExchangeResponse>(&response_body) {
        Ok(response) => {
            apply_response(shared, response, requested_at);
            true
        }
        Err(error) => {
            LogLine::new("peer_message_malformed").field("peer", name).field("error", error).warn();
            false
        }
    }
}

fn apply_response(shared: &SharedState, response: ExchangeResponse, requested_at: TimePoint) {
    let name = response.sender.name.clone();
    let applied = shared.apply_records(response.records, response.complete_revision);
    log_applied_records(&name, &applied);
    shared.freshness().peer_answered(&name, requested_at, response.age_ms);
    let now = shared.now();
    let mut members = shared.members();
    members.peer_seen(MemberEntry::from(response.sender), requested_at);
    for body in response.members {
        members.member_reported(&MemberEntry::from(body), now);
    }
    drop(members);
    merge_marks(shared, response.crashes);
}

/// Applies the exchange request of a peer and returns the answer to it.
#[must_use]
pub fn answer_exchange(shared: &SharedState, request: ExchangeRequest) -> ExchangeResponse {
    let now = shared.now();
    let name = request.sender.name.clone();
    let applied = shared.apply_records(request.records, 0);
    log_applied_records(&name, &applied);
    merge_marks(shared, request.crashes);
    shared.members().peer_seen(MemberEntry::from(request.sender), now);
    let members = if members_digest(shared) == request.members_digest { Vec::new() } else { member_bodies(shared) };
    let crashes = if shared.suspects().digest(now) == request.crashes_digest {
        Vec::new()
    } else {
        let marks = shared.suspects().active_marks(now);
        mark_bodies(marks, now)
    };
    let age_ms = shared.freshness().age_ms(now);
    let config = shared.config();
    ExchangeResponse {
        sender: shared.own_member(),
        complete_revision: config.complete_revision(),
        records: config.entries_since(request.complete_revision),
        age_ms,
        crashes,
        members,
    }
}

fn member_bodies(shared: &SharedState) -> Vec<MemberBody> {
    shared.members().iter().map(MemberBody::from).collect()
}

/// Sends `update` to every daemon that may be running, without waiting for the next exchange. Returns the names of
/// the daemons that confirmed it, this one included, and of those that did not.
pub async fn push_update(
    shared: &SharedState,
    peer_client: &PeerClient,
    update: PeerUpdate,
) -> (Vec<SharedName>, Vec<SharedName>) {
    let targets: Vec<PeerAddress> = shared
        .members()
        .possibly_running_entries()
        .map(|member| (member.name.clone(), member.control_address.clone()))
        .collect();
    let exchange_results =
        join_all(targets.iter().map(|peer| exchange(shared, peer_client, peer, update.clone()))).await;
    let mut confirmed = vec![shared.settings.name.clone()];
    let mut unconfirmed = Vec::new();
    for ((name, _), answered) in targets.into_iter().zip(exchange_results) {
        if answered { confirmed.push(name) } else { unconfirmed.push(name) }
    }
    (confirmed, unconfirmed)
}

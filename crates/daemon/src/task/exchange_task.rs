//! Heartbeats, configuration and suspicions, exchanged with peers and read from the platform's service.

use super::PeriodicTask;
use crate::{
    config_writer::{StoredRecord, config_prefix},
    peer_client::{PeerClient, PeerError},
    shared_state::SharedState,
};
use futures_util::future::join_all;
use pimentoslip_client::{EtcdClient, KeyValueClient};
use pimentoslip_kernel::{MemberEntry, RecordEntry, RecordName, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    kv::KeyValue,
    peer::{ExchangeRequest, ExchangeResponse, MemberBody},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError},
};

const EXCHANGE_TIMEOUT_MS: u64 = 700;
const EXCHANGE_PATH: &str = "/peer/exchange";
/// A daemon of rank n in its failure domain reads the service itself when its knowledge is older than n of these.
const RELAY_STEP_MS: u64 = 700;
const RELAY_DUTY: &str = "relay";

/// Whom to exchange with: name and control address.
type PeerAddress = (SharedName, SharedName);

/// Asks peers in rounds.
pub struct ExchangeTask {
    shared: Arc<SharedState>,
    peers: PeerClient,
    kv: EtcdClient,
}

impl ExchangeTask {
    /// Creates the task.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, peers: PeerClient, kv: EtcdClient) -> Self {
        Self { shared, peers, kv }
    }

    /// Whether this daemon reads the service in this round, on behalf of its failure domain.
    fn reads_service(&self) -> bool {
        let rank =
            self.shared.members().duty_rank(RELAY_DUTY, &self.shared.settings.failure_domain).unwrap_or(0) as u64;
        let now = self.shared.now();
        let age_ms = self.shared.freshness().age_ms(now);
        rank == 0 || age_ms.is_none_or(|age| age > rank * RELAY_STEP_MS)
    }

    async fn read_service(&self) {
        let prefix = config_prefix(&self.shared.settings.site);
        let since = self.shared.config().complete_revision() + 1;
        let asked_at = self.shared.now();
        match self.kv.range(&prefix, since).await {
            Ok(answer) => {
                let entries = answer.kvs.iter().filter_map(|entry| parse_entry(&prefix, entry)).collect();
                let new = self.shared.apply(entries, answer.header.revision);
                self.shared.freshness().service_read(asked_at);
                log_applied("service", &new);
            }
            Err(error) => LogLine::new("config_read_failed").field("error", error).warn(),
        }
    }

    /// Peers of this round, and those on the platform's list that were never heard.
    fn round(&self) -> Vec<PeerAddress> {
        let listed = self.shared.listed_entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut members = self.shared.members();
        let mut round: BTreeMap<SharedName, SharedName> =
            members.next_exchange_peers().into_iter().map(|member| (member.name, member.control)).collect();
        for (name, control) in listed {
            let known =
                members.get(&name).is_some_and(|member| member.control == control && !member.control.is_empty());
            if name != self.shared.settings.name && !known {
                round.insert(name, control);
            }
        }
        round.into_iter().collect()
    }

    /// Judges members, and raises freshness when every other daemon was heard.
    fn judge(&self) {
        let now = self.shared.now();
        let listed = self.shared.listed_entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut members = self.shared.members();
        members.tick(now);
        let mut running = members.possibly_running_names();
        running.extend(
            listed.into_keys().filter(|name| *name != self.shared.settings.name && members.get(name).is_none()),
        );
        drop(members);
        if self.shared.config().complete_revision() > 0 {
            self.shared.freshness().update_from_peers(&running, now);
        }
    }
}

impl PeriodicTask for ExchangeTask {
    const PERIOD_MS: u64 = 500;

    async fn run(&mut self) {
        let round = self.round();
        let exchanges = join_all(round.iter().map(|peer| exchange(&self.shared, &self.peers, peer, Vec::new())));
        let read = async {
            if self.reads_service() {
                self.read_service().await;
            }
        };
        futures_util::future::join(exchanges, read).await;
        self.judge();
    }
}

fn parse_entry(prefix: &str, entry: &KeyValue) -> Option<RecordEntry> {
    let path = std::str::from_utf8(&entry.key).ok()?.strip_prefix(prefix)?;
    let stored: StoredRecord = serde_json::from_slice(&entry.value).ok()?;
    Some(RecordEntry { name: RecordName::parse(path)?, revision: entry.mod_revision, record: stored.record })
}

fn log_applied(source: &str, new: &[RecordEntry]) {
    for entry in new {
        LogLine::new("config_applied")
            .field("record", entry.name.path())
            .field("revision", entry.revision)
            .field("source", source)
            .info();
    }
}

fn question(shared: &SharedState, records: Vec<RecordEntry>) -> ExchangeRequest {
    let now = shared.now();
    ExchangeRequest {
        sender: shared.me(),
        complete_revision: shared.config().complete_revision(),
        records,
        suspects: shared.suspects().active_marks(now),
        members_digest: members_digest(shared),
    }
}

fn members_digest(shared: &SharedState) -> u64 {
    shared.members().digest(shared.incarnation)
}

/// Asks one peer, giving it `records`. True when it answered.
async fn exchange(shared: &SharedState, peers: &PeerClient, peer: &PeerAddress, records: Vec<RecordEntry>) -> bool {
    let (name, control) = peer;
    let Ok(body) = encode(&question(shared, records)) else { return false };
    let sent = body.len();
    let asked_at = shared.now();
    let answer = peers.call_raw(control, EXCHANGE_PATH, body, EXCHANGE_TIMEOUT_MS).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(PeerError::Ended) => {
            let now = shared.now();
            shared.members().process_ended(name, now);
            return false;
        }
        Err(_) => return false,
    };
    shared.metrics.exchange_bytes.inc_by((sent + answer.len()) as u64);
    match decode::<ExchangeResponse>(&answer) {
        Ok(answer) => {
            take_answer(shared, answer, asked_at);
            true
        }
        Err(error) => {
            LogLine::new("peer_message_malformed").field("peer", name).field("error", error).warn();
            false
        }
    }
}

fn take_answer(shared: &SharedState, answer: ExchangeResponse, asked_at: TimePoint) {
    let name = answer.sender.name.clone();
    let new = shared.apply(answer.records, answer.complete_revision);
    log_applied(&name, &new);
    shared.freshness().peer_answered(&name, asked_at, answer.age_ms);
    let now = shared.now();
    let mut members = shared.members();
    members.peer_seen(MemberEntry::from(answer.sender), asked_at);
    for body in answer.members {
        members.member_reported(&MemberEntry::from(body), now);
    }
    drop(members);
    let mut suspects = shared.suspects();
    answer.suspects.into_iter().for_each(|mark| suspects.merge(mark));
}

/// Answers a peer's exchange.
#[must_use]
pub fn answer_exchange(shared: &SharedState, request: ExchangeRequest) -> ExchangeResponse {
    let now = shared.now();
    let name = request.sender.name.clone();
    let new = shared.apply(request.records, 0);
    log_applied(&name, &new);
    {
        let mut suspects = shared.suspects();
        request.suspects.into_iter().for_each(|mark| suspects.merge(mark));
    }
    shared.members().peer_seen(MemberEntry::from(request.sender), now);
    let members = if members_digest(shared) == request.members_digest { Vec::new() } else { known_members(shared) };
    let age_ms = shared.freshness().age_ms(now);
    let config = shared.config();
    ExchangeResponse {
        sender: shared.me(),
        complete_revision: config.complete_revision(),
        records: config.entries_since(request.complete_revision),
        age_ms,
        suspects: shared.suspects().active_marks(now),
        members,
    }
}

fn known_members(shared: &SharedState) -> Vec<MemberBody> {
    shared.members().iter().map(MemberBody::from).collect()
}

/// Gives every daemon that may be running the new records at once. Names of those that confirmed, and of
/// those that did not.
pub async fn push_records(
    shared: &SharedState,
    peers: &PeerClient,
    records: Vec<RecordEntry>,
) -> (Vec<SharedName>, Vec<SharedName>) {
    let targets: Vec<PeerAddress> = shared
        .members()
        .possibly_running_entries()
        .map(|member| (member.name.clone(), member.control.clone()))
        .collect();
    let answers = join_all(targets.iter().map(|peer| exchange(shared, peers, peer, records.clone()))).await;
    let mut confirmed = vec![shared.settings.name.clone()];
    let mut unconfirmed = Vec::new();
    for ((name, _), answered) in targets.into_iter().zip(answers) {
        if answered { confirmed.push(name) } else { unconfirmed.push(name) }
    }
    (confirmed, unconfirmed)
}

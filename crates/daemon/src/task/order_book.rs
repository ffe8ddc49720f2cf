//! Orders on record: each is written before it is sent, and settled after.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError, ProviderClient, Result};
use pimentoslip_kernel::{SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    kv::TxnRequest,
    provider::{OrderRequest, OrderResponse, OrderState},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Settled orders are remembered for this long.
const SETTLED_RETENTION_MS: u64 = 3_600_000;
/// A started upstream counts as running until the lagging list shows it, but no longer than this.
const STARTING_MS: u64 = 60_000;

/// An order as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOrder {
    /// The order.
    pub request: OrderRequest,
    /// Outcome, once known.
    pub answer: Option<OrderResponse>,
}

/// What gives the right to send an order.
#[derive(Clone, Debug)]
pub struct OrderAuthority {
    /// Key of the duty's leased record.
    pub holder_key: String,
    /// Fencing number.
    pub fencing: u64,
    /// Last moment to send.
    pub deadline: TimePoint,
}

/// The orders of one failure domain.
pub struct OrderBook<K> {
    kv: K,
    shared: Arc<SharedState>,
    provider: ProviderClient,
    failure_domain: SharedName,
    settled_under: Option<u64>,
    sequence: u64,
    /// Started upstreams that the list may not show yet.
    starting: BTreeMap<SharedName, (OrderRequest, TimePoint)>,
}

impl<K: KeyValueClient> OrderBook<K> {
    /// Creates the book of `failure_domain`.
    pub fn new(kv: K, shared: Arc<SharedState>, provider: ProviderClient, failure_domain: SharedName) -> Self {
        Self { kv, shared, provider, failure_domain, settled_under: None, sequence: 0, starting: BTreeMap::new() }
    }

    fn prefix(&self) -> String {
        format!("pimentoslip/{}/orders/{}/", self.shared.settings.site, self.failure_domain)
    }

    fn key(&self, order: &str) -> String {
        format!("{}{order}", self.prefix())
    }

    /// Orders of `service` and kind that were carried out but are not on the VM list yet.
    pub fn starting(&mut self, service: &str, reclaimable: bool) -> u32 {
        let now = self.shared.now();
        let shared = self.shared.clone();
        let routes = shared.routes();
        self.starting.retain(|vm, (_, deadline)| now < *deadline && !routes.iter().any(|entry| entry.name == *vm));
        let count = self
            .starting
            .values()
            .filter(|(request, _)| &*request.service == service && request.reclaimable == reclaimable)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Settles every open order of former holders, once under each fencing number, before any new one.
    pub async fn settle_open(&mut self, authority: &OrderAuthority) -> Result<()> {
        if self.settled_under == Some(authority.fencing) {
            return Ok(());
        }
        for entry in self.kv.range(&self.prefix(), 0).await?.kvs {
            let Ok(stored) = serde_json::from_slice::<StoredOrder>(&entry.value) else { continue };
            match stored.answer {
                Some(answer) => self.note_started(&stored.request, &answer),
                None => self.settle(stored.request, entry.mod_revision, authority).await?,
            }
        }
        self.settled_under = Some(authority.fencing);
        Ok(())
    }

    /// Asks what became of an order; one that never arrived is sent again under the same id.
    async fn settle(&mut self, request: OrderRequest, revision: u64, authority: &OrderAuthority) -> Result<()> {
        let known = self.provider.order_status(&request.order_id).await?;
        let request = OrderRequest { fencing: authority.fencing, ..request };
        let answer = match known {
            Some(answer) => answer,
            None => self.provider.send_order(&request, authority.deadline).await?,
        };
        LogLine::new("order_settled")
            .field("order", &request.order_id)
            .field("state", format!("{:?}", answer.state))
            .info();
        self.record_answer(request, answer, revision, authority).await
    }

    /// Records an order, sends it, and records the outcome.
    pub async fn give(&mut self, request: OrderRequest, authority: &OrderAuthority) -> Result<OrderState> {
        self.sequence += 1;
        let order = format!("{}-{}-{}", self.failure_domain, authority.fencing, self.sequence).into();
        let request = OrderRequest { order_id: order, fencing: authority.fencing, ..request };
        let key = self.key(&request.order_id);
        let value = encode(&StoredOrder { request: request.clone(), answer: None })?;
        let txn =
            TxnRequest::default().expect(&authority.holder_key, authority.fencing).expect(&key, 0).put(&key, value, 0);
        let written = self.kv.commit(&txn).await;
        let revision = match written {
            Ok(answer) if answer.succeeded => answer.header.revision,
            Ok(_) => return Err(PlatformError::LeaseNotFound),
            Err(error) => {
                // The intent may be on record: it is settled before anything else is ordered.
                self.settled_under = None;
                return Err(error);
            }
        };
        self.shared.metrics.orders.inc();
        LogLine::new("order").field("order", &request.order_id).field("action", format!("{:?}", request.action)).info();
        match self.provider.send_order(&request, authority.deadline).await {
            Ok(answer) => {
                let state = answer.state;
                self.record_answer(request, answer, revision, authority).await?;
                Ok(state)
            }
            Err(error) => {
                self.settled_under = None;
                Err(error)
            }
        }
    }

    async fn record_answer(
        &mut self,
        request: OrderRequest,
        answer: OrderResponse,
        revision: u64,
        authority: &OrderAuthority,
    ) -> Result<()> {
        self.note_started(&request, &answer);
        let key = self.key(&request.order_id);
        let value = encode(&StoredOrder { request, answer: Some(answer) })?;
        let lease = self.kv.grant_lease(SETTLED_RETENTION_MS).await?;
        let txn = TxnRequest::default()
            .expect(&authority.holder_key, authority.fencing)
            .expect(&key, revision)
            .put(&key, value, lease);
        self.kv.commit(&txn).await?;
        Ok(())
    }

    fn note_started(&mut self, request: &OrderRequest, answer: &OrderResponse) {
        if answer.state != OrderState::Done {
            return;
        }
        if let Some(vm) = &answer.vm {
            let deadline = self.shared.now().plus_ms(STARTING_MS);
            self.starting.insert(vm.clone(), (request.clone(), deadline));
        }
    }
}

fn encode(order: &StoredOrder) -> Result<Vec<u8>> {
    serde_json::to_vec(order)
        .map_err(|error| PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() })
}

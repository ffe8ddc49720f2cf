//! Sends orders for upstreams to the provider. Each order is stored before it is sent, and its outcome afterwards, so
//! that the next holder of the duty can settle an order whose outcome is missing.

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

/// Time for which settled orders stay stored.
const SETTLED_RETENTION_MS: u64 = 3_600_000;
/// A started upstream counts as running until it appears on the VM list, which lags, but no longer than this.
const STARTING_TIMEOUT_MS: u64 = 60_000;

/// Order as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOrder {
    /// Order as sent to the provider.
    pub request: OrderRequest,
    /// Outcome; `None` until the provider's answer is stored.
    pub answer: Option<OrderResponse>,
}

/// Proof that this daemon holds the ordering duty.
#[derive(Clone, Debug)]
pub struct OrderAuthority {
    /// Key of the duty's current holder, whose revision is the fencing number.
    pub holder_key: String,
    /// Fencing number of the duty's lease.
    pub fencing_number: u64,
    /// Time after which no order may be sent.
    pub deadline: TimePoint,
}

/// Sends and settles the orders of one failure domain.
pub struct OrderSender<K> {
    kv: K,
    shared: Arc<SharedState>,
    provider: ProviderClient,
    failure_domain: SharedName,
    /// Fencing number under which all pending orders were settled; `None` if some may be unsettled.
    settled_fencing_number: Option<u64>,
    /// Number of orders sent so far. It is part of the order IDs and makes them unique under one fencing number.
    order_count: u64,
    /// Started upstreams by VM that may not be on the VM list yet, and the time until which they count as running.
    starting_upstreams: BTreeMap<SharedName, (OrderRequest, TimePoint)>,
}

impl<K: KeyValueClient> OrderSender<K> {
    /// Creates the sender for `failure_domain`.
    pub fn new(kv: K, shared: Arc<SharedState>, provider: ProviderClient, failure_domain: SharedName) -> Self {
        Self {
            kv,
            shared,
            provider,
            failure_domain,
            settled_fencing_number: None,
            order_count: 0,
            starting_upstreams: BTreeMap::new(),
        }
    }

    fn orders_prefix(&self) -> String {
        format!("pimentoslip/{}/orders/{}/", self.shared.settings.site, self.failure_domain)
    }

    fn order_key(&self, order_id: &str) -> String {
        format!("{}{order_id}", self.orders_prefix())
    }

    /// Number of upstreams of `service`, standing or `reclaimable`, that were started but are not on the VM list yet.
    pub fn starting_count(&mut self, service: &str, reclaimable: bool) -> u32 {
        let now = self.shared.now();
        let shared = self.shared.clone();
        let routes = shared.routes();
        self.starting_upstreams
            .retain(|vm, (_, deadline)| now < *deadline && !routes.iter().any(|entry| entry.name == *vm));
        let count = self
            .starting_upstreams
            .values()
            .filter(|(request, _)| &*request.service == service && request.reclaimable == reclaimable)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Settles every order whose outcome is not stored. Does so once under each fencing number, before any new order.
    pub async fn settle_pending_orders(&mut self, authority: &OrderAuthority) -> Result<()> {
        if self.settled_fencing_number == Some(authority.fencing_number) {
            return Ok(());
        }
        for entry in self.kv.range(&self.orders_prefix(), 0).await?.kvs {
            let Ok(stored) = serde_json::from_slice::<StoredOrder>(&entry.value) else { continue };
            match stored.answer {
                Some(response) => self.track_started_upstream(&stored.request, &response),
                None => self.settle_order(stored.request, entry.mod_revision, authority).await?,
            }
        }
        self.settled_fencing_number = Some(authority.fencing_number);
        Ok(())
    }

    /// Requests the outcome of an order from the provider. An order that never arrived is sent again under the same ID.
    async fn settle_order(&mut self, request: OrderRequest, revision: u64, authority: &OrderAuthority) -> Result<()> {
        let reported = self.provider.order_status(&request.order_id).await?;
        let request = OrderRequest { fencing: authority.fencing_number, ..request };
        let response = match reported {
            Some(response) => response,
            None => self.provider.send_order(&request, authority.deadline).await?,
        };
        LogLine::new("order_settled")
            .field("order", &request.order_id)
            .field("state", format!("{:?}", response.state))
            .info();
        self.store_response(request, response, revision, authority).await
    }

    /// Stores an order, sends it, and stores its outcome. Returns the state reported by the provider.
    pub async fn send_order(&mut self, request: OrderRequest, authority: &OrderAuthority) -> Result<OrderState> {
        self.order_count += 1;
        let order_id = format!("{}-{}-{}", self.failure_domain, authority.fencing_number, self.order_count).into();
        let request = OrderRequest { order_id, fencing: authority.fencing_number, ..request };
        let key = self.order_key(&request.order_id);
        let value = encode_order(&StoredOrder { request: request.clone(), answer: None })?;
        let txn = TxnRequest::default()
            .expect(&authority.holder_key, authority.fencing_number)
            .expect(&key, 0)
            .put(&key, value, 0);
        let commit_result = self.kv.commit(&txn).await;
        let revision = match commit_result {
            Ok(response) if response.succeeded => response.header.revision,
            Ok(_) => return Err(PlatformError::LeaseNotFound),
            Err(error) => {
                // The order may have been stored; it must be settled before another order is sent.
                self.settled_fencing_number = None;
                return Err(error);
            }
        };
        self.shared.metrics.orders.inc();
        LogLine::new("order").field("order", &request.order_id).field("action", format!("{:?}", request.action)).info();
        match self.provider.send_order(&request, authority.deadline).await {
            Ok(response) => {
                let state = response.state;
                self.store_response(request, response, revision, authority).await?;
                Ok(state)
            }
            Err(error) => {
                self.settled_fencing_number = None;
                Err(error)
            }
        }
    }

    /// Stores the outcome of an order.
    async fn store_response(
        &mut self,
        request: OrderRequest,
        response: OrderResponse,
        revision: u64,
        authority: &OrderAuthority,
    ) -> Result<()> {
        self.track_started_upstream(&request, &response);
        let key = self.order_key(&request.order_id);
        let value = encode_order(&StoredOrder { request, answer: Some(response) })?;
        let lease = self.kv.grant_lease(SETTLED_RETENTION_MS).await?;
        let txn = TxnRequest::default()
            .expect(&authority.holder_key, authority.fencing_number)
            .expect(&key, revision)
            .put(&key, value, lease);
        self.kv.commit(&txn).await?;
        Ok(())
    }

    /// Counts the upstream of a completed order as running until the VM list shows it.
    fn track_started_upstream(&mut self, request: &OrderRequest, response: &OrderResponse) {
        if response.state != OrderState::Done {
            return;
        }
        if let Some(vm) = &response.vm {
            let deadline = self.shared.now().plus_ms(STARTING_TIMEOUT_MS);
            self.starting_upstreams.insert(vm.clone(), (request.clone(), deadline));
        }
    }
}

fn encode_order(order: &StoredOrder) -> Result<Vec<u8>> {
    serde_json::to_vec(order)
        .map_err(|error| PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() })
}

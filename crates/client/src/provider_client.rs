//! Clients of the ordering, usage and VM list interfaces.

use crate::{CallTimeout, DeadlineBody, LeaseClock, PlatformError, Result, client_with_tcp_user_timeout, plain_client};
use awc::Client;
use bytes::Bytes;
use pimentoslip_kernel::TimePoint;
use pimentoslip_wire::{
    engine::{LoadOrder, LoadReport},
    provider::{OrderRequest, OrderResponse, VmList},
};
use serde::{Serialize, de::DeserializeOwned};
use std::sync::Arc;

const ANSWER_BYTES_MAX: usize = 16 << 20;
const FENCING_HEADER: &str = "x-fencing";
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

/// Talks to the provider. Orders and reports go out on connections of their own under a deadline.
#[derive(Clone)]
pub struct ProviderClient {
    plain: Client,
    guarded: Client,
    clock: Arc<LeaseClock>,
    orders: Arc<str>,
    usage: Arc<str>,
    vms: Arc<str>,
}

impl ProviderClient {
    /// Creates clients of the three interfaces, each given as `ip:port`.
    #[must_use]
    pub fn new(clock: Arc<LeaseClock>, orders: Arc<str>, usage: Arc<str>, vms: Arc<str>) -> Self {
        Self {
            plain: plain_client(),
            guarded: client_with_tcp_user_timeout(CallTimeout::TCP_USER),
            clock,
            orders,
            usage,
            vms,
        }
    }

    /// The VM list.
    pub async fn vms(&self) -> Result<VmList> {
        self.get(&self.vms, "/v1/vms").await
    }

    /// Sends an order that must have left before `deadline`.
    pub async fn send_order(&self, order: &OrderRequest, deadline: TimePoint) -> Result<OrderResponse> {
        let body = to_json(order)?;
        let path = format!("/v1/orders/{}", order.order_id);
        let (status, answer) = self.put(&self.orders, &path, order.fencing, body, deadline).await?;
        if status >= 400 && status != CONFLICT {
            return Err(PlatformError::Refused { endpoint: self.orders.to_string(), status });
        }
        parse(&self.orders, &answer)
    }

    /// What became of an order; None when it never arrived.
    pub async fn order_status(&self, order: &str) -> Result<Option<OrderResponse>> {
        match self.get(&self.orders, &format!("/v1/orders/{order}")).await {
            Ok(answer) => Ok(Some(answer)),
            Err(PlatformError::Refused { status: NOT_FOUND, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sends the sealed bytes of a usage window before `deadline`.
    pub async fn report_usage(
        &self,
        site: &str,
        window: u64,
        fencing: u64,
        sealed: Bytes,
        deadline: TimePoint,
    ) -> Result<()> {
        let path = format!("/v1/usage/{site}/{window}");
        let (status, _) = self.put(&self.usage, &path, fencing, sealed, deadline).await?;
        if status >= 400 {
            return Err(PlatformError::Refused { endpoint: self.usage.to_string(), status });
        }
        Ok(())
    }

    /// Orders the engine at `address` to load weights, before `deadline`.
    pub async fn load_weights(&self, address: &str, order: &LoadOrder, deadline: TimePoint) -> Result<()> {
        let body = to_json(order)?;
        let (status, _) = self.put(address, "/orders/load", order.fencing, body, deadline).await?;
        if status >= 400 {
            return Err(PlatformError::Refused { endpoint: address.to_owned(), status });
        }
        Ok(())
    }

    /// The load report of the engine at `address`.
    pub async fn load_report(&self, address: &str) -> Result<LoadReport> {
        self.get(address, "/load").await
    }

    async fn get<A: DeserializeOwned>(&self, endpoint: &str, path: &str) -> Result<A> {
        let request = self.plain.get(format!("http://{endpoint}{path}")).timeout(CallTimeout::PROVIDER);
        let mut answer = request.send().await.map_err(|error| unreachable(endpoint, &error))?;
        if !answer.status().is_success() {
            return Err(PlatformError::Refused { endpoint: endpoint.to_owned(), status: answer.status().as_u16() });
        }
        let body = answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| unreachable(endpoint, &error))?;
        parse(endpoint, &body)
    }

    async fn put(
        &self,
        endpoint: &str,
        path: &str,
        fencing: u64,
        body: Bytes,
        deadline: TimePoint,
    ) -> Result<(u16, Bytes)> {
        let body = DeadlineBody::new(self.clock.clone(), deadline, body);
        let request = self
            .guarded
            .put(format!("http://{endpoint}{path}"))
            .timeout(CallTimeout::PROVIDER)
            .force_close()
            .insert_header((FENCING_HEADER, fencing.to_string()))
            .insert_header(("content-type", "application/json"));
        let mut answer = request.send_body(body).await.map_err(|error| unreachable(endpoint, &error))?;
        let bytes = answer.body().limit(ANSWER_BYTES_MAX).await.map_err(|error| unreachable(endpoint, &error))?;
        Ok((answer.status().as_u16(), bytes))
    }
}

fn to_json<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = serde_json::to_vec(message)
        .map_err(|error| PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() })?;
    Ok(bytes.into())
}

fn parse<A: DeserializeOwned>(endpoint: &str, body: &[u8]) -> Result<A> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Malformed { endpoint: endpoint.to_owned(), problem: error.to_string() })
}

fn unreachable(endpoint: &str, error: &impl ToString) -> PlatformError {
    PlatformError::Unreachable { endpoint: endpoint.to_owned(), problem: error.to_string() }
}

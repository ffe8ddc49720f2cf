//! Client of the provider's interfaces for orders, usage reports and the VM list, and of the engines.

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

/// Maximum size of a response.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// Header with the fencing number of the daemon that holds the duty.
const FENCING_HEADER: &str = "x-fencing";
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

/// Client of the provider and of engines. Sends each order and usage report on a connection of its own, before a
/// deadline.
#[derive(Clone)]
pub struct ProviderClient {
    /// Client for reads, which reuses connections.
    read_client: Client,
    /// Client for writes, whose connections are dropped when sent bytes stay unacknowledged.
    write_client: Client,
    clock: Arc<LeaseClock>,
    orders_endpoint: Arc<str>,
    usage_endpoint: Arc<str>,
    vms_endpoint: Arc<str>,
}

impl ProviderClient {
    /// Creates a client of the three interfaces, each given as `ip:port`.
    #[must_use]
    pub fn new(
        clock: Arc<LeaseClock>,
        orders_endpoint: Arc<str>,
        usage_endpoint: Arc<str>,
        vms_endpoint: Arc<str>,
    ) -> Self {
        Self {
            read_client: plain_client(),
            write_client: client_with_tcp_user_timeout(CallTimeout::TCP_USER),
            clock,
            orders_endpoint,
            usage_endpoint,
            vms_endpoint,
        }
    }

    /// Reads the list of VMs.
    pub async fn vm_list(&self) -> Result<VmList> {
        self.get(&self.vms_endpoint, "/v1/vms").await
    }

    /// Sends an order unless `deadline` has passed. A refusal because of the fencing number is returned as a
    /// response, not as an error.
    pub async fn send_order(&self, order: &OrderRequest, deadline: TimePoint) -> Result<OrderResponse> {
        let body = to_json(order)?;
        let path = format!("/v1/orders/{}", order.order_id);
        let (status, response_body) = self.put(&self.orders_endpoint, &path, order.fencing, body, deadline).await?;
        if status >= 400 && status != CONFLICT {
            return Err(PlatformError::Refused { endpoint: self.orders_endpoint.to_string(), status });
        }
        parse(&self.orders_endpoint, &response_body)
    }

    /// Outcome of the order with the id `order_id`; `None` if the provider has not received it.
    pub async fn order_status(&self, order_id: &str) -> Result<Option<OrderResponse>> {
        match self.get(&self.orders_endpoint, &format!("/v1/orders/{order_id}")).await {
            Ok(response) => Ok(Some(response)),
            Err(PlatformError::Refused { status: NOT_FOUND, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sends the encoded report of a usage window unless `deadline` has passed.
    pub async fn report_usage(
        &self,
        site: &str,
        window: u64,
        fencing_number: u64,
        report: Bytes,
        deadline: TimePoint,
    ) -> Result<()> {
        let path = format!("/v1/usage/{site}/{window}");
        let (status, _) = self.put(&self.usage_endpoint, &path, fencing_number, report, deadline).await?;
        if status >= 400 {
            return Err(PlatformError::Refused { endpoint: self.usage_endpoint.to_string(), status });
        }
        Ok(())
    }

    /// Orders the engine at `address` to load weights, unless `deadline` has passed.
    pub async fn load_weights(&self, address: &str, order: &LoadOrder, deadline: TimePoint) -> Result<()> {
        let body = to_json(order)?;
        let (status, _) = self.put(address, "/orders/load", order.fencing, body, deadline).await?;
        if status >= 400 {
            return Err(PlatformError::Refused { endpoint: address.to_owned(), status });
        }
        Ok(())
    }

    /// Reads the load report of the engine at `address`.
    pub async fn load_report(&self, address: &str) -> Result<LoadReport> {
        self.get(address, "/load").await
    }

    async fn get<T: DeserializeOwned>(&self, endpoint: &str, path: &str) -> Result<T> {
        let request = self.read_client.get(format!("http://{endpoint}{path}")).timeout(CallTimeout::PROVIDER);
        let mut response = request.send().await.map_err(|error| unreachable_error(endpoint, &error))?;
        if !response.status().is_success() {
            return Err(PlatformError::Refused { endpoint: endpoint.to_owned(), status: response.status().as_u16() });
        }
        let body =
            response.body().limit(RESPONSE_BYTES_MAX).await.map_err(|error| unreachable_error(endpoint, &error))?;
        parse(endpoint, &body)
    }

    async fn put(
        &self,
        endpoint: &str,
        path: &str,
        fencing_number: u64,
        body: Bytes,
        deadline: TimePoint,
    ) -> Result<(u16, Bytes)> {
        let body = DeadlineBody::new(self.clock.clone(), deadline, body);
        let request = self
            .write_client
            .put(format!("http://{endpoint}{path}"))
            .timeout(CallTimeout::PROVIDER)
            .force_close()
            .insert_header((FENCING_HEADER, fencing_number.to_string()))
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(body).await.map_err(|error| unreachable_error(endpoint, &error))?;
        let response_body =
            response.body().limit(RESPONSE_BYTES_MAX).await.map_err(|error| unreachable_error(endpoint, &error))?;
        Ok((response.status().as_u16(), response_body))
    }
}

fn to_json<T: Serialize>(message: &T) -> Result<Bytes> {
    let bytes = serde_json::to_vec(message)
        .map_err(|error| PlatformError::Malformed { endpoint: "this daemon".to_owned(), problem: error.to_string() })?;
    Ok(bytes.into())
}

fn parse<T: DeserializeOwned>(endpoint: &str, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Malformed { endpoint: endpoint.to_owned(), problem: error.to_string() })
}

fn unreachable_error(endpoint: &str, error: &impl ToString) -> PlatformError {
    PlatformError::Unreachable { endpoint: endpoint.to_owned(), problem: error.to_string() }
}

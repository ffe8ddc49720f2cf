//! Messages of `PUT /v1/orders/ID`, which starts or stops an upstream, and `GET /v1/orders/ID`, which returns the
//! outcome.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start one upstream.
    Start,
    /// Stop the upstream on the named VM.
    Stop,
}

/// Order to start or to stop an upstream. An order that is sent again with the same id is carried out once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Id of the order; never reused for another order.
    #[serde(rename = "order")]
    pub order_id: Arc<str>,
    /// Requested action.
    pub action: OrderAction,
    /// Failure domain of the upstream.
    pub failure_domain: Arc<str>,
    /// Service that the upstream runs.
    pub service: Arc<str>,
    /// Whether the platform may reclaim the upstream's VM at any time.
    pub reclaimable: bool,
    /// VM to stop; `None` for a start.
    pub vm: Option<Arc<str>>,
    /// Fencing number of the daemon that holds the duty. A receiver that checks it refuses numbers lower than the
    /// highest that it has received.
    pub fencing: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order was carried out.
    Done,
    /// The order was refused because no VM for such an upstream is available.
    Unavailable,
    /// The order was refused for its fencing number.
    Fenced,
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Id of the order.
    #[serde(rename = "order")]
    pub order_id: Arc<str>,
    /// Outcome of the order.
    pub state: OrderState,
    /// VM that was started; `None` for a stop or a refusal.
    #[serde(default)]
    pub vm: Option<Arc<str>>,
}

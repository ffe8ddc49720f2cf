//! `PUT /v1/orders/ID` starts or stops an upstream; `GET /v1/orders/ID` tells what became of it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start one upstream.
    Start,
    /// Stop the named upstream.
    Stop,
}

/// One order. Its id makes a repeated order the same order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Id, unique for ever.
    #[serde(rename = "order")]
    pub order_id: Arc<str>,
    /// What to do.
    pub action: OrderAction,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Whether the upstream may be reclaimed.
    pub reclaimable: bool,
    /// VM to stop.
    pub vm: Option<Arc<str>>,
    /// Fencing number of the orderer; receivers that check it refuse older ones.
    pub fencing: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Carried out.
    Done,
    /// Refused, since the kind is not to be had.
    Unavailable,
    /// Refused for an old fencing number.
    Fenced,
}

/// Answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Id.
    #[serde(rename = "order")]
    pub order_id: Arc<str>,
    /// Outcome.
    pub state: OrderState,
    /// VM that was started.
    #[serde(default)]
    pub vm: Option<Arc<str>>,
}

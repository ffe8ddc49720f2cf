//! `POST /orders/load`: orders an engine to load a weight version.

use serde::{Deserialize, Serialize};

/// The order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Weight version.
    pub version: u64,
    /// Fencing number of the orderer.
    pub fencing: u64,
}

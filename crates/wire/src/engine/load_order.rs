//! Messages of `PUT /orders/load`, which orders an engine to load a weight version.

use serde::{Deserialize, Serialize};

/// Order to load a weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Weight version to load.
    pub version: u64,
    /// Fencing number of the daemon that holds the duty.
    pub fencing: u64,
}

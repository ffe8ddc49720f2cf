//! How long calls to the platform may take.

use std::time::Duration;

/// Timeouts by kind of call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeout;

impl CallTimeout {
    /// Calls to the key-value service.
    pub const KEY_VALUE: Duration = Duration::from_millis(1_000);
    /// Calls to the ordering, usage and list interfaces.
    pub const PROVIDER: Duration = Duration::from_millis(1_500);
    /// Unacknowledged bytes on an order's connection are given up after this; shorter than the lease guard.
    pub const TCP_USER: Duration = Duration::from_millis(1_500);
}

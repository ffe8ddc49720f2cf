//! Timeouts of calls to the platform.

use std::time::Duration;

/// Timeouts by kind of call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeout;

impl CallTimeout {
    /// For calls to the key-value service, except watches.
    pub const KEY_VALUE: Duration = Duration::from_millis(1_000);
    /// For calls to the interfaces for orders, usage reports and the VM list, and to engines.
    pub const PROVIDER: Duration = Duration::from_millis(1_500);
    /// For bytes on an order's connection that stay unacknowledged; the connection is dropped then. Shorter than the
    /// time before the end of a lease at which its holder stops acting.
    pub const TCP_USER: Duration = Duration::from_millis(1_500);
}

//! Timeouts of calls to the platform.

use std::time::Duration;

/// Timeout of each type of call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeout;

impl CallTimeout {
    /// For calls to the key-value service, except watches.
    pub const KEY_VALUE: Duration = Duration::from_millis(1_000);
    /// For calls to the interfaces for orders, usage reports and the VM list, and to engines.
    pub const PROVIDER: Duration = Duration::from_millis(1_500);
    /// For the acknowledgement of bytes sent with an order or a usage report; the connection is dropped afterwards.
    /// Must be shorter than the time before the end of a lease at which its holder stops acting, so that the operating
    /// system delivers no bytes of a previous holder once a successor acts.
    pub const TCP_USER: Duration = Duration::from_millis(1_500);
}

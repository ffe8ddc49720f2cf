//! Access to the platform's key-value store: direct or relayed calls, and change feeds for the watched prefixes.

mod change_feed;
mod coordination_keys;
mod operator_keys;
mod prefix_handler;
mod prefix_log;
mod store_access;
mod upstream_keys;

pub use change_feed::{CHANGES_PATH, ChangeFeed};
pub use coordination_keys::CoordinationKeys;
pub use operator_keys::OperatorKeys;
pub use prefix_handler::{PrefixHandler, follow_prefix};
pub use prefix_log::PrefixLog;
pub use store_access::{RELAY_PATH, StoreAccess};
pub use upstream_keys::UpstreamKeys;

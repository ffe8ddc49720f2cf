//! Access to the platform's key-value store: direct or relayed calls, and change feeds for the watched prefixes.

mod change_feed;
mod change_hub;
mod coordination_keys;
mod operator_keys;
mod prefix_handler;
mod store_access;
mod upstream_keys;

pub use change_feed::{CHANGES_PATH, ChangeFeed};
pub use change_hub::ChangeHub;
pub use coordination_keys::CoordinationKeys;
pub use operator_keys::OperatorKeys;
pub use prefix_handler::{PrefixHandler, follow_prefix};
pub use store_access::{RELAY_PATH, StoreAccess};
pub use upstream_keys::UpstreamKeys;

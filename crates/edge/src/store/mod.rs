//! Follows the platform's store.

mod followed_keys;
mod follower;
mod listed_upstreams;
mod operator_keys;
mod shared_watches;
mod store_access;

pub use followed_keys::FollowedKeys;
pub use follower::{FollowedPrefix, follow};
pub use listed_upstreams::ListedUpstreams;
pub use operator_keys::OperatorKeys;
pub use shared_watches::SharedWatches;
pub use store_access::{RELAY_PATH, StoreAccess};

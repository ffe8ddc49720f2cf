//! Follows the platform's store.

mod followed_keys;
mod follower;
mod listed_upstreams;
mod news_feed;
mod news_hub;
mod operator_keys;
mod store_access;

pub use followed_keys::FollowedKeys;
pub use follower::{FollowedPrefix, follow};
pub use listed_upstreams::ListedUpstreams;
pub use news_feed::{NEWS_PATH, NewsFeed};
pub use news_hub::NewsHub;
pub use operator_keys::OperatorKeys;
pub use store_access::{RELAY_PATH, StoreAccess};

//! Stand-ins that speak the protocol of the users' platform: its store, its upstreams, and its service for usage
//! reports and scaling orders.

mod platform_provider;
mod platform_store;
mod platform_upstream;
mod store_contents;
mod store_view;

pub use platform_provider::{PlatformProvider, PlatformUsageReport, ScaleOrder};
pub use platform_store::{PlatformStore, StoreFault};
pub use platform_upstream::{PlatformUpstream, RecordedCall, UpstreamFault, UpstreamSettings};
pub use store_contents::StoreContents;
pub use store_view::StoreView;

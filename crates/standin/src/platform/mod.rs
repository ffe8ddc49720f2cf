//! Stand-ins that speak the users' platform's protocol: store, upstreams, and the interface for usage reports.

mod platform_provider;
mod platform_store;
mod platform_upstream;
mod store_contents;

pub use platform_provider::{PlatformProvider, PlatformUsageReport, ScaleOrder};
pub use platform_store::{PlatformStore, StoreFault};
pub use platform_upstream::{PlatformUpstream, RecordedCall, UpstreamFault, UpstreamSettings};
pub use store_contents::StoreContents;

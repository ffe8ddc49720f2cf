//! Traffic configuration of the operators: routes, services, organisations and limits.

mod client_limits;
mod home_regions;
mod region_map;
mod route_rule;
mod service_rule;
mod traffic_config;

pub use client_limits::ClientLimits;
pub use home_regions::HomeRegions;
pub use region_map::RegionMap;
pub use route_rule::{BatchRule, RouteKind, RouteRule, RouteTarget};
pub use service_rule::{ScalingRule, ServiceRule};
pub use traffic_config::{KeyGrant, TrafficConfig};

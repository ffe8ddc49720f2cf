//! Traffic configuration of the operators: routes, services, organisations and limits.

mod client_limits;
mod route_rule;
mod service_rule;
mod traffic_config;

pub use client_limits::ClientLimits;
pub use route_rule::{BatchRule, RouteKind, RouteRule, RouteTarget};
pub use service_rule::{ScalingRule, ServiceRule};
pub use traffic_config::{KeyGrant, TrafficConfig};

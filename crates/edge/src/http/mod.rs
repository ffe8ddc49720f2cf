//! HTTP handlers of the public API, the readiness probe, and the control API for peers and operators.

mod api_refusal;
mod batch_api;
mod front_app;
mod peer_api;
mod proxy;
mod ready_app;
mod request_context;
mod request_target;
mod stream_proxy;
mod upstream_attempts;

pub use api_refusal::ApiRefusal;
pub use front_app::configure_front;
pub use ready_app::{configure_control, configure_ready};

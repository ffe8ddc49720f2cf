//! HTTP interfaces: the public listener for callers and trainers, and the control listener for peers, operators and
//! probes.

mod admin_api;
mod caller_auth;
mod control_app;
mod engine_api;
mod health;
mod key_api;
mod peer_api;
mod plain_api;
mod public_app;
mod request_body;
mod secret_guard;
mod trainer_api;
mod worker_state;

pub use control_app::configure_control;
pub use public_app::configure_public;
pub use worker_state::WorkerState;

//! The daemon on the users' platform: one on each entry VM, all alike. What must last stands in the
//! platform's store; everything else may be lost with the process.

mod client_watch;
mod duty;
mod edge_metrics;
mod edge_state;
mod http;
mod job;
mod lease_task;
mod peer_client;
mod relay;
mod run_edge;
mod run_storage;
mod steady_time;
mod store;
mod worker_parts;

pub use run_edge::{Result, run_edge};
pub use run_storage::run_storage;

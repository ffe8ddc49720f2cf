//! The daemon that runs on each entry VM. It forwards requests to upstreams, runs batch jobs and takes turns in holding
//! the duty. All daemons are equal. Durable state is kept in the platform's key-value store; a process may lose
//! everything else.

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

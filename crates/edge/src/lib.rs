//! The daemon that runs on each entry VM. It forwards requests to upstreams and runs the batch jobs that it owns. All
//! daemons run the same code; one at a time holds the duty. Durable state is stored in the platform's key-value store;
//! all other state may be lost with the process.

mod duty;
mod edge_metrics;
mod edge_state;
mod http;
mod job;
mod lease_task;
mod limit;
mod path;
mod peer_client;
mod planned_stop;
mod relay;
mod run_edge;
mod run_storage;
mod steady_time;
mod store;
mod stream;
mod suspect;
mod task_supervisor;
mod waiting;
mod worker_parts;

pub use relay::{AttemptFailure, EventPortion, PortionReader, check_response};
pub use run_edge::{Result, run_edge};
pub use run_storage::run_storage;
pub use task_supervisor::supervise;

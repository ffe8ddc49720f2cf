//! The daemon that serves callers and trainers. One runs on each entry VM, and any of them can serve any call.

mod admission_controller;
mod api_error;
mod claim;
mod config_writer;
mod daemon_settings;
mod http;
mod limit_observer;
mod metric_set;
mod peer_client;
mod request_id;
mod running_daemon;
mod shared_state;
mod step;
mod task;
mod upstream;

pub use daemon_settings::{DaemonSettings, SettingError, command};
pub use pimentoslip_telemetry::{LogLine, disable_logs, init_stderr_logs};
pub use running_daemon::{Result, RunningDaemon, start};

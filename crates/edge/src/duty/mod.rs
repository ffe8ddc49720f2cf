//! Work of the one daemon that holds the duty: loads of weights, scaling of services, usage reports and retired VMs;
//! and the tasks by which all daemons report to the holder.

mod duty_task;
mod load_duty;
mod retire_duty;
mod run_report_task;
mod scaling_duty;
mod usage_collector;
mod usage_count_task;
mod usage_duty;

pub use duty_task::hold_duty;
pub use run_report_task::{RUNS_PATH, report_runs};
pub use usage_collector::{USAGE_PATH, UsageCollector};
pub use usage_count_task::{flush_usage, record_usage};

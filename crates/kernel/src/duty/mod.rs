//! Duties that one daemon holds at a time: terms of the holder, and planning of weights, upstreams and usage reports.

mod duty_claim;
mod duty_history;
mod duty_term;
mod run_reports;
mod scaling_planner;
mod seal_schedule;
mod usage_tally;
mod version_planner;

pub use duty_claim::DutyClaim;
pub use duty_history::{DutyAcquisition, DutyHistory};
pub use duty_term::{DutyTerm, LeaseStatus};
pub use run_reports::RunReports;
pub use scaling_planner::{ScalingOrder, ScalingOutcome, ScalingPlanner, standing_counts};
pub use seal_schedule::SealSchedule;
pub use usage_tally::{UsageBatch, UsageTally};
pub use version_planner::{LoadOrder, LoadOutcome, ModelDemand, ServiceSnapshot, VersionPlanner};

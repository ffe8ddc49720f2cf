//! Duties that one daemon holds at a time.

mod duty_history;
mod duty_term;
mod run_board;
mod size_planner;
mod usage_tally;
mod version_planner;

pub use duty_history::{DutyHistory, DutyTaker};
pub use duty_term::{DutyTerm, LeaseStanding};
pub use run_board::RunBoard;
pub use size_planner::{DomainOrder, SizeOutcome, SizePlanner, standing_floor};
pub use usage_tally::{UsageBatch, UsageTally};
pub use version_planner::{LoadOrder, LoadView, ModelDemand, OrderOutcome, VersionPlanner};

//! Duties that one daemon holds at a time.

mod duty_term;
mod usage_tally;
mod version_planner;

pub use duty_term::{DutyTerm, LeaseStanding};
pub use usage_tally::{UsageBatch, UsageTally};
pub use version_planner::{LoadOrder, OrderOutcome, VersionPlanner};

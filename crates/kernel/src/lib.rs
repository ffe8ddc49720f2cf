//! Pure state machines that make the decisions of the rollout service.
//!
//! Each state machine takes events and the current [`TimePoint`], and returns the actions to perform. Nothing in this
//! crate performs I/O, reads a clock, or draws unseeded random numbers.

mod admission_policy;
mod batch;
mod claim_table;
mod client_phase;
mod config;
mod duty;
mod fair_queue;
mod fetch_cursor;
mod fingerprint;
mod freshness_table;
mod head_scanner;
mod job_placement;
mod lease_holder;
mod limit;
mod member_table;
mod ownership_table;
mod path;
mod read;
mod refusal_reason;
mod rendezvous;
mod request_class;
mod request_progress;
mod retry_budget;
mod retry_policy;
mod route_policy;
mod route_table;
mod sampler;
mod spend_planner;
mod step_ledger;
mod stream;
mod stream_scanner;
mod suspect;
mod time_point;
mod token_segment;
mod traffic;
mod usage_meter;
mod usage_window;
mod waiting;
mod wall_clock_offset;
mod watch;

pub use admission_policy::{AdmissionPlugin, AdmissionPolicy};
pub use batch::*;
pub use claim_table::{ClaimAnswer, ClaimKey, ClaimTable, NotShardOwner, Result as ClaimResult};
pub use client_phase::{ANSWER_TICKS_MAX, ClientPhase, ClientSample, HEAD_TICKS_MAX, yielding_client};
pub use config::*;
pub use duty::*;
pub use fair_queue::{FairQueue, QueueTicket, QueuedRequest};
pub use fetch_cursor::FetchCursor;
pub use fingerprint::fingerprint;
pub use freshness_table::FreshnessTable;
pub use head_scanner::HeadScanner;
pub use job_placement::JobPlacement;
pub use lease_holder::{HolderEvidence, LeaseHolder, LeaseState, PreviousHolder};
pub use limit::*;
pub use member_table::{MemberEntry, MemberState, MemberTable};
pub use ownership_table::{DaemonPresence, DueClaim, OwnerRecord, OwnershipTable};
pub use path::*;
pub use read::*;
pub use refusal_reason::{RefusalReason, RunState};
pub use rendezvous::{highest_ranked, rank};
pub use request_class::RequestClass;
pub use request_progress::RequestProgress;
pub use retry_budget::RetryBudget;
pub use retry_policy::{FailedAttempt, RetryDecision, RetryPolicy, RetryReason};
pub use route_policy::{RoutePlugin, RoutePolicy, route_policy_names};
pub use route_table::{RouteQuery, RouteTable, UpstreamEntry, UpstreamState};
pub use sampler::*;
pub use spend_planner::{SpendAction, SpendInput, SpendPlanner};
pub use step_ledger::{DispatchOrder, FinishOutcome, SampleId, SampleResult, StepLedger, StepSpec};
pub use stream::*;
pub use stream_scanner::StreamScanner;
pub use suspect::*;
pub use time_point::TimePoint;
pub use token_segment::TokenSegment;
pub use traffic::*;
pub use usage_meter::{UsageCount, UsageKey, UsageMeter};
pub use usage_window::{UsageLine, UsageWindow};
pub use waiting::*;
pub use wall_clock_offset::WallClockOffset;
pub use watch::*;

/// A shared, immutable name that is cheap to clone.
pub type SharedName = std::sync::Arc<str>;

//! Batch jobs: submissions, stored results, and the execution of the jobs that this daemon owns.

mod claim_task;
mod dispatch_round;
mod item_run;
mod job_index;
mod job_reader;
mod job_runner;
mod job_writer;
mod ledger_writer;
mod owned_job;
mod owner_read;
mod read_source;
mod result_cache;
mod run_failures;
mod score_run;
mod waiting_pools;

pub use claim_task::claim_jobs;
pub use job_index::{JobIndex, JobView, PendingJob};
pub use job_reader::{ResultsQuery, read_item_body, read_job, read_results};
pub use job_writer::{EndOutcome, JOB_PUSH_PATH, SubmitOutcome, SubmittedJob, accept_job, end_job, submit_job};
pub use owned_job::job_placement;
pub use owner_read::{ITEM_BODY_PATH, RESULTS_PATH, local_item, local_results};

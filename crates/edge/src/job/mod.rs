//! Batch jobs: their records, their results, and the daemon's work on those that it owns.

mod claim_task;
mod item_run;
mod job_index;
mod job_reader;
mod job_runner;
mod job_writer;
mod ledger_writer;
mod listed_cache;
mod owned_job;
mod owner_read;
mod score_run;

pub use claim_task::claim_jobs;
pub use job_index::{JobIndex, JobView, KeptJob};
pub use job_reader::{BoundedRead, read_body, read_page, view};
pub use job_writer::{JOB_PUSH_PATH, NewJob, SubmitOutcome, end, receive, submit};
pub use owner_read::{ITEM_BODY_PATH, RESULTS_PATH, owned_item, owned_results};

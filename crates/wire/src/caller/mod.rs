//! Requests of callers and trainers, and the responses to them.

mod refusal;
mod step;
mod weights;

pub use refusal::{Refusal, RefusalBody};
pub use step::{FetchRequest, FetchResponse, OpenRequest, OpenResponse, SampleBody, SegmentBody};
pub use weights::{PublishRequest, PublishResponse};

//! What callers and trainers send and get.

mod refusal;
mod step;
mod weights;

pub use refusal::{Refusal, RefusalBody};
pub use step::{FetchRequest, FetchResponse, OpenRequest, OpenResponse, SampleBody, SegmentBody};
pub use weights::{PublishRequest, PublishResponse};

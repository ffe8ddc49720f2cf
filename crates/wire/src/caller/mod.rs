//! What callers and trainers send and get.

mod refusal;
mod step;
mod weights;

pub use refusal::{Refusal, RefusalBody};
pub use step::{FetchAnswer, FetchRequest, OpenAnswer, OpenRequest, SampleBody, SegmentBody};
pub use weights::{PublishAnswer, PublishRequest};

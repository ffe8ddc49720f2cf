//! Messages of model engines: the OpenAI-compatible API, with the weight version in each chunk.

mod chunk;
mod completion;
mod load_order;
mod load_report;

pub use chunk::{Choice, ChoiceDelta, StreamChunk, TokenUsage};
pub use completion::{ChatMessage, CompletionRequest};
pub use load_order::LoadOrder;
pub use load_report::LoadReport;

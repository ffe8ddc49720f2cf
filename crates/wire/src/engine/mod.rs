//! Model engines: the OpenAI-compatible form, with weight versions in each chunk.

mod chunk;
mod completion;
mod load_order;
mod load_report;

pub use chunk::{Choice, ChoiceDelta, StreamChunk, TokenUsage};
pub use completion::{ChatMessage, CompletionRequest};
pub use load_order::LoadOrder;
pub use load_report::LoadReport;

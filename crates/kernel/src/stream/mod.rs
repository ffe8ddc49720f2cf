//! Streams of callers: the software version that began each, with which alone it can be continued.

mod begun_stream;
mod software_history;
mod stream_register;

pub use begun_stream::BegunStream;
pub use software_history::{HistoryUpdate, SoftwareHistory, SoftwareUse};
pub use stream_register::{STREAM_TTL_MS, StreamRegister};

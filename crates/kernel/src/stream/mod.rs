//! Origins of callers' streams: a stream can be resumed only by the software version that started it.

mod software_history;
mod stream_origin;
mod stream_register;

pub use software_history::{HistoryUpdate, SoftwareHistory, SoftwareUse};
pub use stream_origin::StreamOrigin;
pub use stream_register::{STREAM_TTL_MS, StreamRegister};

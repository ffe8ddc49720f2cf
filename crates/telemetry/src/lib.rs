//! Structured logs: one line of key=value pairs for each event.

mod bounded_sink;
mod log_line;

pub use bounded_sink::{BoundedSink, lines_dropped};
pub use log_line::{LogLine, init_logs, init_stdout_logs, silence_logs};

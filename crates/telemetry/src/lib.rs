//! Structured logging: writes each event as one line of `key=value` pairs.

mod bounded_sink;
mod log_line;

pub use bounded_sink::{BoundedSink, dropped_lines};
pub use log_line::{LogLine, disable_logs, init_stderr_logs, init_stdout_logs};

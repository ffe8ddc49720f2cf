//! Builds log lines of `key=value` pairs and sets up the process's logger.

use crate::BoundedSink;
use spdlog::{
    LevelFilter, Logger,
    formatter::{PatternFormatter, pattern},
    sink::{Sink, StdStream, StdStreamSink},
};
use std::{fmt::Write, sync::Arc};

/// Prefix of API keys. A value that contains it is redacted.
const API_KEY_PREFIX: &str = "psk-";
const REDACTED: &str = "[redacted]";

/// Log line of one event. Values that may contain an API key are redacted.
#[derive(Clone, Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Creates a line for `event` without further fields.
    #[must_use]
    pub fn new(event: &str) -> Self {
        Self { text: format!("event={event}") }
    }

    /// Adds a `key=value` pair. A value that is empty or has spaces, quotes, `=`, backslashes, control or non-ASCII
    /// characters is quoted and escaped.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl std::fmt::Display) -> Self {
        let value = value.to_string();
        let value = if value.contains(API_KEY_PREFIX) { REDACTED.to_owned() } else { value };
        let is_plain = !value.is_empty()
            && value.chars().all(|character| character.is_ascii_graphic() && !matches!(character, '"' | '=' | '\\'));
        let text = if is_plain { value } else { format!("{value:?}") };
        // Writing to a `String` cannot fail.
        let _ = write!(self.text, " {key}={text}");
        self
    }

    /// Text of the line, without the timestamp and level.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Logs the line at level info.
    pub fn info(self) {
        spdlog::info!("{}", self.text);
    }

    /// Logs the line at level warn.
    pub fn warn(self) {
        spdlog::warn!("{}", self.text);
    }
}

/// Sends all logs to standard error, with a blocking write for each line.
pub fn init_stderr_logs() {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build();
    let Ok(sink) = sink else { return };
    set_default_sink(sink);
}

/// Sends all logs to standard output through a bounded queue; see [`BoundedSink`]. Falls back to standard error if
/// the writer thread cannot be started.
pub fn init_stdout_logs() {
    // A process that cannot start the writer thread can still serve requests.
    let Ok(sink) = BoundedSink::start() else { return init_stderr_logs() };
    set_default_sink(sink);
}

fn set_default_sink(sink: impl Sink + 'static) {
    let line_pattern = pattern!("ts={date}T{time}.{millisecond} level={level} {payload}{eol}");
    sink.set_formatter(Box::new(PatternFormatter::new(line_pattern)));
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let logger = Logger::builder().sink(sink).flush_level_filter(LevelFilter::All).build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Disables all log output.
pub fn disable_logs() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

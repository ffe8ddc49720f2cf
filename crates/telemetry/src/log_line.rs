//! Structured logs: one line of key=value pairs for each event.

use crate::BoundedSink;
use spdlog::{
    LevelFilter, Logger,
    formatter::{PatternFormatter, pattern},
    sink::{Sink, StdStream, StdStreamSink},
};
use std::{fmt::Write, sync::Arc};

const KEY_MARK: &str = "psk-";
const REDACTED: &str = "[redacted]";

/// One event under construction. Values that could hold a key are redacted.
#[derive(Clone, Debug)]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Begins the line of `event`.
    #[must_use]
    pub fn new(event: &str) -> Self {
        Self { text: format!("event={event}") }
    }

    /// Adds a pair. A value with spaces, quotes or control characters is quoted and escaped.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl std::fmt::Display) -> Self {
        let value = value.to_string();
        let value = if value.contains(KEY_MARK) { REDACTED.to_owned() } else { value };
        let plain = !value.is_empty() && value.chars().all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'));
        let text = if plain { value } else { format!("{value:?}") };
        // Writing to a string cannot fail.
        let _ = write!(self.text, " {key}={text}");
        self
    }

    /// The finished text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Writes the line at level info.
    pub fn info(self) {
        spdlog::info!("{}", self.text);
    }

    /// Writes the line at level warn.
    pub fn warn(self) {
        spdlog::warn!("{}", self.text);
    }
}

/// Sends logs to standard error, a line at a time.
pub fn init_stderr_logs() {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build();
    let Ok(sink) = sink else { return };
    install(sink);
}

/// Sends logs to standard output through a bounded queue.
pub fn init_stdout_logs() {
    // Without its writer a process still serves.
    let Ok(sink) = BoundedSink::start() else { return init_stderr_logs() };
    install(sink);
}

fn install(sink: impl Sink + 'static) {
    let layout = pattern!("ts={date}T{time}.{millisecond} level={level} {payload}{eol}");
    sink.set_formatter(Box::new(PatternFormatter::new(layout)));
    let sink: Arc<dyn Sink> = Arc::new(sink);
    let logger = Logger::builder().sink(sink).flush_level_filter(LevelFilter::All).build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Writes no logs at all.
pub fn disable_logs() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

//! A log sink that never blocks its callers.

use spdlog::{
    Record, Result, StringBuf,
    formatter::FormatterContext,
    sink::{GetSinkProp, Sink, SinkProp},
};
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines that may wait for the writer; at 200 bytes a line this is under half a megabyte.
const LINES_WAITING_MAX: usize = 2_048;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped so far because the writer fell behind.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands lines to a thread that writes them to standard output. A line that finds the queue full is
/// dropped and counted.
pub struct BoundedSink {
    prop: SinkProp,
    queue: SyncSender<String>,
}

impl BoundedSink {
    /// Starts the writing thread.
    pub fn start() -> io::Result<Self> {
        let (queue, lines) = sync_channel(LINES_WAITING_MAX);
        thread::Builder::new().name("log-writer".to_owned()).spawn(move || write_lines(&lines))?;
        Ok(Self { prop: SinkProp::default(), queue })
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        let mut text = first;
        while let Ok(next) = lines.try_recv() {
            text.push_str(&next);
        }
        let dropped = dropped_lines();
        if dropped > reported {
            text.push_str(&format!("level=warn event=log_lines_dropped count={}\n", dropped - reported));
            reported = dropped;
        }
        let mut wtr = io::stdout().lock();
        // Standard output is the only place to complain to.
        if wtr.write_all(text.as_bytes()).and_then(|()| wtr.flush()).is_err() {
            return;
        }
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record) -> Result<()> {
        let mut buffer = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop.formatter().format(record, &mut buffer, &mut context)?;
        if self.queue.try_send(buffer.to_string()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<()> {
        Ok(())
    }
}

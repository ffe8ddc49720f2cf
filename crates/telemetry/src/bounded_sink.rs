//! Log sink that never blocks its callers.

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

/// Maximum number of lines waiting for the writer thread. At 200 bytes a line this is under half a megabyte.
const QUEUED_LINES_MAX: usize = 2_048;

/// Total number of lines dropped by the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped so far because the queue of the writer thread was full.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues log lines for a thread that writes them to standard output. If the queue is full, a line is dropped and
/// counted.
pub struct BoundedSink {
    prop: SinkProp,
    queue: SyncSender<String>,
}

impl BoundedSink {
    /// Starts the writer thread. Returns an error if the thread cannot be spawned.
    pub fn start() -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUED_LINES_MAX);
        thread::Builder::new().name("log-writer".to_owned()).spawn(move || write_lines(&lines))?;
        Ok(Self { prop: SinkProp::default(), queue })
    }
}

/// Writes queued lines to standard output, and a warning if lines were dropped since the last one. Returns when the
/// sink is dropped or a write fails.
fn write_lines(lines: &Receiver<String>) {
    let mut reported_drops = 0;
    while let Ok(first) = lines.recv() {
        let mut text = first;
        while let Ok(next) = lines.try_recv() {
            text.push_str(&next);
        }
        let dropped = dropped_lines();
        if dropped > reported_drops {
            text.push_str(&format!("level=warn event=log_lines_dropped count={}\n", dropped - reported_drops));
            reported_drops = dropped;
        }
        let mut stdout = io::stdout().lock();
        // A failed write to standard output cannot be logged anywhere else.
        if stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_err() {
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
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<()> {
        Ok(())
    }
}

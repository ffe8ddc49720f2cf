//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { file: Mutex::new(File::create(path).expect("create the record")), started_at: Instant::now() }
    }

    pub fn line(&self, line: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        // A record that cannot be written must not stop the case.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {line}");
    }
}

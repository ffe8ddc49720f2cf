//! Scans a server-sent event stream for its `[DONE]` marker without buffering the whole stream.

use memchr::memchr;

/// Line that marks the end of a complete stream.
const TERMINAL_LINE: &[u8] = b"data: [DONE]";
/// Maximum length of a line that spans several chunks. Limits the memory for one stream.
const LINE_BYTES_MAX: usize = 1 << 20;

/// Splits a stream into lines across chunk boundaries and records whether its terminal marker was seen.
#[derive(Debug, Default)]
pub struct StreamScanner {
    /// Start of a line whose end has not been received.
    partial_line: Vec<u8>,
    finished: bool,
    overlong: bool,
}

impl StreamScanner {
    /// Scans the next chunk and calls `on_data` with the payload of each complete `data:` line, except the terminal
    /// marker.
    pub fn feed(&mut self, chunk: &[u8], mut on_data: impl FnMut(&[u8])) {
        let mut remaining = chunk;
        while let Some(end) = memchr(b'\n', remaining) {
            if self.partial_line.is_empty() {
                self.scan_line(&remaining[..end], &mut on_data);
            } else {
                self.partial_line.extend_from_slice(&remaining[..end]);
                let line = std::mem::take(&mut self.partial_line);
                self.scan_line(&line, &mut on_data);
            }
            remaining = &remaining[end + 1..];
        }
        if self.partial_line.len() + remaining.len() > LINE_BYTES_MAX {
            self.overlong = true;
            return;
        }
        self.partial_line.extend_from_slice(remaining);
    }

    /// Whether the terminal marker was seen, which means that the response is complete.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether a line exceeded the length limit. Part of the line is then missing, so the rest of the stream is not
    /// reliable.
    #[must_use]
    pub fn has_overlong_line(&self) -> bool {
        self.overlong
    }

    fn scan_line(&mut self, line: &[u8], on_data: &mut impl FnMut(&[u8])) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line == TERMINAL_LINE {
            self.finished = true;
            return;
        }
        if let Some(data) = line.strip_prefix(b"data:") {
            on_data(data.strip_prefix(b" ").unwrap_or(data));
        }
    }
}

//! Finds the terminal marker of a server-sent event stream without buffering it.

use memchr::memchr;

const TERMINAL_LINE: &[u8] = b"data: [DONE]";
const LINE_BYTES_MAX: usize = 1 << 20;

/// Splits a stream into lines across chunk borders and remembers whether its end marker was seen.
#[derive(Debug, Default)]
pub struct StreamScanner {
    partial: Vec<u8>,
    finished: bool,
    overlong: bool,
}

impl StreamScanner {
    /// Feeds a chunk and calls `on_data` with the payload of each whole `data:` line but the marker.
    pub fn feed(&mut self, chunk: &[u8], mut on_data: impl FnMut(&[u8])) {
        let mut rest = chunk;
        while let Some(at) = memchr(b'\n', rest) {
            if self.partial.is_empty() {
                self.line(&rest[..at], &mut on_data);
            } else {
                self.partial.extend_from_slice(&rest[..at]);
                let line = std::mem::take(&mut self.partial);
                self.line(&line, &mut on_data);
            }
            rest = &rest[at + 1..];
        }
        if self.partial.len() + rest.len() > LINE_BYTES_MAX {
            self.overlong = true;
            return;
        }
        self.partial.extend_from_slice(rest);
    }

    /// Whether the terminal marker was seen, so that the answer is whole.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether a line outgrew the limit, after which the stream cannot be trusted.
    #[must_use]
    pub fn has_overlong_line(&self) -> bool {
        self.overlong
    }

    fn line(&mut self, line: &[u8], on_data: &mut impl FnMut(&[u8])) {
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

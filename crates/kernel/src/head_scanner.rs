//! Finds the ends of the heads of HTTP requests in received bytes.

/// Position in a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HeadPosition {
    /// Before the first byte; blank lines are skipped.
    #[default]
    Before,
    /// Within a line.
    Line,
    /// After the end of a line.
    LineEnd,
    /// After the end of a line and a carriage return.
    BlankLine,
}

/// Scans bytes for the blank line that ends a head. A line may end without a carriage return, as the HTTP library accepts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    position: HeadPosition,
}

impl HeadScanner {
    /// Scans more bytes. Returns the number of bytes up to the end of the first head, if it ends in them; the scanner is then at the
    /// start of the next head.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            self.position = match (self.position, byte) {
                (HeadPosition::Before, b'\r' | b'\n') => HeadPosition::Before,
                (HeadPosition::LineEnd | HeadPosition::BlankLine, b'\n') => {
                    self.position = HeadPosition::Before;
                    return Some(index + 1);
                }
                (_, b'\n') => HeadPosition::LineEnd,
                (HeadPosition::LineEnd, b'\r') => HeadPosition::BlankLine,
                _ => HeadPosition::Line,
            };
        }
        None
    }

    /// Whether a head has begun and not ended.
    #[must_use]
    pub fn is_within_head(&self) -> bool {
        self.position != HeadPosition::Before
    }
}

//! Bounds on what clients may send.

/// Limits of one client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request header in bytes.
    pub header_bytes_max: usize,
    /// Largest request body in bytes.
    pub body_bytes_max: usize,
}

impl Default for ClientLimits {
    /// Bounds until the first configuration is known.
    fn default() -> Self {
        Self { header_bytes_max: 16 * 1024, body_bytes_max: 32 * 1024 * 1024 }
    }
}

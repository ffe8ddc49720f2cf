//! Size limits for client requests.

/// Limits that apply to the requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request header in bytes.
    pub header_bytes_max: usize,
    /// Largest request body in bytes.
    pub body_bytes_max: usize,
}

impl Default for ClientLimits {
    /// Limits that apply until the first configuration is received.
    fn default() -> Self {
        Self { header_bytes_max: 16 * 1024, body_bytes_max: 32 * 1024 * 1024 }
    }
}

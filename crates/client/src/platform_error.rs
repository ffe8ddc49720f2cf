//! Errors of calls to the platform.

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Reason why a call to the platform failed. A write that failed may have been applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// No complete response was received.
    #[error("no complete response from {endpoint}: {problem}; check that it runs and is reachable")]
    Unreachable {
        /// Address of the called service.
        endpoint: String,
        /// Error of the connection.
        problem: String,
    },
    /// The service responded with an error status.
    #[error("{endpoint} responded with status {status}; check its logs")]
    Refused {
        /// Address of the called service.
        endpoint: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The response could not be decoded, or the request could not be encoded.
    #[error("malformed message from or to {endpoint}: {problem}; check that its release is supported")]
    Malformed {
        /// Address of the called service.
        endpoint: String,
        /// Error from the decoder or encoder.
        problem: String,
    },
    /// The lease to be renewed has expired or was revoked.
    #[error("the lease has expired or was revoked; obtain a new one")]
    LeaseNotFound,
}

//! Failures of calls to the platform.

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed. A failed write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// No whole answer came.
    #[error("no answer from {endpoint}: {problem}; check that it runs and can be reached")]
    Unreachable {
        /// Address called.
        endpoint: String,
        /// What happened.
        problem: String,
    },
    /// It answered with an error status.
    #[error("{endpoint} answered with status {status}; check its logs")]
    Refused {
        /// Address called.
        endpoint: String,
        /// HTTP status.
        status: u16,
    },
    /// Its answer could not be parsed.
    #[error("{endpoint} sent a malformed answer: {problem}; check that its release is supported")]
    Malformed {
        /// Address called.
        endpoint: String,
        /// What is wrong.
        problem: String,
    },
    /// The lease that a renewal named is gone.
    #[error("the lease is gone; acquire it again")]
    LeaseNotFound,
}

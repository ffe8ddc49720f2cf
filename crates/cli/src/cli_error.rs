//! Error type and exit codes of the commands.

use pimentoslip_kernel::ConfigFault;
use std::io;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

/// Exit code for a failed command.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid configuration.
const EXIT_INVALID_CONFIG: u8 = 2;
/// Exit code for an unreachable daemon.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for a change that is stored but not confirmed by every daemon.
const EXIT_PENDING: u8 = 4;

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The configuration files are invalid; holds every fault found.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    InvalidConfig(Vec<ConfigFault>),
    /// A file could not be read, an address could not be bound, or output failed.
    #[error("{context}: {source}")]
    Io {
        /// The failed operation, with the path or address.
        context: String,
        /// Underlying error.
        source: io::Error,
    },
    /// The daemon could not be reached or sent no complete response.
    #[error("daemon at {daemon} is unreachable: {reason}; pass the control address of a running daemon with --daemon")]
    Unreachable {
        /// Control address of the daemon.
        daemon: String,
        /// Text of the connection error.
        reason: String,
    },
    /// The daemon answered with an error status.
    #[error("daemon at {daemon} rejected the request with status {status}: {reason}")]
    Rejected {
        /// Control address of the daemon.
        daemon: String,
        /// HTTP status of the response.
        status: u16,
        /// Response body, or a hint at the likely cause.
        reason: String,
    },
    /// A change is stored, but daemons that may be running have not confirmed it; holds their names.
    #[error(
        "pending: the change is stored but not confirmed by {0}; it takes effect there once they are reachable, \
         or repeat the command after they are removed from the VM list"
    )]
    Pending(String),
    /// Any other failure, described by the text.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Exit code of the process for this error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidConfig(_) => EXIT_INVALID_CONFIG,
            Self::Unreachable { .. } => EXIT_UNREACHABLE,
            Self::Pending(_) => EXIT_PENDING,
            Self::Io { .. } | Self::Rejected { .. } | Self::Failed(_) => EXIT_FAILED,
        }
    }
}

impl From<Vec<ConfigFault>> for CliError {
    fn from(faults: Vec<ConfigFault>) -> Self {
        Self::InvalidConfig(faults)
    }
}

impl From<io::Error> for CliError {
    fn from(source: io::Error) -> Self {
        Self::Io { context: "an input or output operation failed".to_owned(), source }
    }
}

impl From<anyhow::Error> for CliError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(format!("{error:#}"))
    }
}

impl From<serde_json::Error> for CliError {
    fn from(error: serde_json::Error) -> Self {
        Self::Failed(format!("cannot read or write JSON: {error}"))
    }
}

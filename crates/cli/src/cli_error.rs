//! One error for all commands.

use pimentoslip_kernel::ConfigFault;
use std::io;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

const EXIT_FAILED: u8 = 1;
const EXIT_INVALID: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_PENDING: u8 = 4;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// Configuration files with faults.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    InvalidConfig(Vec<ConfigFault>),
    /// A file could not be read or an address not bound.
    #[error("{context}: {source}")]
    Io {
        /// What was tried.
        context: String,
        /// What happened.
        source: io::Error,
    },
    /// No daemon answered.
    #[error("no answer from {daemon}: {reason}; name a running daemon's control address with --daemon")]
    Unreachable {
        /// Address.
        daemon: String,
        /// What happened.
        reason: String,
    },
    /// A daemon refused.
    #[error("{daemon} refused with status {status}: {reason}")]
    Refused {
        /// Address.
        daemon: String,
        /// HTTP status.
        status: u16,
        /// What it said.
        reason: String,
    },
    /// A change is on record, but daemons that may be running have not confirmed it.
    #[error(
        "pending: not confirmed by {0}; it holds there once they are reachable, or send it again when they are off the VM list"
    )]
    Pending(String),
    /// Something that should hold does not.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidConfig(_) => EXIT_INVALID,
            Self::Unreachable { .. } => EXIT_UNREACHABLE,
            Self::Pending(_) => EXIT_PENDING,
            Self::Io { .. } | Self::Refused { .. } | Self::Failed(_) => EXIT_FAILED,
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
        Self::Io { context: "input or output failed".to_owned(), source }
    }
}

impl From<anyhow::Error> for CliError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(format!("{error:#}"))
    }
}

impl From<serde_json::Error> for CliError {
    fn from(error: serde_json::Error) -> Self {
        Self::Failed(format!("malformed JSON: {error}"))
    }
}

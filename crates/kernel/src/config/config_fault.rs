//! Errors in configuration files, as reported to operators.

use serde::Serialize;

/// An error in a configuration file: where it is, what is wrong and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{file}: {key}: {problem}; {remedy}")]
pub struct ConfigFault {
    /// Name of the file that holds the value: the base file or the overlay.
    pub file: String,
    /// Dotted key of the value, such as `services.desk.queue_depth`; `(file)` if the file is not valid TOML.
    pub key: String,
    /// Description of the error.
    pub problem: String,
    /// Instruction for correcting the value.
    pub remedy: String,
}

//! A fault in a configuration file.

use serde::Serialize;

/// Names the file, the key and what to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{file}: {key}: {problem}; {remedy}")]
pub struct ConfigFault {
    /// File that holds the value, base or overlay.
    pub file: String,
    /// Dotted key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: String,
}

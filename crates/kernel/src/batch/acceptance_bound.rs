//! Which configurations the owner of a batch job may rely on.

use crate::TimePoint;

/// Lower bound for the configuration on which the owner of a job bases its decisions: the one under which the job was
/// accepted, perhaps by another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptanceBound {
    /// Version of that configuration; `None` if an earlier release accepted the job, which did not store it.
    pub config_version: Option<u64>,
    /// When the owner learned of the job, which had been accepted before.
    pub learned_at: TimePoint,
}

impl AcceptanceBound {
    /// Whether the configuration with the version `applied_version` is no older than the one under which the job was accepted.
    /// It is at least as new as each one that was written before `current_as_of`. Once met, the bound stays met.
    #[must_use]
    pub fn is_met(&self, applied_version: u64, current_as_of: TimePoint) -> bool {
        match self.config_version {
            Some(version) => applied_version >= version,
            None => current_as_of >= self.learned_at,
        }
    }
}

//! Keys of the service's own entries in the platform's store.

/// Builds and parses keys. What every daemon follows stands under one prefix and is small; bulk data
/// stands under another and is read when it is needed.
#[derive(Clone, Copy, Debug)]
pub struct KeyLayout;

impl KeyLayout {
    /// Everything that daemons follow.
    pub const WATCHED_PREFIX: &'static str = "p/w/";
    /// The duty's holder.
    pub const DUTY_HOLDER_KEY: &'static str = "p/w/duty";
    /// Who held the duty; outlives their leases.
    pub const DUTY_HISTORY_KEY: &'static str = "p/duty-history";
    /// Standing upstreams that ran at first, by service and failure domain.
    pub const FLOOR_PREFIX: &'static str = "p/floor/";
    /// Sealed usage windows.
    pub const SEALED_USAGE_PREFIX: &'static str = "p/usage/sealed/";
    const JOB_PREFIX: &'static str = "p/w/job/";
    const OWNER_PREFIX: &'static str = "p/w/own/";
    const END_PREFIX: &'static str = "p/w/end/";
    const PRESENCE_PREFIX: &'static str = "p/w/vm/";

    /// A batch job's record.
    #[must_use]
    pub fn job_key(job: &str) -> String {
        format!("{}{job}", Self::JOB_PREFIX)
    }

    /// A batch job's owner.
    #[must_use]
    pub fn owner_key(job: &str) -> String {
        format!("{}{job}", Self::OWNER_PREFIX)
    }

    /// The mark that a batch job was ended by its submitter.
    #[must_use]
    pub fn end_key(job: &str) -> String {
        format!("{}{job}", Self::END_PREFIX)
    }

    /// A daemon's presence.
    #[must_use]
    pub fn presence_key(daemon: &str) -> String {
        format!("{}{daemon}", Self::PRESENCE_PREFIX)
    }

    /// Standing upstreams of `service` that ran at first.
    #[must_use]
    pub fn floor_key(service: &str) -> String {
        format!("{}{service}", Self::FLOOR_PREFIX)
    }

    /// All bulk data of a batch job.
    #[must_use]
    pub fn job_data_prefix(job: &str) -> String {
        format!("p/d/{job}/")
    }

    /// The parts of a batch job's submission.
    #[must_use]
    pub fn submission_prefix(job: &str) -> String {
        format!("p/d/{job}/part/")
    }

    /// One part of a batch job's submission.
    #[must_use]
    pub fn submission_part_key(job: &str, number: usize) -> String {
        format!("p/d/{job}/part/{number:04}")
    }

    /// A batch job's results.
    #[must_use]
    pub fn results_prefix(job: &str) -> String {
        format!("p/d/{job}/chunk/")
    }

    /// Results from position `first` on.
    #[must_use]
    pub fn results_key(job: &str, first: usize) -> String {
        format!("p/d/{job}/chunk/{first:08}")
    }

    /// A key that stands just before [`Self::results_key`] of `first` and after all chunks before it.
    #[must_use]
    pub fn key_before_results(job: &str, first: usize) -> Option<String> {
        Some(format!("p/d/{job}/chunk/{:08}~", first.checked_sub(1)?))
    }

    /// A batch job's texts in the middle.
    #[must_use]
    pub fn text_checkpoints_prefix(job: &str) -> String {
        format!("p/d/{job}/text/")
    }

    /// The checkpoint `number` of a batch job's texts.
    #[must_use]
    pub fn text_checkpoint_key(job: &str, number: usize) -> String {
        format!("p/d/{job}/text/{number:06}")
    }

    /// The counts of all daemons in a usage window.
    #[must_use]
    pub fn usage_counts_prefix(window: u64) -> String {
        format!("p/usage/count/{window:012}/")
    }

    /// Counts in a usage window, as written by one process; `number` tells its writes apart.
    #[must_use]
    pub fn usage_count_key(window: u64, daemon: &str, incarnation: u64, number: u64) -> String {
        format!("p/usage/count/{window:012}/{daemon}/{incarnation}/{number}")
    }

    /// A sealed usage window.
    #[must_use]
    pub fn sealed_usage_key(window: u64) -> String {
        format!("{}{window:012}", Self::SEALED_USAGE_PREFIX)
    }

    /// The window that is sealed at `key`.
    #[must_use]
    pub fn parse_sealed_usage_key(key: &str) -> Option<u64> {
        key.strip_prefix(Self::SEALED_USAGE_PREFIX)?.parse().ok()
    }

    /// The job whose record stands at `key`.
    #[must_use]
    pub fn parse_job_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::JOB_PREFIX)
    }

    /// The job whose owner stands at `key`.
    #[must_use]
    pub fn parse_owner_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::OWNER_PREFIX)
    }

    /// The job whose end stands at `key`.
    #[must_use]
    pub fn parse_end_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::END_PREFIX)
    }

    /// The daemon whose presence stands at `key`.
    #[must_use]
    pub fn parse_presence_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::PRESENCE_PREFIX)
    }
}

//! Keys of this service's own entries in the platform's store.

/// Builds and parses keys. Small entries that every daemon watches share one prefix; bulk data has another prefix and
/// is read on demand.
#[derive(Clone, Copy, Debug)]
pub struct KeyLayout;

impl KeyLayout {
    /// Prefix of the entries that every daemon watches.
    pub const WATCHED_PREFIX: &'static str = "p/w/";
    /// Key of the duty's holder.
    pub const DUTY_HOLDER_KEY: &'static str = "p/w/duty";
    /// Key of the duty's history; the entry outlives the holders' leases.
    pub const DUTY_HISTORY_KEY: &'static str = "p/duty-history";
    /// Prefix of the numbers of upstreams that are always kept, by service.
    pub const FLOOR_PREFIX: &'static str = "p/floor/";
    /// Prefix of the sealed usage windows.
    pub const SEALED_USAGE_PREFIX: &'static str = "p/usage/sealed/";
    /// Prefix of the counts of all usage windows.
    pub const USAGE_COUNTS_PREFIX: &'static str = "p/usage/count/";
    const JOB_PREFIX: &'static str = "p/w/job/";
    const OWNER_PREFIX: &'static str = "p/w/own/";
    const END_PREFIX: &'static str = "p/w/end/";
    const PRESENCE_PREFIX: &'static str = "p/w/vm/";
    /// Prefix of the streams that daemons started.
    pub const STREAMS_PREFIX: &'static str = "p/stream/";
    const SOFTWARE_PREFIX: &'static str = "p/w/software/";
    const CRASH_PREFIX: &'static str = "p/w/crash/";
    const TRIAL_PREFIX: &'static str = "p/w/trial/";

    /// Key of a batch job's entry.
    #[must_use]
    pub fn job_key(job: &str) -> String {
        format!("{}{job}", Self::JOB_PREFIX)
    }

    /// Key of the entry that names a batch job's owner.
    #[must_use]
    pub fn owner_key(job: &str) -> String {
        format!("{}{job}", Self::OWNER_PREFIX)
    }

    /// Key of the mark that the submitter has ended a batch job.
    #[must_use]
    pub fn end_key(job: &str) -> String {
        format!("{}{job}", Self::END_PREFIX)
    }

    /// Key of a daemon's presence.
    #[must_use]
    pub fn presence_key(daemon: &str) -> String {
        format!("{}{daemon}", Self::PRESENCE_PREFIX)
    }

    /// Key of the mark that `process` crashed while it ran the request with `fingerprint`.
    #[must_use]
    pub fn crash_key(fingerprint: u64, process: &str) -> String {
        format!("{}{fingerprint:016x}/{process}", Self::CRASH_PREFIX)
    }

    /// Key of the trial `number` of the request with `fingerprint`, which has crash marks.
    #[must_use]
    pub fn trial_key(fingerprint: u64, number: u32) -> String {
        format!("{}{fingerprint:016x}/{number}", Self::TRIAL_PREFIX)
    }

    /// Key of the versions of the software with which `service` has served.
    #[must_use]
    pub fn software_key(service: &str) -> String {
        format!("{}{service}", Self::SOFTWARE_PREFIX)
    }

    /// Key of streams that a process of `daemon` started; `number` distinguishes its entries.
    #[must_use]
    pub fn streams_key(daemon: &str, incarnation: u64, number: u64) -> String {
        format!("{}{daemon}/{incarnation}/{number}", Self::STREAMS_PREFIX)
    }

    /// Key of the number of upstreams of `service` that are always kept.
    #[must_use]
    pub fn floor_key(service: &str) -> String {
        format!("{}{service}", Self::FLOOR_PREFIX)
    }

    /// Prefix of all bulk data of a batch job.
    #[must_use]
    pub fn job_data_prefix(job: &str) -> String {
        format!("p/d/{job}/")
    }

    /// Prefix of the parts of a batch job's submission.
    #[must_use]
    pub fn submission_prefix(job: &str) -> String {
        format!("p/d/{job}/part/")
    }

    /// Key of one part of a batch job's submission.
    #[must_use]
    pub fn submission_part_key(job: &str, number: usize) -> String {
        format!("p/d/{job}/part/{number:04}")
    }

    /// Prefix of a batch job's results.
    #[must_use]
    pub fn results_prefix(job: &str) -> String {
        format!("p/d/{job}/chunk/")
    }

    /// Key of the results from position `first` on.
    #[must_use]
    pub fn results_key(job: &str, first: usize) -> String {
        format!("p/d/{job}/chunk/{first:08}")
    }

    /// Key that sorts after all results before position `first` and before [`Self::results_key`] of `first`. `None` if
    /// `first` is 0.
    #[must_use]
    pub fn key_before_results(job: &str, first: usize) -> Option<String> {
        Some(format!("p/d/{job}/chunk/{:08}~", first.checked_sub(1)?))
    }

    /// Prefix of the text checkpoints of a batch job.
    #[must_use]
    pub fn checkpoints_prefix(job: &str) -> String {
        format!("p/d/{job}/text/")
    }

    /// Key of the text checkpoint `number` of a batch job.
    #[must_use]
    pub fn checkpoint_key(job: &str, number: usize) -> String {
        format!("p/d/{job}/text/{number:06}")
    }

    /// Number of the usage window whose counts are stored at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_usage_count_window(key: &str) -> Option<u64> {
        key.strip_prefix(Self::USAGE_COUNTS_PREFIX)?.split('/').next()?.parse().ok()
    }

    /// Key of counts in a usage window that one process wrote; `number` distinguishes its writes.
    #[must_use]
    pub fn usage_count_key(window: u64, daemon: &str, incarnation: u64, number: u64) -> String {
        format!("{}{window:012}/{daemon}/{incarnation}/{number}", Self::USAGE_COUNTS_PREFIX)
    }

    /// Key of a sealed usage window.
    #[must_use]
    pub fn sealed_usage_key(window: u64) -> String {
        format!("{}{window:012}", Self::SEALED_USAGE_PREFIX)
    }

    /// Number of the usage window that is sealed at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_sealed_usage_key(key: &str) -> Option<u64> {
        key.strip_prefix(Self::SEALED_USAGE_PREFIX)?.parse().ok()
    }

    /// Job whose entry is stored at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_job_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::JOB_PREFIX)
    }

    /// Job whose owner is stored at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_owner_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::OWNER_PREFIX)
    }

    /// Job whose end is marked at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_end_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::END_PREFIX)
    }

    /// Daemon whose presence is stored at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_presence_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::PRESENCE_PREFIX)
    }

    /// Service whose versions of the software are stored at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_software_key(key: &str) -> Option<&str> {
        key.strip_prefix(Self::SOFTWARE_PREFIX)
    }

    /// Fingerprint of the request and name of the process whose crash is marked at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_crash_key(key: &str) -> Option<(u64, &str)> {
        let (fingerprint, process) = key.strip_prefix(Self::CRASH_PREFIX)?.split_once('/')?;
        Some((u64::from_str_radix(fingerprint, 16).ok()?, process))
    }

    /// Fingerprint of the request and number of its trial at `key`; `None` for other keys.
    #[must_use]
    pub fn parse_trial_key(key: &str) -> Option<(u64, u32)> {
        let (fingerprint, number) = key.strip_prefix(Self::TRIAL_PREFIX)?.split_once('/')?;
        Some((u64::from_str_radix(fingerprint, 16).ok()?, number.parse().ok()?))
    }
}

//! Keys of the service's own entries in the platform's store.

/// Builds and parses keys. What every daemon follows stands under one prefix and is small; bulk data
/// stands under another and is read when it is needed.
#[derive(Clone, Copy, Debug)]
pub struct KeyLayout;

impl KeyLayout {
    /// Everything that daemons follow.
    pub const FOLLOWED: &'static str = "p/w/";
    /// The duty's holder.
    pub const DUTY: &'static str = "p/w/duty";
    /// Who held the duty; outlives their leases.
    pub const DUTY_HISTORY: &'static str = "p/duty-history";
    /// Standing upstreams that ran at first, by service and failure domain.
    pub const FLOOR: &'static str = "p/floor/";
    /// Sealed usage windows.
    pub const SEALED: &'static str = "p/usage/sealed/";
    const JOB: &'static str = "p/w/job/";
    const OWNER: &'static str = "p/w/own/";
    const END: &'static str = "p/w/end/";
    const DAEMON: &'static str = "p/w/vm/";

    /// A batch job's record.
    #[must_use]
    pub fn job(job: &str) -> String {
        format!("{}{job}", Self::JOB)
    }

    /// A batch job's owner.
    #[must_use]
    pub fn owner(job: &str) -> String {
        format!("{}{job}", Self::OWNER)
    }

    /// The mark that a batch job was ended by its submitter.
    #[must_use]
    pub fn end(job: &str) -> String {
        format!("{}{job}", Self::END)
    }

    /// A daemon's presence.
    #[must_use]
    pub fn daemon(daemon: &str) -> String {
        format!("{}{daemon}", Self::DAEMON)
    }

    /// Standing upstreams of `service` that ran at first.
    #[must_use]
    pub fn floor(service: &str) -> String {
        format!("{}{service}", Self::FLOOR)
    }

    /// All bulk data of a batch job.
    #[must_use]
    pub fn bulk(job: &str) -> String {
        format!("p/d/{job}/")
    }

    /// The parts of a batch job's submission.
    #[must_use]
    pub fn parts(job: &str) -> String {
        format!("p/d/{job}/part/")
    }

    /// One part of a batch job's submission.
    #[must_use]
    pub fn part(job: &str, number: usize) -> String {
        format!("p/d/{job}/part/{number:04}")
    }

    /// A batch job's results.
    #[must_use]
    pub fn chunks(job: &str) -> String {
        format!("p/d/{job}/chunk/")
    }

    /// Results from position `first` on.
    #[must_use]
    pub fn chunk(job: &str, first: usize) -> String {
        format!("p/d/{job}/chunk/{first:08}")
    }

    /// A key that stands just before [`Self::chunk`] of `first` and after all chunks before it.
    #[must_use]
    pub fn before_chunk(job: &str, first: usize) -> Option<String> {
        Some(format!("p/d/{job}/chunk/{:08}~", first.checked_sub(1)?))
    }

    /// A batch job's texts in the middle.
    #[must_use]
    pub fn texts(job: &str) -> String {
        format!("p/d/{job}/text/")
    }

    /// The checkpoint `number` of a batch job's texts.
    #[must_use]
    pub fn text(job: &str, number: usize) -> String {
        format!("p/d/{job}/text/{number:06}")
    }

    /// The counts of all daemons in a usage window.
    #[must_use]
    pub fn counts(window: u64) -> String {
        format!("p/usage/count/{window:012}/")
    }

    /// Counts in a usage window, as written by one process; `number` tells its writes apart.
    #[must_use]
    pub fn count(window: u64, daemon: &str, incarnation: u64, number: u64) -> String {
        format!("p/usage/count/{window:012}/{daemon}/{incarnation}/{number}")
    }

    /// A sealed usage window.
    #[must_use]
    pub fn sealed(window: u64) -> String {
        format!("{}{window:012}", Self::SEALED)
    }

    /// The window that is sealed at `key`.
    #[must_use]
    pub fn sealed_window(key: &str) -> Option<u64> {
        key.strip_prefix(Self::SEALED)?.parse().ok()
    }

    /// The job whose record stands at `key`.
    #[must_use]
    pub fn parse_job(key: &str) -> Option<&str> {
        key.strip_prefix(Self::JOB)
    }

    /// The job whose owner stands at `key`.
    #[must_use]
    pub fn parse_owner(key: &str) -> Option<&str> {
        key.strip_prefix(Self::OWNER)
    }

    /// The job whose end stands at `key`.
    #[must_use]
    pub fn parse_end(key: &str) -> Option<&str> {
        key.strip_prefix(Self::END)
    }

    /// The daemon whose presence stands at `key`.
    #[must_use]
    pub fn parse_daemon(key: &str) -> Option<&str> {
        key.strip_prefix(Self::DAEMON)
    }
}

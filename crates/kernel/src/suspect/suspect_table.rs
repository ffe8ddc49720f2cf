//! Table of the requests that were running when upstreams crashed.

use super::{CrashMark, SuspectVerdict, completion_log::CompletionLog, trial_log::TrialLog};
use crate::{SharedName, TimePoint, fingerprint};
use std::collections::{BTreeMap, HashMap};

/// Number of crashes after which a request is quarantined. Requests that only run beside a crashing one seldom reach it,
/// because their marks are cleared as soon as they complete.
const CRASHES_MAX: usize = 3;
/// Time after which a crash no longer counts. The platform's store grants no longer leases.
const MARK_TTL_MS: u64 = 600_000;
/// Crashes of one upstream that are observed within this time are the same crash: no upstream restarts faster.
const SAME_CRASH_MS: u64 = 1_000;
/// Maximum number of requests with marks. More than an outage of a site leaves; beyond it those with the fewest crashes
/// are dropped.
const REQUESTS_MAX: usize = 512;

/// Time from the last known crash to a trial of the request, if at most one crash was found by a connection: an outage may have
/// ended the processes, and by now they are back.
const INFERRED_TRIAL_DELAY_MS: u64 = 2_000;
/// The same time if more crashes were found by connections, which hardly leaves another cause than one outage of all.
const FOUND_TRIAL_DELAY_MS: u64 = 30_000;

/// Crashes of upstreams, by the request that they ran.
///
/// The marks of a request form a set that only grows until they expire, and marks of all daemons are merged in any order
/// and any number of times. So a crash is neither lost nor counted twice when several daemons observe crashes at the
/// same time.
///
/// A request crashes each upstream that begins to run it, or none: a run that was completed after the request had been sent
/// to the process that crashed shows that another cause ended the process. It may be known before the crash is, as the list of
/// upstreams shows the next process only seconds later.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// Marks by the request's fingerprint and the process's name.
    requests: HashMap<u64, BTreeMap<SharedName, CrashMark>>,
    /// Requests that upstreams completed for this daemon.
    completions: CompletionLog,
    /// Trials of requests with marks.
    trials: TrialLog,
}

impl SuspectTable {
    /// Time after which a crash no longer counts, in milliseconds.
    pub const MARK_TTL_MS: u64 = MARK_TTL_MS;

    /// Whether no request has a mark.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records that `process` crashed while it ran a request that was sent to it at `sent_unix_ms`, if that is known;
    /// `is_inferred` says whether only the list of upstreams shows that. Returns the mark if the crash was not known and counts
    /// against the request.
    pub fn process_crashed(
        &mut self,
        fingerprint: u64,
        process: SharedName,
        sent_unix_ms: Option<u64>,
        is_inferred: bool,
        now: TimePoint,
    ) -> Option<CrashMark> {
        if self.is_disproved(fingerprint, sent_unix_ms) {
            return None;
        }
        let expires_at = now.plus_ms(MARK_TTL_MS);
        let mark = CrashMark { fingerprint, process, sent_unix_ms, is_inferred, is_cleared: false, expires_at };
        self.merge(mark.clone(), now).then_some(mark)
    }

    /// Whether a crash of a process to which the request was sent at `sent_unix_ms` does not count against it: this daemon
    /// remembers a run that was completed later.
    #[must_use]
    pub fn is_disproved(&self, fingerprint: u64, sent_unix_ms: Option<u64>) -> bool {
        sent_unix_ms.is_some_and(|unix_ms| self.completions.has_since(fingerprint, unix_ms))
    }

    /// Records that an upstream whose processes have no names of their own crashed while it ran a request. Returns the
    /// mark if the crash was not known. Crashes of one upstream are numbered, so that daemons that observe the same one
    /// create the same mark.
    pub fn upstream_crashed(
        &mut self,
        fingerprint: u64,
        upstream: &str,
        sent_unix_ms: Option<u64>,
        now: TimePoint,
    ) -> Option<CrashMark> {
        let marks = self.requests.get(&fingerprint).into_iter().flat_map(BTreeMap::values);
        let crashes = marks.filter(|mark| mark.process.rsplit_once('#').is_some_and(|(name, _)| name == upstream));
        let (mut count, mut latest_expiry) = (0, TimePoint(0));
        for mark in crashes {
            count += 1;
            latest_expiry = latest_expiry.max(mark.expires_at);
        }
        if count > 0 && now.plus_ms(MARK_TTL_MS).since_ms(latest_expiry) < SAME_CRASH_MS {
            return None;
        }
        self.process_crashed(fingerprint, format!("{upstream}#{}", count + 1).into(), sent_unix_ms, false, now)
    }

    /// Adds a mark of another daemon; one that is disproved here is kept as cleared. Returns whether it was new, or newly
    /// cleared.
    pub fn merge(&mut self, mut mark: CrashMark, now: TimePoint) -> bool {
        if mark.expires_at <= now {
            return false;
        }
        mark.is_cleared |= self.is_disproved(mark.fingerprint, mark.sent_unix_ms);
        if !self.requests.contains_key(&mark.fingerprint) {
            self.make_room(now);
        }
        let marks = self.requests.entry(mark.fingerprint).or_default();
        match marks.get_mut(&mark.process) {
            Some(own) if own.is_cleared || !mark.is_cleared => false,
            Some(own) => {
                own.is_cleared = true;
                true
            }
            None => {
                marks.insert(mark.process.clone(), mark);
                true
            }
        }
    }

    /// Records that a run of a request ended with a complete response, at `ended_unix_ms`, and clears its marks. Returns the
    /// cleared ones.
    pub fn request_completed(&mut self, fingerprint: u64, ended_unix_ms: u64, now: TimePoint) -> Vec<CrashMark> {
        self.completions.add(fingerprint, ended_unix_ms, now);
        let marks = self.requests.get_mut(&fingerprint).into_iter().flat_map(BTreeMap::values_mut);
        let counted = marks.filter(|mark| !mark.is_cleared);
        counted
            .map(|mark| {
                mark.is_cleared = true;
                mark.clone()
            })
            .collect()
    }

    /// Removes a mark that another daemon has removed.
    pub fn remove(&mut self, fingerprint: u64, process: &str) {
        let Some(marks) = self.requests.get_mut(&fingerprint) else { return };
        marks.remove(process);
        if marks.is_empty() {
            self.requests.remove(&fingerprint);
            self.trials.retain(|request| request != fingerprint);
        }
    }

    /// Number of the trial that a request which is kept from running may get now; `None` if there may be none. Nothing that does
    /// not run can be completed, so that a harmless request would be refused until its marks expire, if all its upstreams
    /// crashed at once for another cause. Whoever wants to run the trial must be the first to record it for all daemons.
    #[must_use]
    pub fn next_trial(&self, fingerprint: u64, now: TimePoint) -> Option<u32> {
        let marks = self.requests.get(&fingerprint)?.values().filter(|mark| mark.counts(now));
        let (mut count, mut found_count, mut latest_expiry) = (0, 0, TimePoint(0));
        for mark in marks {
            count += 1;
            found_count += usize::from(!mark.is_inferred);
            latest_expiry = latest_expiry.max(mark.expires_at);
        }
        let delay_ms = if found_count > 1 { FOUND_TRIAL_DELAY_MS } else { INFERRED_TRIAL_DELAY_MS };
        let is_settled = now.plus_ms(MARK_TTL_MS).since_ms(latest_expiry) >= delay_ms;
        if is_settled { self.trials.next_number(fingerprint, count, now) } else { None }
    }

    /// Records a trial of a request that has marks.
    pub fn trial_known(&mut self, fingerprint: u64, number: u32, now: TimePoint) {
        if self.requests.contains_key(&fingerprint) {
            self.trials.add(fingerprint, number, self.crash_count(fingerprint, now), now);
        }
    }

    /// Forgets a trial that does not count.
    pub fn trial_removed(&mut self, fingerprint: u64, number: u32) {
        self.trials.remove(fingerprint, number);
    }

    /// Number of crashes that count against a request.
    #[must_use]
    pub fn crash_count(&self, fingerprint: u64, now: TimePoint) -> usize {
        let marks = self.requests.get(&fingerprint).into_iter().flat_map(BTreeMap::values);
        marks.filter(|mark| mark.counts(now)).count()
    }

    /// How a request must be treated.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64, now: TimePoint) -> SuspectVerdict {
        let Some(marks) = self.requests.get(&fingerprint) else { return SuspectVerdict::Unsuspected };
        let mut expiries: Vec<TimePoint> =
            marks.values().filter(|mark| mark.counts(now)).map(|mark| mark.expires_at).collect();
        expiries.sort_unstable();
        match expiries.len().checked_sub(CRASHES_MAX) {
            Some(index) => SuspectVerdict::Quarantined { until: expiries[index] },
            None if expiries.len() + 1 == CRASHES_MAX => SuspectVerdict::Isolated,
            None => SuspectVerdict::Unsuspected,
        }
    }

    /// All unexpired marks, to be sent to other daemons. Removes the expired ones.
    pub fn active_marks(&mut self, now: TimePoint) -> Vec<CrashMark> {
        self.remove_expired(now);
        self.requests.values().flat_map(BTreeMap::values).cloned().collect()
    }

    /// Digest of the unexpired marks; equal for daemons that know the same ones.
    #[must_use]
    pub fn digest(&self, now: TimePoint) -> u64 {
        let marks = self.requests.values().flat_map(BTreeMap::values).filter(|mark| now < mark.expires_at);
        marks.fold(0, |digest, mark| {
            let parts = [&mark.fingerprint.to_be_bytes(), mark.process.as_bytes(), &[u8::from(mark.is_cleared)]];
            digest ^ fingerprint(&parts)
        })
    }

    fn remove_expired(&mut self, now: TimePoint) {
        self.requests.retain(|_, marks| {
            marks.retain(|_, mark| now < mark.expires_at);
            !marks.is_empty()
        });
        let requests = &self.requests;
        self.trials.retain(|request| requests.contains_key(&request));
    }

    /// Makes room for the marks of one more request.
    fn make_room(&mut self, now: TimePoint) {
        if self.requests.len() < REQUESTS_MAX {
            return;
        }
        self.remove_expired(now);
        while self.requests.len() >= REQUESTS_MAX {
            let weight = |marks: &BTreeMap<SharedName, CrashMark>| {
                let counted = marks.values().filter(|mark| mark.counts(now));
                (counted.count(), marks.values().map(|mark| mark.expires_at).max())
            };
            let lightest = self.requests.iter().min_by_key(|(_, marks)| weight(marks)).map(|(request, _)| *request);
            let Some(lightest) = lightest else { return };
            self.requests.remove(&lightest);
            self.trials.retain(|request| request != lightest);
        }
    }
}

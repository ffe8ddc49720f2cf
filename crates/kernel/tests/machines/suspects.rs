//! Tests of quarantine: daemons that exchange their marks agree on which requests crash upstreams.

use crate::sequence;
use pimentoslip_kernel::{
    CrashMark, LossTable, RequestLoss, SamplerRecord, SamplerState, SuspectTable, SuspectVerdict, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: usize = 3;
const REQUESTS: u64 = 3;
const PROCESSES: u8 = 5;
/// Crashes at which a request must no longer run.
const CRASHES_MAX: usize = 3;

/// Input to the simulation of daemons that observe crashes.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon observes that a process crashed while it ran a request, which was sent `age_ms` before. Several daemons may
    /// observe the same crash.
    Crash { daemon: usize, request: u64, process: u8, age_ms: u64 },
    /// A request completes at a daemon.
    Complete { daemon: usize, request: u64 },
    /// A daemon sends all its marks to another one.
    Send { from: usize, to: usize },
    /// Time passes.
    Wait { ms: u64 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let daemon = usize::arbitrary(rng) % DAEMONS;
        let request = u64::arbitrary(rng) % REQUESTS;
        match u8::arbitrary(rng) % 8 {
            0..=2 => {
                let age_ms = u64::from(u8::arbitrary(rng)) * 40;
                Self::Crash { daemon, request, process: u8::arbitrary(rng) % PROCESSES, age_ms }
            }
            3 => Self::Complete { daemon, request },
            4..=6 => Self::Send { from: daemon, to: usize::arbitrary(rng) % DAEMONS },
            _ => Self::Wait { ms: u64::from(u16::arbitrary(rng)) * 8 },
        }
    }
}

/// Time of the Unix epoch at the origin of the clocks, in milliseconds.
const ORIGIN_UNIX_MS: u64 = 1_700_000_000_000;

fn unix_ms(now: TimePoint) -> u64 {
    ORIGIN_UNIX_MS + now.0
}

/// What a daemon knows of a crash: when it is forgotten, when the request was sent, and whether a run of it was completed
/// since.
#[derive(Clone, Copy)]
struct KnownCrash {
    expires_at: TimePoint,
    sent_unix_ms: u64,
    is_cleared: bool,
}

/// Crashes that a daemon knows, by request and process.
type KnownCrashes = BTreeMap<(u64, u8), KnownCrash>;

/// Time for which a completion must be remembered, in milliseconds.
const REMEMBERED_MS: u64 = 30_000;

/// Whether `table` holds that a crash of a process to which the request was sent at `sent_unix_ms` is disproved. Fails unless the
/// latest completion at `ended_unix_ms`, which may be forgotten after some time, explains that.
fn is_disproved(
    table: &SuspectTable,
    request: u64,
    sent_unix_ms: u64,
    ended_unix_ms: Option<u64>,
    now: TimePoint,
) -> Result<bool, String> {
    let later = ended_unix_ms.filter(|ended| *ended >= sent_unix_ms);
    let must_be = later.is_some_and(|ended| ended + REMEMBERED_MS >= unix_ms(now));
    let is_disproved = table.is_disproved(request, Some(sent_unix_ms));
    if is_disproved != must_be && (must_be || later.is_none()) {
        return Err(format!("request {request}, sent {sent_unix_ms}, ended {ended_unix_ms:?}: {is_disproved}"));
    }
    Ok(is_disproved)
}

fn known_count(known: &KnownCrashes, request: u64, now: TimePoint) -> usize {
    let crashes = known.iter().filter(|((of, _), crash)| *of == request && !crash.is_cleared && now < crash.expires_at);
    crashes.count()
}

fn check_agreement(commands: Vec<Command>) -> Result<(), String> {
    let mut now = TimePoint(0);
    let mut tables = vec![SuspectTable::default(); DAEMONS];
    let mut known = vec![KnownCrashes::new(); DAEMONS];
    let mut completed: Vec<BTreeMap<u64, u64>> = vec![BTreeMap::new(); DAEMONS];
    for (index, command) in commands.into_iter().enumerate() {
        match command {
            Command::Crash { daemon, request, process, age_ms } => {
                let sent_unix_ms = unix_ms(now) - age_ms;
                tables[daemon].process_crashed(request, format!("p{process}").into(), Some(sent_unix_ms), false, now);
                let expires_at = now.plus_ms(SuspectTable::MARK_TTL_MS);
                known[daemon].retain(|_, crash| now < crash.expires_at);
                let ended_unix_ms = completed[daemon].get(&request).copied();
                if !is_disproved(&tables[daemon], request, sent_unix_ms, ended_unix_ms, now)? {
                    let crash = KnownCrash { expires_at, sent_unix_ms, is_cleared: false };
                    known[daemon].entry((request, process)).or_insert(crash);
                }
            }
            Command::Complete { daemon, request } => {
                tables[daemon].request_completed(request, unix_ms(now), now);
                completed[daemon].insert(request, unix_ms(now));
                let crashes = known[daemon].iter_mut().filter(|((of, _), _)| *of == request);
                crashes.for_each(|(_, crash)| crash.is_cleared = true);
            }
            Command::Send { from, to } => {
                for mark in tables[from].active_marks(now) {
                    tables[to].merge(mark, now);
                }
                let sent: Vec<_> = known[from].iter().map(|(key, crash)| (*key, *crash)).collect();
                known[to].retain(|_, crash| now < crash.expires_at);
                for (key, crash) in sent.into_iter().filter(|(_, crash)| now < crash.expires_at) {
                    let ended_unix_ms = completed[to].get(&key.0).copied();
                    let is_cleared =
                        crash.is_cleared || is_disproved(&tables[to], key.0, crash.sent_unix_ms, ended_unix_ms, now)?;
                    known[to].entry(key).or_insert(crash).is_cleared |= is_cleared;
                }
            }
            Command::Wait { ms } => now = now.plus_ms(ms),
        }
        // Expired marks are forgotten; the same crash may be recorded again.
        tables.iter_mut().for_each(|table| drop(table.active_marks(now)));
        for daemon in 0..DAEMONS {
            for request in 0..REQUESTS {
                let expected = known_count(&known[daemon], request, now);
                let verdict = tables[daemon].verdict(request, now);
                let quarantined = matches!(verdict, SuspectVerdict::Quarantined { until } if now < until);
                let isolated = verdict == SuspectVerdict::Isolated;
                if quarantined != (expected >= CRASHES_MAX) || isolated != (expected + 1 == CRASHES_MAX) {
                    return Err(format!("step {index}: daemon {daemon}, request {request}: {verdict:?}, {expected}"));
                }
            }
        }
    }
    Ok(())
}

/// Guards against crashes that are lost or counted twice when several daemons observe them.
#[test]
fn daemons_count_each_crash_once_in_whatever_order_they_learn_of_it() {
    sequence::check(0x5b5c, 80, check_agreement);
}

/// Guards against a mark that a peer restores after the request has completed.
#[test]
fn a_completed_request_is_cleared_at_every_daemon_that_learns_of_it() {
    let now = TimePoint(0);
    let (mut own, mut peer) = (SuspectTable::default(), SuspectTable::default());
    for process in ["a", "b", "c"] {
        own.process_crashed(1, process.into(), Some(unix_ms(now)), false, now);
    }
    let send = |from: &mut SuspectTable, to: &mut SuspectTable| {
        for mark in from.active_marks(now) {
            to.merge(mark, now);
        }
    };
    send(&mut own, &mut peer);
    assert!(matches!(peer.verdict(1, now), SuspectVerdict::Quarantined { .. }));
    assert_eq!(own.digest(now), peer.digest(now));
    assert_eq!(own.request_completed(1, unix_ms(now), now).len(), 3);
    assert_ne!(own.digest(now), peer.digest(now));
    send(&mut peer, &mut own);
    assert_eq!(own.verdict(1, now), SuspectVerdict::Unsuspected);
    send(&mut own, &mut peer);
    assert_eq!(peer.verdict(1, now), SuspectVerdict::Unsuspected);
}

/// Guards against bystanders that are isolated or quarantined because many requests ran when an upstream crashed.
#[test]
fn bystanders_of_a_crash_stay_unsuspected_and_quarantine_ends() {
    let now = TimePoint(0);
    let mut suspects = SuspectTable::default();
    for request in 1..=5 {
        suspects.upstream_crashed(request, "engine", Some(unix_ms(now)), now);
        assert_eq!(suspects.verdict(request, now), SuspectVerdict::Unsuspected);
    }
    let restarted_at = now.plus_ms(2_000);
    suspects.request_completed(2, unix_ms(now), now);
    for at in [restarted_at, restarted_at.plus_ms(1_500), restarted_at.plus_ms(3_000)] {
        let sent_unix_ms = Some(unix_ms(at));
        suspects.upstream_crashed(1, "engine", sent_unix_ms, at);
        assert!(
            suspects.upstream_crashed(1, "engine", sent_unix_ms, at.plus_ms(5)).is_none(),
            "one crash, observed twice"
        );
    }
    let ends_at = now.plus_ms(SuspectTable::MARK_TTL_MS);
    assert_eq!(suspects.crash_count(1, restarted_at.plus_ms(3_000)), 4);
    let verdict = suspects.verdict(1, restarted_at.plus_ms(3_000));
    assert_eq!(verdict, SuspectVerdict::Quarantined { until: ends_at.plus_ms(2_000) });
    assert_eq!(suspects.verdict(1, ends_at.plus_ms(2_000)), SuspectVerdict::Isolated);
    assert_eq!(suspects.verdict(1, ends_at.plus_ms(3_600_000)), SuspectVerdict::Unsuspected);
}

/// Guards against marks that grow without limit in an outage, and against a quarantined request that they displace.
#[test]
fn marks_of_many_requests_are_limited_and_displace_no_quarantined_request() {
    let now = TimePoint(0);
    let mut suspects = SuspectTable::default();
    for process in ["a", "b", "c"] {
        suspects.process_crashed(0, process.into(), Some(unix_ms(now)), false, now);
    }
    for request in 1..10_000 {
        let expires_at = TimePoint(9);
        suspects.merge(
            CrashMark {
                fingerprint: request,
                process: "d".into(),
                sent_unix_ms: None,
                is_inferred: false,
                is_cleared: false,
                expires_at,
            },
            now,
        );
    }
    assert!(suspects.active_marks(now).len() <= 2_000);
    assert!(matches!(suspects.verdict(0, now), SuspectVerdict::Quarantined { .. }));
}

/// Guards against a harmless request that is quarantined because crashes become known after it has been completed, and against
/// one that is cleared by a run before it began to crash upstreams.
#[test]
fn only_a_run_that_ended_after_the_request_was_sent_to_the_crashed_process_disproves_the_crash() {
    let now = TimePoint(60_000);
    let completed_unix_ms = unix_ms(now);
    for (sent_unix_ms, counts) in [
        (Some(completed_unix_ms - 5_000), false),
        (Some(completed_unix_ms), false),
        (Some(completed_unix_ms + 1), true),
        (None, true),
    ] {
        let (mut own, mut peer) = (SuspectTable::default(), SuspectTable::default());
        own.request_completed(1, completed_unix_ms, now);
        let listed_at = now.plus_ms(14_000);
        for process in ["a", "b", "c"] {
            // The list shows the next process late: to this daemon, and to one at which the request was not completed.
            assert_eq!(own.process_crashed(1, process.into(), sent_unix_ms, false, listed_at).is_some(), counts);
            let mark = peer.process_crashed(1, process.into(), sent_unix_ms, false, listed_at).expect("a mark");
            own.merge(mark, listed_at);
        }
        let is_quarantined = matches!(own.verdict(1, listed_at), SuspectVerdict::Quarantined { .. });
        assert_eq!(is_quarantined, counts, "sent at {sent_unix_ms:?}");
        // A mark that the peer keeps is cleared there as well.
        for mark in own.active_marks(listed_at) {
            peer.merge(mark, listed_at);
        }
        assert_eq!(peer.verdict(1, listed_at), own.verdict(1, listed_at));
    }
}

/// Guards against completions that are remembered without limit, or displaced before a loss can turn into a mark.
#[test]
fn completions_are_remembered_while_losses_are_open_but_not_without_limit() {
    let is_remembered = |others: u64, wait_ms: u64| {
        let (mut suspects, mut now) = (SuspectTable::default(), TimePoint(60_000));
        suspects.request_completed(0, unix_ms(now), now);
        for other in 1..=others {
            now = now.plus_ms(wait_ms);
            suspects.request_completed(other, unix_ms(now), now);
        }
        suspects.is_disproved(0, Some(unix_ms(TimePoint(60_000))))
    };
    assert!(is_remembered(1_500, 10), "for 15 s at 100 requests a second");
    assert!(is_remembered(30, 1_000), "for 30 s");
    assert!(!is_remembered(3, 40_000), "for minutes");
    assert!(!is_remembered(10_000, 0), "of any number of requests");
}

fn upstream(id: &str, address: &str, started_unix_ms: u64) -> SamplerRecord {
    SamplerRecord {
        id: id.into(),
        service: "desk".into(),
        address: address.into(),
        failure_domain: "north".into(),
        slots: 8,
        state: SamplerState::Ready,
        software: "v1".into(),
        versions: BTreeMap::new(),
        started_unix_ms,
        reclaimable: false,
    }
}

/// Guards against crashes that are counted against a request which ran before, or long after, an upstream was replaced.
#[test]
fn a_process_that_was_replaced_has_crashed_only_under_the_requests_that_it_ran() {
    // Process that is listed next, when one was found listening after the loss, and whether that shows a crash. The
    // request was sent at 60 s.
    let cases = [
        (upstream("i-2", "a:1", 60_500), None, true),
        (upstream("i-1", "b:1", 60_500), None, true),
        (upstream("i-2", "a:1", 74_000), None, true),
        (upstream("i-2", "a:1", 60_500), Some(60_600), true),
        (upstream("i-2", "a:1", 70_000), Some(60_600), false),
        (upstream("i-2", "a:1", 50_000), None, false),
        (upstream("i-2", "b:1", 60_500), None, false),
        (upstream("i-1", "a:1", 10_000), None, false),
    ];
    for (next, running_unix_ms, is_crash) in cases {
        let mut losses = LossTable::default();
        let loss = RequestLoss {
            request_id: "q".into(),
            fingerprint: 7,
            upstream: upstream("i-1", "a:1", 10_000),
            sent_unix_ms: 60_000,
            running_unix_ms: None,
        };
        let number = losses.add(loss, TimePoint(0));
        if let Some(unix_ms) = running_unix_ms {
            losses.process_running(number, unix_ms);
        }
        let crashed = losses.upstream_listed(&next, TimePoint(14_000));
        assert_eq!(crashed.len(), usize::from(is_crash), "{next:?} {running_unix_ms:?}");
        assert_eq!(losses.take(number).is_none(), is_crash);
    }
}

//! When the steps of trainers are complete that share upstreams of different speed, and what a later step continues.

use crate::fleet_machines::record;
use pimentoslip_kernel::{
    BatchLedger, BatchOptions, CapacityNeed, CarriedText, CarriedTexts, EventOutcome, ItemIdentity, ItemSpec, PermitNeed,
    RunMonitor, RunOutcome, SampleText, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerTable, SharedName, TimePoint,
};

const FAST_MS: u64 = 50;
const SLOW_MS: u64 = 65;
/// Number of upstreams of each trainer's model; every third one is slow.
const UPSTREAMS: usize = 9;
/// Events of the longest text of each trainer. The steps of the last one have the longest texts.
const LONGEST: [u64; 3] = [85, 120, 145];

fn query(affinity: &str) -> SamplerQuery<'_> {
    SamplerQuery {
        service: "s",
        model: Some(("m", 2)),
        software: None,
        failure_domain: "a",
        excluded: &[],
        capacity: CapacityNeed::TextSlot,
        affinity,
        permits: PermitNeed::NONE,
    }
}

fn interval_ms(upstream: &SamplerRecord) -> u64 {
    if *upstream.failure_domain == *"slow" { SLOW_MS } else { FAST_MS }
}

/// The table of a trainer's owner, which has measured the speed of the upstreams at 0, as far as `is_measured`.
fn measured_table(is_measured: impl Fn(&SamplerRecord) -> bool) -> SamplerTable {
    let mut table = SamplerTable::default();
    for index in 0..UPSTREAMS {
        let upstream = record(&format!("u{index}"), if index % 3 == 2 { "slow" } else { "a" }, 2);
        let upstream = SamplerRecord { slots: 8, ..upstream };
        table.upsert(upstream.clone());
        if is_measured(&upstream) {
            table.adopt(&upstream.id, upstream.started_unix_ms, TimePoint(0)).expect("it is listed");
            table.request_ended(&upstream, SamplerOutcome::Answered(Some(interval_ms(&upstream))), TimePoint(0));
        }
    }
    table
}

/// Lengths of the texts of a step, the longest first: one in twelve is several times as long as the others.
fn lengths(longest: u64) -> Vec<u64> {
    (0..72).map(|index| if index < 6 { longest - index } else { 20 - index / 6 }).collect()
}

/// When the last text of a step is complete whose items are dispatched at `now`, in milliseconds from then on.
fn step_finish_ms(table: &mut SamplerTable, longest: u64, now: TimePoint) -> u64 {
    let finish = lengths(longest).into_iter().map(|length| {
        let upstream = table.pick(&query("g"), now).expect("there are as many slots as items");
        length * interval_ms(&upstream)
    });
    finish.max().unwrap_or(0)
}

/// Guards against steps that wait for long texts at slow upstreams while fast ones generate short texts. Three trainers compete;
/// the worst-served one is complete as soon as its longest text can be.
#[test]
fn no_step_waits_for_a_long_text_at_a_slow_upstream() {
    for longest in LONGEST {
        let mut table = measured_table(|_| true);
        assert_eq!(step_finish_ms(&mut table, longest, TimePoint(1)), longest * FAST_MS, "longest text: {longest}");
    }
}

/// Guards against long texts at upstreams of unknown speed, and against upstreams that stay unknown as they get no texts.
#[test]
fn an_upstream_of_unknown_speed_gets_texts_but_not_the_longest() {
    let mut table = measured_table(|upstream| *upstream.id != *"u4" && *upstream.id != *"u5");
    let picked: Vec<SharedName> =
        (0..72).filter_map(|_| table.pick(&query("g"), TimePoint(1))).map(|upstream| upstream.id).collect();
    let first = picked.iter().position(|id| **id == *"u4" || **id == *"u5").expect("they have slots");
    assert!(first >= 6, "the longest texts run at upstreams that are known to be fast");
    assert!(first < 56, "the slow upstreams are not preferred");
}

/// Guards against an upstream that is taken for slow for ever although it has recovered, and against one that fails.
#[test]
fn a_speed_that_was_measured_long_ago_decides_nothing() {
    let mut table = measured_table(|_| true);
    let pick_all = |table: &mut SamplerTable, now: TimePoint| -> Vec<SharedName> {
        let picked: Vec<SamplerRecord> = (0..72).filter_map(|_| table.pick(&query("g"), now)).collect();
        picked.iter().for_each(|upstream| table.request_ended(upstream, SamplerOutcome::Abandoned, now));
        picked.into_iter().map(|upstream| upstream.failure_domain).collect()
    };
    let is_slow = |domain: &SharedName| **domain == *"slow";
    assert_eq!(pick_all(&mut table, TimePoint(1)).iter().position(is_slow), Some(48), "after all the fast ones");
    assert!(pick_all(&mut table, TimePoint(60_000)).iter().position(is_slow) < Some(24), "before the others are half full");
    for index in [0, 1, 3, 4, 6, 7] {
        let upstream = table.get(&format!("u{index}")).cloned().expect("it is listed");
        table.process_ended(&upstream, TimePoint(60_000));
    }
    assert_eq!(pick_all(&mut table, TimePoint(60_001)).len(), 24, "the slow ones serve when the fast ones fail");
}

/// Guards against a text that is longer than expected and stays at a slow upstream, and against moves that gain nothing.
#[test]
fn a_run_is_moved_as_soon_as_its_text_would_be_complete_much_sooner_elsewhere() {
    // Interval here and elsewhere, and the number of events from which on the run is moved.
    for (here_ms, other_ms, moved_from) in [(65, 50, Some(27)), (52, 50, None), (50, 65, None), (130, 65, Some(7))] {
        let mut monitor = RunMonitor::new(TimePoint(0));
        let moved = (1..=145).find(|count| {
            monitor.events_received(1, TimePoint(count * here_ms));
            monitor.is_worth_moving(other_ms, *count)
        });
        assert_eq!(moved, moved_from, "{here_ms} ms here, {other_ms} ms elsewhere");
    }
}

fn options(oldest_version: u64, single_version: bool) -> BatchOptions {
    BatchOptions {
        attempts_max: 3,
        oldest_version,
        single_version,
        retention_ends_at: TimePoint(u64::MAX),
        groups_awaited: 1,
    }
}

fn identity(fingerprint: u64) -> ItemIdentity {
    ItemIdentity { organisation: "o".into(), id: "i".into(), fingerprint }
}

/// Ledger of a job with one item.
fn ledger(options: BatchOptions) -> BatchLedger {
    BatchLedger::new(options, vec![ItemSpec { group: "g".into(), expected_tokens: 1, needs_score: true }], &[])
}

/// Runs the item of a job until `events` events have arrived, and ends the job. Returns what it leaves.
fn left_text(events: u64, version: u64, is_complete: bool) -> CarriedText {
    let mut ledger = ledger(options(1, false));
    ledger.start_next_run(TimePoint(0)).expect("the item waits");
    for number in 1..=events {
        assert_eq!(ledger.event_received(0, number, version, &"v1".into(), "e"), EventOutcome::Accepted);
    }
    if is_complete {
        ledger.run_ended(0, RunOutcome::Completed, TimePoint(0));
    }
    ledger.end();
    assert!(ledger.incomplete_groups().contains("g"));
    ledger.unlisted_texts().pop().expect("the item has no result").1
}

/// Guards against a later step that generates again what an earlier one has, and against one that continues a text which it
/// does not accept.
#[test]
fn a_later_step_continues_a_text_of_accepted_versions_and_the_same_item() {
    let cases = [
        ("accepted", left_text(5, 3, false), 7, options(3, false), Some(5)),
        ("complete", left_text(5, 3, true), 7, options(3, false), None),
        ("too old", left_text(5, 2, false), 7, options(3, false), Some(0)),
        ("too old, complete", left_text(5, 2, true), 7, options(3, false), Some(0)),
        ("of another request", left_text(5, 3, false), 8, options(3, false), Some(0)),
        ("of a single version", left_text(5, 3, false), 7, options(3, true), Some(5)),
        ("empty", left_text(0, 3, false), 7, options(3, false), Some(0)),
    ];
    for (case, carried, fingerprint, options, resumed_after) in cases {
        let mut texts = CarriedTexts::new(10_000);
        texts.keep(identity(fingerprint), carried, TimePoint(0));
        let mut ledger = ledger(options);
        let taken = texts.take(&identity(7), options.oldest_version, options.single_version, TimePoint(5_000));
        let is_continued = taken.is_some_and(|carried| ledger.continue_from(0, carried));
        assert_eq!(is_continued, resumed_after != Some(0), "{case}");
        let assignment = ledger.start_next_run(TimePoint(5_000));
        assert_eq!(assignment.map(|assignment| assignment.resume_after.unwrap_or(0)), resumed_after, "{case}");
        assert_eq!(ledger.start_next_scoring(TimePoint(5_000)).is_some(), resumed_after.is_none(), "{case}");
    }
}

/// Guards against memory that grows with the texts of jobs which are never continued.
#[test]
fn texts_that_no_step_continues_are_forgotten() {
    let mut texts = CarriedTexts::new(10_000);
    let item = |number: u64| ItemIdentity { id: format!("i{number}").into(), ..identity(1) };
    for number in 0..100 {
        let text = SampleText::complete("e".repeat(700), vec![3]);
        texts.keep(item(number), CarriedText { text, is_complete: true }, TimePoint(number));
        assert!(texts.byte_count() <= 10_000);
    }
    assert!(texts.take(&item(99), 3, false, TimePoint(100)).is_some(), "the last ones are kept");
    assert!(texts.take(&item(0), 3, false, TimePoint(100)).is_none());
    assert!(texts.take(&item(98), 3, false, TimePoint(100_000)).is_none());
    assert_eq!(texts.byte_count(), 0);
}

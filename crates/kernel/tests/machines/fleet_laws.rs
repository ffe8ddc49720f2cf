//! Small laws of placing, pacing, ways to the store, usage windows and clocks, in tables.

use pimentoslip_kernel::{
    CapacityNeed, PathSelector, RunMonitor, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerState, SamplerTable,
    ServicePath, SharedName, TimePoint, UsageTally, WallClockOffset,
};
use std::collections::BTreeMap;

fn record(id: &str, domain: &str, version: u64) -> SamplerRecord {
    SamplerRecord {
        id: id.into(),
        service: "s".into(),
        address: format!("{id}:1").into(),
        failure_domain: domain.into(),
        slots: 2,
        state: SamplerState::Ready,
        versions: BTreeMap::from([("m".into(), version)]),
        started_unix_ms: 1,
        reclaimable: false,
    }
}

fn query<'a>(excluded: &'a [SharedName]) -> SamplerQuery<'a> {
    SamplerQuery {
        service: "s",
        model: Some(("m", 2)),
        failure_domain: "a",
        excluded,
        capacity: CapacityNeed::FreeSlot,
        affinity: "",
    }
}

fn table(records: &[SamplerRecord]) -> SamplerTable {
    let mut table = SamplerTable::default();
    records.iter().cloned().for_each(|record| table.upsert(record));
    table
}

fn pick(table: &mut SamplerTable, ms: u64) -> Option<String> {
    table.pick(&query(&[]), TimePoint(ms)).map(|record| record.id.to_string())
}

#[test]
fn upstreams_that_may_not_serve_are_never_picked() {
    let leaving = SamplerRecord { state: SamplerState::Leaving, ..record("leaving", "a", 5) };
    let other = SamplerRecord { service: "t".into(), ..record("other", "a", 5) };
    let mut table = table(&[record("old", "a", 1), leaving, other, record("good", "b", 2)]);
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
    assert_eq!(pick(&mut table, 0), None, "its two slots are taken");
    table.request_ended("good", SamplerOutcome::Answered(None), TimePoint(0));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
}

#[test]
fn the_own_failure_domain_comes_first_until_its_load_costs_more() {
    let mut table = table(&[record("near", "a", 2), record("far", "b", 2)]);
    let picked: Vec<_> = (0..4).map(|_| pick(&mut table, 0).unwrap()).collect();
    assert_eq!(picked, ["near", "far", "near", "far"]);
}

#[test]
fn a_failed_upstream_rests_longer_each_time_and_a_refusing_one_shortly() {
    let mut table = table(&[record("u", "a", 2)]);
    for pause_ms in [250, 500, 1_000, 2_000, 4_000, 4_000] {
        let now = table_free_at(&mut table);
        assert!(table.pick(&query(&[]), now).is_some());
        table.request_ended("u", SamplerOutcome::Failed, now);
        assert!(table.pick(&query(&[]), now.plus_ms(pause_ms - 1)).is_none(), "rests {pause_ms} ms");
        assert!(table.pick(&query(&[]), now.plus_ms(pause_ms)).is_some());
        table.request_ended("u", SamplerOutcome::Abandoned, now.plus_ms(pause_ms));
    }
}

/// A time at which every pause has ended.
fn table_free_at(table: &mut SamplerTable) -> TimePoint {
    let mut now = TimePoint(0);
    while table.pick(&query(&[]), now).is_none() {
        now = now.plus_ms(1);
    }
    table.request_ended("u", SamplerOutcome::Abandoned, now);
    now
}

#[test]
fn an_upstream_that_loads_a_model_still_serves_the_others() {
    let mut both = record("u", "a", 2);
    both.versions.insert("n".into(), 1);
    let mut table = table(&[both]);
    table.model_refused("u", &"m".into(), TimePoint(0));
    assert_eq!(pick(&mut table, 0), None);
    let other = SamplerQuery { model: Some(("n", 1)), ..query(&[]) };
    assert!(table.pick(&other, TimePoint(0)).is_some());
    assert_eq!(pick(&mut table, 300).as_deref(), Some("u"));
}

#[test]
fn a_new_incarnation_under_an_old_id_starts_without_history() {
    let mut table = table(&[record("u", "a", 2)]);
    assert!(pick(&mut table, 0).is_some());
    table.request_ended("u", SamplerOutcome::Failed, TimePoint(0));
    table.upsert(SamplerRecord { started_unix_ms: 2, ..record("u", "a", 2) });
    assert_eq!(pick(&mut table, 0).as_deref(), Some("u"));
}

#[test]
fn a_slow_upstream_gets_less() {
    let mut table = table(&[record("fast", "a", 2), record("slow", "a", 2)]);
    for (id, pace_ms) in [("fast", 10), ("slow", 50)] {
        table.request_ended(id, SamplerOutcome::Answered(Some(pace_ms)), TimePoint(0));
    }
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(table.fastest_other_latency_ms(&query(&[]), "slow", TimePoint(0)), None, "the fast one is full");
    table.request_ended("fast", SamplerOutcome::Abandoned, TimePoint(0));
    assert_eq!(table.fastest_other_latency_ms(&query(&[]), "slow", TimePoint(0)), Some(10));
}

#[test]
fn a_run_is_slow_only_by_its_own_events_against_those_elsewhere() {
    // gap in ms, events, pace elsewhere, whether it is slow
    let cases =
        [(40, 20, 38, false), (140, 20, 38, true), (140, 3, 38, false), (77, 20, 38, true), (76, 20, 38, false)];
    for (gap_ms, events, best_ms, slow) in cases {
        let mut pace = RunMonitor::new(TimePoint(0));
        (1..=events).for_each(|event| pace.events_received(1, TimePoint(event * gap_ms)));
        assert_eq!(pace.is_slower_than(best_ms), slow, "{gap_ms} ms, {events} events");
    }
}

#[test]
fn a_silence_is_waited_for_longer_where_events_are_slow() {
    let pace = RunMonitor::new(TimePoint(100));
    // pace elsewhere, moment of silence
    for (best_ms, at) in [(None, 2_600), (Some(1), 700), (Some(100), 1_300), (Some(1_000), 2_600)] {
        assert_eq!(pace.unresponsive_at(best_ms), TimePoint(at), "{best_ms:?}");
    }
}

#[test]
fn calls_take_the_straight_way_again_and_leave_a_dead_service_alone() {
    let peers = || vec!["a".into(), "b".into(), "c".into()];
    let through = |peer: &str| Some(ServicePath::Relay(peer.into()));
    let direct = Some(ServicePath::Direct);
    let mut choice = PathSelector::default();
    assert_eq!(choice.next_path(TimePoint(0), peers), direct);
    assert!(choice.call_failed(&ServicePath::Direct, TimePoint(0), TimePoint(0)), "the straight way is lost");
    assert!(
        !choice.call_failed(&ServicePath::Direct, TimePoint(0), TimePoint(0)),
        "a call that was on its way with it says nothing new"
    );
    assert!(!choice.is_direct_available());
    assert_eq!(choice.next_path(TimePoint(1), peers), through("a"));
    assert!(!choice.call_failed(&ServicePath::Relay("a".into()), TimePoint(1), TimePoint(1)));
    assert_eq!(choice.next_path(TimePoint(2), peers), through("b"));
    choice.call_failed(&ServicePath::Relay("b".into()), TimePoint(2), TimePoint(2));
    assert_eq!(choice.next_path(TimePoint(3), peers), None, "two peers do not reach it either");
    assert_eq!(choice.next_path(TimePoint(249), peers), None);
    assert_eq!(choice.next_path(TimePoint(250), peers), direct, "one call tries the straight way");
    assert_eq!(choice.next_path(TimePoint(251), peers), None, "the others wait for its outcome");
    choice.call_failed(&ServicePath::Direct, TimePoint(300), TimePoint(300));
    assert_eq!(choice.next_path(TimePoint(301), peers), through("c"), "a peer that was not asked yet");
    assert!(!choice.call_succeeded(&ServicePath::Relay("c".into()), TimePoint(301)));
    assert_eq!(choice.next_path(TimePoint(1_299), peers), through("c"));
    assert_eq!(choice.next_path(TimePoint(1_300), peers), direct);
    assert!(choice.call_succeeded(&ServicePath::Direct, TimePoint(1_300)), "the straight way works again");
    assert_eq!(choice.next_path(TimePoint(1_301), peers), direct);
    assert!(!choice.call_succeeded(&ServicePath::Direct, TimePoint(1_400)));
    assert!(!choice.call_failed(&ServicePath::Direct, TimePoint(1_399), TimePoint(2_000)), "others got through since");
    assert!(choice.is_direct_available());
    assert!(choice.call_failed(&ServicePath::Direct, TimePoint(1_400), TimePoint(2_000)));
}

#[test]
fn the_straight_way_rests_longer_each_time_it_fails() {
    let peers = || vec!["a".into()];
    let mut choice = PathSelector::default();
    let mut now = TimePoint(0);
    choice.call_failed(&ServicePath::Direct, now, now);
    for pause_ms in [500, 1_000, 2_000, 4_000, 4_000] {
        assert_eq!(
            choice.next_path(now.plus_ms(pause_ms - 1), peers),
            Some(ServicePath::Relay("a".into())),
            "{pause_ms}"
        );
        now = now.plus_ms(pause_ms);
        assert_eq!(choice.next_path(now, peers), Some(ServicePath::Direct), "{pause_ms}");
        choice.call_failed(&ServicePath::Direct, now, now);
    }
}

/// Calls that leave a daemon in `outage_ms` of a service that is away for all, where something is to be called each
/// 20 ms; and how long after its return the service is found.
fn played_outage(seed: u64, outage_ms: u64) -> (u64, u64) {
    let peers = || vec!["a".into(), "b".into()];
    let mut choice = PathSelector::new(seed);
    let mut calls = 0;
    for ms in (0..).step_by(20) {
        let now = TimePoint(ms);
        let Some(path) = choice.next_path(now, peers) else { continue };
        if path != ServicePath::Direct {
            choice.call_failed(&path, now, now);
        } else if ms < outage_ms {
            calls += 1;
            choice.call_failed(&path, now, now);
        } else {
            return (calls, ms - outage_ms);
        }
    }
    unreachable!("a service that is back is found");
}

#[test]
fn an_outage_costs_few_calls_and_its_end_is_found_in_time() {
    for seed in 0..100 {
        let (calls, late_ms) = played_outage(seed, 10_000);
        assert!(calls <= 20, "{calls} calls in 10 s with seed {seed}");
        assert!(late_ms <= 1_000, "found {late_ms} ms late with seed {seed}");
    }
}

#[test]
fn usage_is_counted_in_the_window_in_which_it_began() {
    let (a, b): (SharedName, SharedName) = ("a".into(), "b".into());
    let mut tally = UsageTally::new(5_000);
    for (organisation, unix_ms) in [(&a, 4_999), (&a, 5_000), (&b, 9_999), (&a, 10_000)] {
        tally.count_request(organisation, unix_ms);
    }
    let closed = tally.close_ended_windows(10_500);
    assert_eq!(closed.len(), 2);
    assert_eq!((closed[0].window, &closed[0].counts), (0, &BTreeMap::from([(a.clone(), 1)])));
    assert_eq!((closed[1].window, &closed[1].counts), (1, &BTreeMap::from([(a.clone(), 1), (b.clone(), 1)])));
    tally.count_request(&b, 9_000);
    let late = tally.close_ended_windows(10_500);
    assert_eq!(late[..2], closed, "what is not on record is returned as it was");
    assert_eq!(
        (late[2].window, &late[2].counts),
        (1, &BTreeMap::from([(b.clone(), 1)])),
        "a late count is one more batch"
    );
    assert_ne!(late[2].number, closed[1].number);
    late.iter().for_each(|batch| tally.batch_stored(batch.number));
    assert!(tally.close_ended_windows(10_500).is_empty());
    assert_eq!(tally.close_ended_windows(15_000).len(), 1);
    let total = UsageTally::sum_counts(late.into_iter().map(|batch| batch.counts));
    assert_eq!(total, BTreeMap::from([(a, 2), (b, 2)]));
}

#[test]
fn a_jump_of_the_clock_is_believed_only_after_a_minute() {
    let mut offset = WallClockOffset::new(TimePoint(1_000), 1_000_000);
    assert_eq!(offset.corrected_unix_ms(TimePoint(2_000), 1_001_000), 1_001_000);
    assert_eq!(offset.corrected_unix_ms(TimePoint(3_000), 1_004_400), 1_002_000, "a jump of 2.4 s");
    assert_eq!(offset.corrected_unix_ms(TimePoint(9_000), 1_008_000), 1_008_000, "it jumped back");
    assert_eq!(offset.corrected_unix_ms(TimePoint(10_000), 1_009_050), 1_009_050, "drift is followed");
    assert_eq!(offset.corrected_unix_ms(TimePoint(11_000), 1_012_400), 1_010_050);
    assert_eq!(offset.corrected_unix_ms(TimePoint(71_000), 1_072_400), 1_072_400, "it stayed");
}

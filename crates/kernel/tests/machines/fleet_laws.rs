//! Small laws of placing, pacing, ways to the store, usage windows and clocks, in tables.

use pimentoslip_kernel::{
    PathChoice, RunPace, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerState, SamplerTable, ServicePath,
    SharedName, TimePoint, UsageTally, WallOffset,
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
    SamplerQuery { service: "s", model: Some(("m", 2)), failure_domain: "a", excluded, may_queue: false, affinity: "" }
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
    table.ended("good", SamplerOutcome::Answered(None), TimePoint(0));
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
        table.ended("u", SamplerOutcome::Failed, now);
        assert!(table.pick(&query(&[]), now.plus_ms(pause_ms - 1)).is_none(), "rests {pause_ms} ms");
        assert!(table.pick(&query(&[]), now.plus_ms(pause_ms)).is_some());
        table.ended("u", SamplerOutcome::Abandoned, now.plus_ms(pause_ms));
    }
}

/// A time at which every pause has ended.
fn table_free_at(table: &mut SamplerTable) -> TimePoint {
    let mut now = TimePoint(0);
    while table.pick(&query(&[]), now).is_none() {
        now = now.plus_ms(1);
    }
    table.ended("u", SamplerOutcome::Abandoned, now);
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
    table.ended("u", SamplerOutcome::Failed, TimePoint(0));
    table.upsert(SamplerRecord { started_unix_ms: 2, ..record("u", "a", 2) });
    assert_eq!(pick(&mut table, 0).as_deref(), Some("u"));
}

#[test]
fn a_slow_upstream_gets_less() {
    let mut table = table(&[record("fast", "a", 2), record("slow", "a", 2)]);
    for (id, pace_ms) in [("fast", 10), ("slow", 50)] {
        table.ended(id, SamplerOutcome::Answered(Some(pace_ms)), TimePoint(0));
    }
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(table.pace_elsewhere(&query(&[]), "slow", TimePoint(0)), None, "the fast one is full");
    table.ended("fast", SamplerOutcome::Abandoned, TimePoint(0));
    assert_eq!(table.pace_elsewhere(&query(&[]), "slow", TimePoint(0)), Some(10));
}

#[test]
fn a_run_is_slow_only_by_its_own_events_against_those_elsewhere() {
    // gap in ms, events, pace elsewhere, whether it is slow
    let cases =
        [(40, 20, 38, false), (140, 20, 38, true), (140, 3, 38, false), (77, 20, 38, true), (76, 20, 38, false)];
    for (gap_ms, events, best_ms, slow) in cases {
        let mut pace = RunPace::new(TimePoint(0));
        (1..=events).for_each(|event| pace.events(1, TimePoint(event * gap_ms)));
        assert_eq!(pace.is_slow(best_ms), slow, "{gap_ms} ms, {events} events");
    }
}

#[test]
fn a_silence_is_waited_for_longer_where_events_are_slow() {
    let pace = RunPace::new(TimePoint(100));
    // pace elsewhere, moment of silence
    for (best_ms, at) in [(None, 2_600), (Some(1), 700), (Some(100), 1_300), (Some(1_000), 2_600)] {
        assert_eq!(pace.silent_at(best_ms), TimePoint(at), "{best_ms:?}");
    }
}

#[test]
fn calls_take_the_straight_way_again_and_leave_a_dead_service_alone() {
    let peers: Vec<SharedName> = vec!["a".into(), "b".into(), "c".into()];
    let through = |peer: &str| ServicePath::Relay(peer.into());
    let mut choice = PathChoice::default();
    assert_eq!(choice.next(&peers, TimePoint(0)), ServicePath::Direct);
    assert!(choice.failed(&ServicePath::Direct, TimePoint(0)), "the straight way is lost");
    assert!(!choice.failed(&ServicePath::Direct, TimePoint(0)), "a call that was on its way with it says nothing new");
    assert_eq!(choice.next(&peers, TimePoint(1)), through("a"));
    assert!(!choice.failed(&through("a"), TimePoint(1)));
    assert_eq!(choice.next(&peers, TimePoint(2)), through("b"));
    choice.failed(&through("b"), TimePoint(2));
    assert_eq!(choice.next(&peers, TimePoint(3)), ServicePath::Direct, "two peers do not reach it either");
    assert_eq!(choice.next(&peers, TimePoint(1_100)), through("a"));
    assert_eq!(choice.next(&peers, TimePoint(8_000)), ServicePath::Direct, "one call tries the straight way");
    assert_eq!(choice.next(&peers, TimePoint(8_001)), through("a"), "the others wait for its outcome");
    assert!(choice.worked(&ServicePath::Direct), "the straight way works again");
    assert_eq!(choice.next(&peers, TimePoint(8_002)), ServicePath::Direct);
    assert!(!choice.worked(&ServicePath::Direct));
    assert_eq!(choice.next(&[], TimePoint(8_003)), ServicePath::Direct);
}

#[test]
fn the_straight_way_rests_longer_each_time_it_fails() {
    let peers: Vec<SharedName> = vec!["a".into()];
    let mut choice = PathChoice::default();
    let mut now = TimePoint(0);
    for pause_ms in [1_500, 3_000, 6_000, 6_000] {
        choice.failed(&ServicePath::Direct, now);
        assert_eq!(choice.next(&peers, now.plus_ms(pause_ms - 1)), ServicePath::Relay("a".into()), "{pause_ms}");
        now = now.plus_ms(pause_ms);
        assert_eq!(choice.next(&peers, now), ServicePath::Direct, "{pause_ms}");
    }
}

#[test]
fn usage_is_counted_in_the_window_in_which_it_began() {
    let (a, b): (SharedName, SharedName) = ("a".into(), "b".into());
    let mut tally = UsageTally::new(5_000);
    for (organisation, unix_ms) in [(&a, 4_999), (&a, 5_000), (&b, 9_999), (&a, 10_000)] {
        tally.count(organisation, unix_ms);
    }
    let ended = tally.ended(10_500);
    assert_eq!(ended.len(), 2);
    assert_eq!(ended[0], (0, BTreeMap::from([(a.clone(), 1)])));
    assert_eq!(ended[1], (1, BTreeMap::from([(a.clone(), 1), (b.clone(), 1)])));
    tally.recorded(0);
    tally.recorded(1);
    assert!(tally.ended(10_500).is_empty());
    assert_eq!(UsageTally::sum(ended.into_iter().map(|(_, counts)| counts)), BTreeMap::from([(a, 2), (b, 1)]));
}

#[test]
fn a_jump_of_the_clock_is_believed_only_after_a_minute() {
    let mut offset = WallOffset::new(TimePoint(1_000), 1_000_000);
    assert_eq!(offset.read(TimePoint(2_000), 1_001_000), 1_001_000);
    assert_eq!(offset.read(TimePoint(3_000), 1_004_400), 1_002_000, "a jump of 2.4 s");
    assert_eq!(offset.read(TimePoint(9_000), 1_008_000), 1_008_000, "it jumped back");
    assert_eq!(offset.read(TimePoint(10_000), 1_009_050), 1_009_050, "drift is followed");
    assert_eq!(offset.read(TimePoint(11_000), 1_012_400), 1_010_050);
    assert_eq!(offset.read(TimePoint(71_000), 1_072_400), 1_072_400, "it stayed");
}

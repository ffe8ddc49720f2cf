//! Table tests of upstream selection, detection of slow runs, path selection, usage windows and the wall clock offset.

use pimentoslip_kernel::{
    CapacityNeed, PathSelector, PermitNeed, RunMonitor, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerState,
    SamplerTable, SealSchedule, ServicePath, SharedName, TimePoint, UsageTally, WallClockOffset, WriteSchedule,
};
use std::collections::BTreeMap;

/// A ready upstream with two slots and one model of the given version.
pub fn record(id: &str, domain: &str, version: u64) -> SamplerRecord {
    SamplerRecord {
        id: id.into(),
        service: "s".into(),
        address: format!("{id}:1").into(),
        failure_domain: domain.into(),
        slots: 2,
        state: SamplerState::Ready,
        software: "v1".into(),
        versions: BTreeMap::from([("m".into(), version)]),
        started_unix_ms: 1,
        reclaimable: false,
    }
}

/// A query from failure domain `a` for a free slot with version 2 or newer of the model.
pub fn query<'a>(excluded: &'a [SharedName]) -> SamplerQuery<'a> {
    SamplerQuery {
        service: "s",
        model: Some(("m", 2)),
        software: None,
        failure_domain: "a",
        homes: None,
        excluded,
        capacity: CapacityNeed::FreeSlot,
        affinity: "",
        permits: PermitNeed::NONE,
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

/// Guards against requests to a process that has said that it leaves, which the list still shows as ready or shows again, and
/// against a next process under its id that gets none.
#[test]
fn a_process_that_leaves_gets_no_requests_whatever_the_list_says() {
    let upstream = record("u", "a", 2);
    let next = SamplerRecord { started_unix_ms: 2, ..upstream.clone() };
    // What happens after the notice, and whether the upstream is picked then.
    let cases: [(&[&str], bool); 6] = [
        (&[], false),
        (&["list"], false),
        (&["remove", "list"], false),
        (&["remove", "notice", "list"], false),
        (&["list next"], true),
        (&["list next", "notice"], true),
    ];
    for (events, is_picked) in cases {
        let mut table = table(std::slice::from_ref(&upstream));
        assert!(table.process_leaving(&upstream, TimePoint(0)), "the first notice is new");
        for event in events {
            match *event {
                "list" => table.upsert(upstream.clone()),
                "list next" => table.upsert(next.clone()),
                "remove" => drop(table.remove("u")),
                _ => assert!(!table.process_leaving(&upstream, TimePoint(5)), "{events:?}"),
            }
        }
        let current = table.get("u").map_or(1, |record| record.started_unix_ms);
        assert_eq!(table.adopt("u", current, TimePoint(10)).is_some(), is_picked, "{events:?}");
        assert_eq!(pick(&mut table, 10).is_some(), is_picked, "{events:?}");
    }
}

/// Guards against a request that was selected for a process which has left before the request is sent.
#[test]
fn a_request_is_sent_only_while_the_process_that_it_was_selected_for_is_listed() {
    let upstream = record("u", "a", 2);
    let leaving = SamplerRecord { state: SamplerState::Leaving, ..upstream.clone() };
    let next = SamplerRecord { started_unix_ms: 2, ..upstream.clone() };
    let moved = SamplerRecord { address: "elsewhere:1".into(), ..upstream.clone() };
    type Change<'a> = &'a dyn Fn(&mut SamplerTable);
    // What happens between the selection and the sending at 10, and whether the request is sent.
    let cases: [(&str, Change<'_>, bool); 8] = [
        ("nothing", &|_| {}, true),
        ("removed", &|table| drop(table.remove("u")), false),
        ("leaving", &|table| table.upsert(leaving.clone()), false),
        ("says that it leaves", &|table| assert!(table.process_leaving(&upstream, TimePoint(5))), false),
        ("replaced", &|table| table.upsert(next.clone()), false),
        ("at another address", &|table| table.upsert(moved.clone()), false),
        ("missing", &|table| table.entry_missing("u", TimePoint(11)), true),
        ("overdue", &|table| table.entry_missing("u", TimePoint(10)), false),
    ];
    for (case, change, is_sent) in cases {
        let mut table = table(std::slice::from_ref(&upstream));
        let picked = table.pick(&query(&[]), TimePoint(0)).expect("the only upstream");
        change(&mut table);
        assert_eq!(table.may_send(&picked, TimePoint(10)), is_sent, "{case}");
    }
}

#[test]
fn upstreams_that_are_leaving_outdated_full_or_of_another_service_are_not_picked() {
    let leaving = SamplerRecord { state: SamplerState::Leaving, ..record("leaving", "a", 5) };
    let other = SamplerRecord { service: "t".into(), ..record("other", "a", 5) };
    let mut table = table(&[record("old", "a", 1), leaving, other, record("good", "b", 2)]);
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
    assert_eq!(pick(&mut table, 0), None, "both slots are in use");
    table.request_ended(&record("good", "a", 2), SamplerOutcome::Answered(None), TimePoint(0));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("good"));
}

#[test]
fn upstreams_of_the_same_failure_domain_are_preferred_until_their_load_is_higher() {
    let mut table = table(&[record("near", "a", 2), record("far", "b", 2)]);
    let picked: Vec<_> = (0..4).map(|_| pick(&mut table, 0).unwrap()).collect();
    assert_eq!(picked, ["near", "far", "near", "far"]);
}

#[test]
fn an_upstream_backs_off_longer_after_each_failure() {
    let mut table = table(&[record("u", "a", 2)]);
    for backoff_ms in [250, 500, 1_000, 2_000, 4_000, 4_000] {
        let now = backoff_end(&mut table);
        assert!(table.pick(&query(&[]), now).is_some());
        table.request_ended(&record("u", "a", 2), SamplerOutcome::Failed, now);
        assert!(table.pick(&query(&[]), now.plus_ms(backoff_ms - 1)).is_none(), "backs off for {backoff_ms} ms");
        assert!(table.pick(&query(&[]), now.plus_ms(backoff_ms)).is_some());
        table.request_ended(&record("u", "a", 2), SamplerOutcome::Abandoned, now.plus_ms(backoff_ms));
    }
}

/// The first time at which the upstream no longer backs off.
fn backoff_end(table: &mut SamplerTable) -> TimePoint {
    let mut now = TimePoint(0);
    while table.pick(&query(&[]), now).is_none() {
        now = now.plus_ms(1);
    }
    table.request_ended(&record("u", "a", 2), SamplerOutcome::Abandoned, now);
    now
}

#[test]
fn an_upstream_that_refuses_one_model_still_serves_the_others() {
    let mut two_models = record("u", "a", 2);
    two_models.versions.insert("n".into(), 1);
    let mut table = table(&[two_models]);
    table.model_refused("u", &"m".into(), TimePoint(0));
    assert_eq!(pick(&mut table, 0), None);
    let other_model = SamplerQuery { model: Some(("n", 1)), ..query(&[]) };
    assert!(table.pick(&other_model, TimePoint(0)).is_some());
    assert_eq!(pick(&mut table, 300).as_deref(), Some("u"));
}

/// Guards against a daemon that keeps relaying its calls long after its own path has healed, and depends on its relay.
#[test]
fn a_daemon_with_a_relay_is_back_on_its_healed_path_within_two_seconds() {
    const BACK_WITHIN_MS: u64 = 2_000;
    for (seed, heals_at) in (0..100).flat_map(|seed| [3_000, 7_300, 20_900].map(|heals_at| (seed, heals_at))) {
        let mut selector = PathSelector::new(seed);
        for now in (0..).step_by(10).map(TimePoint) {
            let path = selector.next_path(now, || vec!["peer".into()]).expect("the peer relays");
            if path == ServicePath::Direct && now.0 >= heals_at {
                assert!(now.0 - heals_at <= BACK_WITHIN_MS, "seed {seed}: back after {} ms", now.0 - heals_at);
                break;
            }
            match path {
                ServicePath::Direct => drop(selector.call_failed(&path, now, now)),
                ServicePath::Relay(_) => drop(selector.call_succeeded(&path, now)),
            }
        }
    }
}

#[test]
fn a_restarted_upstream_with_the_same_id_does_not_inherit_the_backoff() {
    let mut table = table(&[record("u", "a", 2)]);
    assert!(pick(&mut table, 0).is_some());
    table.request_ended(&record("u", "a", 2), SamplerOutcome::Failed, TimePoint(0));
    table.upsert(SamplerRecord { started_unix_ms: 2, ..record("u", "a", 2) });
    assert_eq!(pick(&mut table, 0).as_deref(), Some("u"));
}

#[test]
fn a_faster_upstream_is_picked_first_while_it_has_free_slots() {
    let mut table = table(&[record("fast", "a", 2), record("slow", "a", 2)]);
    for (id, latency_ms) in [("fast", 10), ("slow", 50)] {
        table.request_ended(&record(id, "a", 2), SamplerOutcome::Answered(Some(latency_ms)), TimePoint(0));
    }
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("fast"));
    assert_eq!(
        table.fastest_other_latency_ms(&query(&[]), "slow", TimePoint(0)),
        None,
        "the fast upstream has no free slot"
    );
    table.request_ended(&record("fast", "a", 2), SamplerOutcome::Abandoned, TimePoint(0));
    assert_eq!(table.fastest_other_latency_ms(&query(&[]), "slow", TimePoint(50)), Some(10));
    assert_eq!(table.fastest_other_latency_ms(&query(&[]), "fast", TimePoint(50)), Some(50));
}

#[test]
fn a_run_is_slow_if_its_event_interval_is_more_than_twice_that_of_another_upstream() {
    // event interval in ms, number of events, event interval of another upstream in ms, whether the run is slow
    let cases =
        [(40, 20, 38, false), (140, 20, 38, true), (140, 3, 38, false), (77, 20, 38, true), (76, 20, 38, false)];
    for (interval_ms, events, other_interval_ms, slow) in cases {
        let mut monitor = RunMonitor::new(TimePoint(0));
        (1..=events).for_each(|event| monitor.events_received(1, TimePoint(event * interval_ms)));
        assert_eq!(monitor.is_slower_than(other_interval_ms), slow, "{interval_ms} ms, {events} events");
    }
}

#[test]
fn the_timeout_of_a_run_grows_with_the_event_interval_of_other_upstreams_within_limits() {
    let monitor = RunMonitor::new(TimePoint(100));
    // event interval of the fastest other upstream in ms, time in ms at which the run counts as unresponsive
    for (other_interval_ms, unresponsive_at) in
        [(None, 2_600), (Some(1), 700), (Some(100), 1_300), (Some(1_000), 2_600)]
    {
        assert_eq!(monitor.unresponsive_at(other_interval_ms), TimePoint(unresponsive_at), "{other_interval_ms:?}");
    }
}

/// The direct path fails, then both peers. Calls must stop while the service is unreachable, and return to the direct
/// path once a probe has succeeded.
#[test]
fn calls_return_to_the_direct_path_and_back_off_while_the_service_is_unreachable() {
    let peers = || vec!["a".into(), "b".into(), "c".into()];
    let relay = |peer: &str| Some(ServicePath::Relay(peer.into()));
    let direct = Some(ServicePath::Direct);
    let mut selector = PathSelector::default();
    assert_eq!(selector.next_path(TimePoint(0), peers), direct);
    assert!(
        selector.call_failed(&ServicePath::Direct, TimePoint(0), TimePoint(0)),
        "the direct path was available before"
    );
    assert!(
        !selector.call_failed(&ServicePath::Direct, TimePoint(0), TimePoint(0)),
        "a call that was in flight at the same time is not a second failure"
    );
    assert!(!selector.is_direct_available());
    assert_eq!(selector.next_path(TimePoint(1), peers), relay("a"));
    assert!(!selector.call_failed(&ServicePath::Relay("a".into()), TimePoint(1), TimePoint(1)));
    assert_eq!(selector.next_path(TimePoint(2), peers), relay("b"));
    selector.call_failed(&ServicePath::Relay("b".into()), TimePoint(2), TimePoint(2));
    assert_eq!(selector.next_path(TimePoint(3), peers), None, "two peers do not reach the service either");
    assert_eq!(selector.next_path(TimePoint(249), peers), None);
    assert_eq!(selector.next_path(TimePoint(250), peers), direct, "one call probes the direct path");
    assert_eq!(selector.next_path(TimePoint(251), peers), None, "other calls wait for the outcome of the probe");
    selector.call_failed(&ServicePath::Direct, TimePoint(300), TimePoint(300));
    assert_eq!(selector.next_path(TimePoint(301), peers), relay("c"), "a peer that was not tried yet");
    assert!(!selector.call_succeeded(&ServicePath::Relay("c".into()), TimePoint(301)));
    assert_eq!(selector.next_path(TimePoint(1_299), peers), relay("c"));
    assert_eq!(selector.next_path(TimePoint(1_300), peers), direct);
    assert!(selector.call_succeeded(&ServicePath::Direct, TimePoint(1_300)), "the direct path is available again");
    assert_eq!(selector.next_path(TimePoint(1_301), peers), direct);
    assert!(!selector.call_succeeded(&ServicePath::Direct, TimePoint(1_400)));
    assert!(
        !selector.call_failed(&ServicePath::Direct, TimePoint(1_399), TimePoint(2_000)),
        "another call succeeded after this one started"
    );
    assert!(selector.is_direct_available());
    assert!(selector.call_failed(&ServicePath::Direct, TimePoint(1_400), TimePoint(2_000)));
}

#[test]
fn the_direct_path_backs_off_longer_after_each_failure() {
    let peers = || vec!["a".into()];
    let mut selector = PathSelector::default();
    let mut now = TimePoint(0);
    selector.call_failed(&ServicePath::Direct, now, now);
    for backoff_ms in [500, 1_000, 2_000, 2_000, 2_000] {
        assert_eq!(
            selector.next_path(now.plus_ms(backoff_ms - 1), peers),
            Some(ServicePath::Relay("a".into())),
            "{backoff_ms}"
        );
        now = now.plus_ms(backoff_ms);
        assert_eq!(selector.next_path(now, peers), Some(ServicePath::Direct), "{backoff_ms}");
        selector.call_failed(&ServicePath::Direct, now, now);
    }
}

/// Simulates an outage of `outage_ms` in which no peer reaches the service and a call is due every 20 ms. Returns the
/// number of direct calls during the outage, and the time in ms from its end to the first successful call.
fn simulated_outage(seed: u64, outage_ms: u64, is_urgent: bool) -> (u64, u64) {
    let peers = || vec!["a".into(), "b".into()];
    let mut selector = PathSelector::new(seed);
    selector.set_urgent(is_urgent);
    let mut calls = 0;
    for ms in (0..).step_by(20) {
        let now = TimePoint(ms);
        let Some(path) = selector.next_path(now, peers) else { continue };
        if path != ServicePath::Direct {
            selector.call_failed(&path, now, now);
        } else if ms < outage_ms {
            calls += 1;
            selector.call_failed(&path, now, now);
        } else {
            return (calls, ms - outage_ms);
        }
    }
    unreachable!("a reachable service is called again");
}

#[test]
fn an_outage_causes_few_calls_and_its_end_is_detected_within_a_second() {
    for seed in 0..100 {
        let (calls, delay_ms) = simulated_outage(seed, 10_000, false);
        assert!(calls <= 20, "{calls} calls in 10 s with seed {seed}");
        assert!(delay_ms <= 1_000, "detected after {delay_ms} ms with seed {seed}");
        let (calls, delay_ms) = simulated_outage(seed, 10_000, true);
        assert!(calls <= 60, "{calls} urgent calls in 10 s with seed {seed}");
        assert!(delay_ms <= 300, "detected after {delay_ms} ms with seed {seed}, with work that waits");
    }
}

/// Plays the writes of a job whose 200 results finish one every 20 ms, while the store is away from 600 to 7,500 ms. A
/// write takes 20 ms and stores 100 results at most. Returns when each write was made, and how many results were listed
/// by each reader's poll, one every 500 ms.
fn simulated_listing(outage: std::ops::Range<u64>) -> (Vec<u64>, Vec<u64>) {
    const CHUNK_RESULTS: u64 = 100;
    const WRITE_MS: u64 = 20;
    let mut schedule = WriteSchedule::new(TimePoint(0));
    let (mut listed, mut chunk) = (0, 0);
    let (mut writes, mut polls) = (Vec::new(), Vec::new());
    let mut next_pass = 0;
    for ms in 0..12_000 {
        if ms % 500 == 0 {
            polls.push(listed);
        }
        let finished = (ms / 20).min(200);
        if ms < next_pass || finished == listed || !schedule.are_results_due(TimePoint(ms)) {
            continue;
        }
        // A chunk is not changed until it is stored.
        chunk = if chunk == 0 { (finished - listed).min(CHUNK_RESULTS) } else { chunk };
        let waiting = finished - listed - chunk;
        next_pass = ms + WRITE_MS;
        writes.push(ms);
        let is_stored = !outage.contains(&ms);
        if is_stored {
            listed += chunk;
            chunk = 0;
        }
        schedule.written(is_stored && waiting > 0, TimePoint(ms + WRITE_MS));
    }
    (writes, polls)
}

/// Guards against results of an outage that reach their readers one write period after the other.
#[test]
fn results_that_wait_for_the_store_are_listed_together_after_an_outage() {
    let (writes, polls) = simulated_listing(0..0);
    assert!(writes.windows(2).all(|pair| pair[1] - pair[0] >= 400), "{writes:?}");
    assert_eq!(polls[9], 200, "all results are listed shortly after the last one is finished: {polls:?}");
    let (writes, polls) = simulated_listing(600..7_500);
    let returned = writes.iter().position(|ms| *ms >= 7_500).expect("a write after the outage");
    let last = writes.last().copied().unwrap_or_default();
    assert!(last - writes[returned] <= 60, "{:?}", &writes[returned..]);
    assert_eq!(polls[16], 200, "all results are listed by the reader's next poll: {polls:?}");
}

#[test]
fn usage_is_counted_in_the_window_in_which_it_started() {
    let (first, second): (SharedName, SharedName) = ("a".into(), "b".into());
    let mut tally = UsageTally::new(5_000);
    for (organisation, unix_ms) in [(&first, 4_999), (&first, 5_000), (&second, 9_999), (&first, 10_000)] {
        tally.count_request(organisation, unix_ms);
    }
    let batches = tally.close_ended_windows(10_500);
    assert_eq!(batches.len(), 2);
    assert_eq!((batches[0].window, &batches[0].counts), (0, &BTreeMap::from([(first.clone(), 1)])));
    assert_eq!(
        (batches[1].window, &batches[1].counts),
        (1, &BTreeMap::from([(first.clone(), 1), (second.clone(), 1)]))
    );
    tally.count_request(&second, 9_000);
    let later_batches = tally.close_ended_windows(10_500);
    assert_eq!(later_batches[..2], batches, "batches that are not stored yet are returned again unchanged");
    assert_eq!(
        (later_batches[2].window, &later_batches[2].counts),
        (1, &BTreeMap::from([(second.clone(), 1)])),
        "a late count is in another batch"
    );
    assert_ne!(later_batches[2].number, batches[1].number);
    later_batches.iter().for_each(|batch| tally.batch_stored(batch.number));
    assert!(tally.close_ended_windows(10_500).is_empty());
    assert_eq!(tally.close_ended_windows(15_000).len(), 1);
    let total = UsageTally::sum_counts(later_batches.into_iter().map(|batch| batch.counts));
    assert_eq!(total, BTreeMap::from([(first, 2), (second, 2)]));
}

#[test]
fn a_jump_of_the_wall_clock_is_applied_only_after_a_minute() {
    let mut offset = WallClockOffset::new(TimePoint(1_000), 1_000_000);
    assert_eq!(offset.corrected_unix_ms(TimePoint(2_000), 1_001_000), 1_001_000);
    assert_eq!(offset.corrected_unix_ms(TimePoint(3_000), 1_004_400), 1_002_000, "a jump of 2.4 s");
    assert_eq!(offset.corrected_unix_ms(TimePoint(9_000), 1_008_000), 1_008_000, "the clock jumped back");
    assert_eq!(offset.corrected_unix_ms(TimePoint(10_000), 1_009_050), 1_009_050, "drift is applied at once");
    assert_eq!(offset.corrected_unix_ms(TimePoint(11_000), 1_012_400), 1_010_050);
    assert_eq!(offset.corrected_unix_ms(TimePoint(71_000), 1_072_400), 1_072_400, "the jump lasted for a minute");
}

/// Guards against a count of requests that falls below the true one, so that an upstream gets more than it has slots.
#[test]
fn requests_of_an_ended_process_do_not_lower_the_count_of_its_successor() {
    let mut table = table(&[record("u", "a", 2)]);
    let old = table.pick(&query(&[]), TimePoint(0)).expect("a free slot");
    let new = SamplerRecord { started_unix_ms: 2, ..record("u", "a", 2) };
    table.upsert(new.clone());
    assert!(table.pick(&query(&[]), TimePoint(0)).is_some());
    assert!(table.pick(&query(&[]), TimePoint(0)).is_some());
    table.request_ended(&old, SamplerOutcome::Failed, TimePoint(0));
    assert_eq!(pick(&mut table, 0), None, "both slots of the new process are in use");
    table.request_ended(&new, SamplerOutcome::Answered(None), TimePoint(0));
    assert_eq!(pick(&mut table, 0).as_deref(), Some("u"), "the failure of the old process does not count");
}

#[test]
fn a_first_arrival_of_several_events_does_not_hide_a_slow_run() {
    let mut monitor = RunMonitor::new(TimePoint(0));
    monitor.events_received(5, TimePoint(400));
    assert_eq!(monitor.event_interval_ms(), None, "the first arrival includes the processing of the prompt");
    monitor.events_received(1, TimePoint(500));
    assert_eq!(monitor.event_interval_ms(), Some(100));
    assert!(monitor.is_slower_than(40));
}

#[test]
fn counts_that_cannot_be_stored_for_an_hour_are_dropped_and_said_to_be() {
    let mut tally = UsageTally::new(5_000);
    let windows = 730;
    for window in 0..windows {
        tally.count_request(&"rose".into(), window * 5_000);
        tally.close_ended_windows((window + 1) * 5_000);
        assert_eq!(tally.take_dropped(), u64::from(window >= 720), "window {window}");
    }
    assert_eq!(tally.close_ended_windows(u64::MAX).len(), 720);
}

/// Windows of 5 s, which are sealed 5 s after their end.
const SEAL_SCHEDULE: SealSchedule =
    SealSchedule { window_ms: 5_000, seal_delay_ms: 5_000, return_delay_ms: 3_000, look_back_windows: 6 };

/// Guards against a new holder that passes over windows whose counts are stored, or not stored yet, because no window is
/// sealed.
#[test]
fn a_holder_that_finds_no_sealed_window_begins_at_the_oldest_one_that_may_have_counts() {
    let now_unix_ms = 100_000 * 5_000 + 1_000;
    // Each case: last sealed window, oldest window with stored counts, first window to be sealed.
    let cases = [
        (None, None, 99_999),
        (None, Some(100_000), 99_999),
        (None, Some(99_997), 99_997),
        (None, Some(99_000), 99_994),
        (Some(99_996), None, 99_997),
        (Some(99_996), Some(99_990), 99_997),
        (Some(99_000), Some(99_001), 99_994),
    ];
    for (last_sealed, oldest_counted, first) in cases {
        let case = (last_sealed, oldest_counted);
        assert_eq!(SEAL_SCHEDULE.first_window(last_sealed, oldest_counted, now_unix_ms), first, "{case:?}");
    }
    assert!(!SEAL_SCHEDULE.is_due(99_999, 100_000 * 5_000 + 4_999));
    assert!(SEAL_SCHEDULE.is_due(99_999, 100_000 * 5_000 + 5_000));
}

/// Guards against a window that is sealed before the counts that daemons kept during an outage are stored.
#[test]
fn no_window_is_sealed_until_the_counts_kept_during_an_outage_are_stored() {
    assert!(!SEAL_SCHEDULE.is_settling(None, TimePoint(10_000)));
    assert!(SEAL_SCHEDULE.is_settling(Some(TimePoint(10_000)), TimePoint(12_999)));
    assert!(!SEAL_SCHEDULE.is_settling(Some(TimePoint(10_000)), TimePoint(13_000)));
}

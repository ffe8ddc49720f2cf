//! When the steps of trainers are complete that share upstreams of different speed.

use crate::fleet_machines::{self, record};
use pimentoslip_kernel::{
    CapacityNeed, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerTable, SharedName, TimePoint,
};

const FAST_MS: u64 = 50;
const SLOW_MS: u64 = 65;
/// Number of upstreams of each trainer's model; every third one is slow.
const UPSTREAMS: usize = 9;
/// Events of the longest text of each trainer. The steps of the last one have the longest texts.
const LONGEST: [u64; 3] = [85, 120, 145];

fn query() -> SamplerQuery<'static> {
    SamplerQuery { capacity: CapacityNeed::TextSlot, affinity: "g", ..fleet_machines::query(&[]) }
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

/// Lengths of the texts of a step, the longest first: one in four is several times as long as the others.
fn lengths(longest: u64) -> Vec<u64> {
    (0..72).map(|index| if index < 18 { longest - index } else { 20 - index / 6 }).collect()
}

/// When the last text of a step is complete whose items are dispatched at `now`, in milliseconds from then on.
fn step_finish_ms(table: &mut SamplerTable, longest: u64, now: TimePoint) -> u64 {
    let finish = lengths(longest).into_iter().map(|length| {
        let upstream = table.pick(&query(), now).expect("there are as many slots as items");
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
        (0..72).filter_map(|_| table.pick(&query(), TimePoint(1))).map(|upstream| upstream.id).collect();
    let first = picked.iter().position(|id| **id == *"u4" || **id == *"u5").expect("they have slots");
    assert!(first >= 6, "the longest texts run at upstreams that are known to be fast");
    assert!(first < 56, "the slow upstreams are not preferred");
}

/// Guards against an upstream that is taken for slow for ever although it has recovered, and against one that fails.
#[test]
fn a_speed_that_was_measured_long_ago_decides_nothing() {
    let mut table = measured_table(|_| true);
    let pick_all = |table: &mut SamplerTable, now: TimePoint| -> Vec<SharedName> {
        let picked: Vec<SamplerRecord> = (0..72).filter_map(|_| table.pick(&query(), now)).collect();
        picked.iter().for_each(|upstream| table.request_ended(upstream, SamplerOutcome::Abandoned, now));
        picked.into_iter().map(|upstream| upstream.failure_domain).collect()
    };
    let is_slow = |domain: &SharedName| **domain == *"slow";
    assert_eq!(pick_all(&mut table, TimePoint(1)).iter().position(is_slow), Some(48), "after all the fast ones");
    assert!(
        pick_all(&mut table, TimePoint(60_000)).iter().position(is_slow) < Some(24),
        "before the others are half full"
    );
    for index in [0, 1, 3, 4, 6, 7] {
        let upstream = table.get(&format!("u{index}")).cloned().expect("it is listed");
        table.process_ended(&upstream, TimePoint(60_000));
    }
    assert_eq!(pick_all(&mut table, TimePoint(60_001)).len(), 24, "the slow ones serve when the fast ones fail");
}

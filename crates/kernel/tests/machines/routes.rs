//! Routing: where work goes, and where it must not go.

use pimentoslip_kernel::{
    RoutePolicy, RouteQuery, RouteTable, TimePoint, UpstreamEntry, UpstreamState, route_policy_names,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const LATER: TimePoint = TimePoint(60_000);

fn entry(name: &str, domain: &str) -> UpstreamEntry {
    UpstreamEntry::new(name.into(), "drafts".into(), domain.into(), format!("{name}:1").into(), false, TimePoint(0))
}

fn query<'a>() -> RouteQuery<'a> {
    RouteQuery {
        service: "drafts",
        failure_domain: "a",
        prefix_hash: None,
        excluded: &[],
        exclusive: false,
        inflight_max: 100,
    }
}

fn table(names: &[(&str, &str)]) -> RouteTable {
    let mut table = RouteTable::new(RoutePolicy::TwoChoices);
    table.apply_list(names.iter().map(|(name, domain)| entry(name, domain)).collect());
    table
}

fn picks(table: &mut RouteTable, query: &RouteQuery<'_>, count: usize) -> BTreeMap<String, usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        if let Some(entry) = table.pick(query, LATER, &mut rng) {
            table.request_ended(&entry.name, false, LATER);
            *counts.entry(entry.name.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn policies_register_themselves() {
    assert_eq!(route_policy_names(), ["prefix-two-choices", "round-robin", "two-choices"]);
    assert_eq!(RoutePolicy::from_name("round-robin"), Some(RoutePolicy::RoundRobin));
    assert_eq!(RoutePolicy::from_name("nearest"), None);
}

#[test]
fn the_own_failure_domain_comes_first() {
    let mut table = table(&[("near", "a"), ("far", "b")]);
    let counts = picks(&mut table, &query(), 50);
    assert_eq!(counts, BTreeMap::from([("near".to_owned(), 50)]));
}

#[test]
fn a_leaving_upstream_gets_nothing_whoever_says_so() {
    let says: [fn(&mut RouteTable); 3] = [
        |table| table.draining_reported("one"),
        |table| table.apply_list(vec![entry("two", "a")]),
        |table| {
            let mut leaving = entry("one", "a");
            leaving.state = UpstreamState::Draining;
            table.apply_list(vec![leaving, entry("two", "a")]);
        },
    ];
    for (case, say) in says.into_iter().enumerate() {
        let mut table = table(&[("one", "a"), ("two", "a")]);
        say(&mut table);
        assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("two".to_owned(), 50)]), "case {case}");
    }
}

#[test]
fn a_notice_outlasts_the_lagging_list_and_a_gap_in_the_list_does_not_last() {
    let mut table = table(&[("one", "a"), ("two", "a")]);
    table.draining_reported("one");
    table.apply_list(vec![entry("one", "a"), entry("two", "a")]);
    assert_eq!(table.capacity("drafts", 1), 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    table.pick(&query(), LATER, &mut rng).expect("two");
    table.apply_list(Vec::new());
    assert_eq!(table.capacity("drafts", 1), 0);
    table.apply_list(vec![entry("two", "a")]);
    assert_eq!(table.capacity("drafts", 1), 1);
}

#[test]
fn an_upstream_that_keeps_failing_is_ejected_but_never_more_than_half() {
    let mut table = table(&[("good", "a"), ("bad", "a")]);
    for _ in 0..3 {
        table.request_ended("bad", true, LATER);
    }
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
    for _ in 0..3 {
        table.request_ended("good", true, LATER);
    }
    assert_eq!(picks(&mut table, &query(), 50).values().sum::<usize>(), 50, "with all ejected, all are tried");
}

#[test]
fn an_upstream_that_nothing_listens_at_is_left_out_at_once() {
    let mut table = table(&[("good", "a"), ("dead-1", "a"), ("dead-2", "a")]);
    table.connection_refused("dead-1", LATER);
    table.connection_refused("dead-2", LATER);
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
    table.connection_refused("good", LATER);
    assert_eq!(picks(&mut table, &query(), 50).values().sum::<usize>(), 50, "with nothing left, all are tried");
}

#[test]
fn an_upstream_without_load_reports_is_ejected() {
    let mut table = table(&[("good", "a"), ("mute", "a")]);
    for _ in 0..3 {
        table.load_report_missed("mute", LATER);
    }
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
}

#[test]
fn a_suspect_runs_alone() {
    let mut table = table(&[("one", "a")]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let alone = RouteQuery { exclusive: true, ..query() };
    table.pick(&alone, LATER, &mut rng).expect("idle");
    assert!(table.pick(&query(), LATER, &mut rng).is_none(), "nothing runs beside a suspect");
    table.request_ended("one", false, LATER);
    table.pick(&query(), LATER, &mut rng).expect("idle again");
    assert!(table.pick(&alone, LATER, &mut rng).is_none(), "a suspect waits for an idle upstream");
}

#[test]
fn equal_prefixes_go_to_one_upstream_until_it_is_loaded() {
    let mut table = RouteTable::new(RoutePolicy::PrefixTwoChoices);
    table.apply_list(["one", "two", "three", "four"].map(|name| entry(name, "a")).to_vec());
    let prefix = RouteQuery { prefix_hash: Some(42), ..query() };
    let counts = picks(&mut table, &prefix, 50);
    assert_eq!(counts.len(), 1, "{counts:?}");
    let holder = counts.keys().next().expect("one").clone();
    table.load_reported(&holder, 20, None);
    let counts = picks(&mut table, &prefix, 50);
    assert!(!counts.contains_key(&holder), "{counts:?}");
}

#[test]
fn own_work_counts_at_once_and_reports_count_smoothed() {
    let mut table = table(&[("one", "a"), ("two", "a")]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let entry = table.pick(&query(), LATER, &mut rng).expect("room");
        *counts.entry(entry.name.to_string()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (8..=12).contains(count)), "{counts:?}");
}

#[test]
fn a_slow_upstream_gets_its_share_by_pace() {
    let mut table = table(&[("fast", "a"), ("slow", "a")]);
    for _ in 0..20 {
        table.duration_observed("fast", 100);
        table.duration_observed("slow", 600);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let slow = (0..28).filter(|_| &*table.pick(&query(), LATER, &mut rng).expect("room").name == "slow").count();
    assert!((3..=5).contains(&slow), "{slow} of 28 went to the one that is six times slower");
}

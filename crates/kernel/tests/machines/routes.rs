//! Tests of the route table: which upstreams get requests, and which must not.

use pimentoslip_kernel::{
    RoutePolicy, RouteQuery, RouteTable, TimePoint, UpstreamEntry, UpstreamState, route_policy_names,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Time after the slow start of all upstreams.
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

/// Number of picks of each upstream among `count` requests that run one after the other and succeed.
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
fn registered_policies_are_found_by_name() {
    assert_eq!(route_policy_names(), ["prefix-two-choices", "round-robin", "two-choices"]);
    assert_eq!(RoutePolicy::from_name("round-robin"), Some(RoutePolicy::RoundRobin));
    assert_eq!(RoutePolicy::from_name("nearest"), None);
}

#[test]
fn an_equally_loaded_upstream_in_the_own_failure_domain_is_preferred() {
    let mut table = table(&[("near", "a"), ("far", "b")]);
    let counts = picks(&mut table, &query(), 50);
    assert_eq!(counts, BTreeMap::from([("near".to_owned(), 50)]));
}

#[test]
fn a_draining_or_delisted_upstream_gets_no_requests() {
    let removals: [fn(&mut RouteTable); 3] = [
        |table| table.draining_reported("one"),
        |table| table.apply_list(vec![entry("two", "a")]),
        |table| {
            let mut draining = entry("one", "a");
            draining.state = UpstreamState::Draining;
            table.apply_list(vec![draining, entry("two", "a")]);
        },
    ];
    for (case, remove) in removals.into_iter().enumerate() {
        let mut table = table(&[("one", "a"), ("two", "a")]);
        remove(&mut table);
        assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("two".to_owned(), 50)]), "case {case}");
    }
}

/// The VM list lags behind an upstream's own report of draining, which must stay in effect. An upstream missing from
/// one list gets requests again when the next list contains it.
#[test]
fn a_draining_report_outlasts_a_stale_list_and_a_relisted_upstream_gets_requests_again() {
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
fn a_repeatedly_failing_upstream_is_ejected_unless_more_than_half_would_be() {
    let mut table = table(&[("good", "a"), ("bad", "a")]);
    for _ in 0..3 {
        table.request_ended("bad", true, LATER);
    }
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
    for _ in 0..3 {
        table.request_ended("good", true, LATER);
    }
    assert_eq!(
        picks(&mut table, &query(), 50).values().sum::<usize>(),
        50,
        "ejections must be ignored when all upstreams are ejected"
    );
}

#[test]
fn an_upstream_that_refuses_connections_is_avoided_at_once() {
    let mut table = table(&[("good", "a"), ("dead-1", "a"), ("dead-2", "a")]);
    table.connection_refused("dead-1", LATER);
    table.connection_refused("dead-2", LATER);
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
    table.connection_refused("good", LATER);
    assert_eq!(
        picks(&mut table, &query(), 50).values().sum::<usize>(),
        50,
        "all upstreams must be tried when all refuse connections"
    );
}

#[test]
fn an_upstream_with_missed_load_reports_is_ejected() {
    let mut table = table(&[("good", "a"), ("mute", "a")]);
    for _ in 0..3 {
        table.load_report_missed("mute", LATER);
    }
    assert_eq!(picks(&mut table, &query(), 50), BTreeMap::from([("good".to_owned(), 50)]));
}

#[test]
fn a_suspect_request_shares_its_upstream_with_no_other() {
    let mut table = table(&[("one", "a")]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let suspect = RouteQuery { exclusive: true, ..query() };
    table.pick(&suspect, LATER, &mut rng).expect("idle");
    assert!(table.pick(&query(), LATER, &mut rng).is_none(), "no request may run together with a suspect");
    table.request_ended("one", false, LATER);
    table.pick(&query(), LATER, &mut rng).expect("idle again");
    assert!(table.pick(&suspect, LATER, &mut rng).is_none(), "a suspect must wait for an idle upstream");
}

#[test]
fn requests_with_equal_prefixes_share_an_upstream_until_it_is_more_loaded() {
    let mut table = RouteTable::new(RoutePolicy::PrefixTwoChoices);
    table.apply_list(["one", "two", "three", "four"].map(|name| entry(name, "a")).to_vec());
    let query = RouteQuery { prefix_hash: Some(42), ..query() };
    let counts = picks(&mut table, &query, 50);
    assert_eq!(counts.len(), 1, "{counts:?}");
    let prefix_owner = counts.keys().next().expect("one").clone();
    table.load_reported(&prefix_owner, 20, None);
    let counts = picks(&mut table, &query, 50);
    assert!(!counts.contains_key(&prefix_owner), "{counts:?}");
}

#[test]
fn own_requests_are_balanced_without_load_reports() {
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
fn requests_are_shared_in_proportion_to_the_speed_of_upstreams() {
    let mut table = table(&[("fast", "a"), ("slow", "a")]);
    for _ in 0..20 {
        table.duration_observed("fast", 100);
        table.duration_observed("slow", 600);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let slow = (0..28).filter(|_| &*table.pick(&query(), LATER, &mut rng).expect("room").name == "slow").count();
    assert!((3..=5).contains(&slow), "{slow} of 28 requests were sent to the upstream that is six times slower");
}

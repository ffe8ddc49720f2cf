//! Table-driven tests of the small state machines and decision functions.

use pimentoslip_kernel::{
    FailedAttempt, FetchCursor, KeySecret, MemberEntry, MemberState, MemberTable, RefusalReason, RequestClass,
    RequestProgress, RetryBudget, RetryDecision, RetryPolicy, RunState, SpendAction, SpendInput, SpendPlanner,
    StreamScanner, TimePoint, highest_ranked, rank,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn not_run_is_reported_only_if_the_request_cannot_have_run() {
    // Connected, response received, refused by the upstream, and the expected run state.
    let cases = [
        (false, false, false, RunState::NotRun),
        (true, false, false, RunState::MayHaveRun),
        (true, true, false, RunState::Ran),
        (true, false, true, RunState::NotRun),
    ];
    for (connected, responded, refused, expected) in cases {
        let mut progress = RequestProgress::default();
        if connected {
            progress.connection_opened();
        }
        if responded {
            progress.response_received();
        }
        if refused {
            progress.refusal_received();
        }
        assert_eq!(progress.run_state(), expected);
    }
}

#[test]
fn only_requests_that_may_repeat_are_retried() {
    let mut may_have_run = RequestProgress::default();
    may_have_run.connection_opened();
    let not_run = RequestProgress::default();
    // Class, progress, attempt, and whether a retry is expected.
    let cases = [
        (RequestClass::Idempotent, may_have_run, 1, true),
        (RequestClass::Idempotent, may_have_run, 3, false),
        (RequestClass::AtMostOnce, may_have_run, 1, false),
        (RequestClass::AtMostOnce, not_run, 1, true),
        (RequestClass::Claimed("k".into()), may_have_run, 1, false),
        (RequestClass::Claimed("k".into()), not_run, 1, true),
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for (class, progress, attempt, retried) in cases {
        let failed = FailedAttempt { class: &class, progress, attempt, deadline: TimePoint(10_000) };
        let decision = RetryPolicy.decide(failed, TimePoint(0), &mut RetryBudget::default(), &mut rng);
        assert_eq!(matches!(decision, RetryDecision::RetryAt(_)), retried, "{class:?} {progress:?} {attempt}");
    }
    let past_deadline =
        FailedAttempt { class: &RequestClass::Idempotent, progress: not_run, attempt: 1, deadline: TimePoint(0) };
    let decision = RetryPolicy.decide(past_deadline, TimePoint(0), &mut RetryBudget::default(), &mut rng);
    assert_eq!(decision, RetryDecision::Stop(RunState::NotRun));
}

#[test]
fn retries_are_limited_to_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let retries = (0..10_000).filter(|_| {
        budget.record_attempt();
        budget.try_spend()
    });
    assert!(retries.count() <= 1_010);
}

#[test]
fn requests_are_classified_by_method_setting_and_idempotency_key() {
    let cases = [
        ("GET", false, None, RequestClass::Idempotent),
        ("POST", false, None, RequestClass::AtMostOnce),
        ("DELETE", false, None, RequestClass::AtMostOnce),
        ("POST", true, None, RequestClass::Idempotent),
        ("POST", false, Some("k"), RequestClass::Claimed("k".into())),
        ("POST", true, Some("k"), RequestClass::Claimed("k".into())),
    ];
    for (method, repeatable, key, expected) in cases {
        assert_eq!(RequestClass::classify(method, repeatable, key), expected);
    }
}

#[test]
fn a_stream_is_finished_only_with_its_terminal_marker() {
    let stream = b"data: {\"a\":1}\r\n\r\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    for cut in 0..=stream.len() {
        let mut scanner = StreamScanner::default();
        let mut data = Vec::new();
        scanner.feed(&stream[..cut], |line| data.push(line.to_vec()));
        let marker_end = stream.len() - 1;
        assert_eq!(scanner.is_finished(), cut >= marker_end, "cut at {cut}");
        scanner.feed(&stream[cut..], |line| data.push(line.to_vec()));
        assert!(scanner.is_finished());
        assert_eq!(data, [b"{\"a\":1}".to_vec(), b"{\"b\":2}".to_vec()], "cut at {cut}");
    }
}

#[test]
fn key_ids_are_found_in_surrounding_text_and_malformed_keys_are_rejected() {
    let secret = KeySecret::generate(&mut ChaCha8Rng::seed_from_u64(9));
    let text = format!("x={}&y", secret.expose());
    assert_eq!(KeySecret::find_ids(text.as_bytes()), vec![secret.id.clone()]);
    assert!(KeySecret::find_ids(b"psk-short psk-").is_empty());
    assert!(KeySecret::parse(&secret.expose()[1..]).is_none());
    assert!(KeySecret::parse(&format!("{}x", secret.expose())).is_none());
}

#[test]
fn a_cursor_of_4096_samples_takes_512_bytes_and_malformed_cursors_are_rejected() {
    let mut cursor = FetchCursor::default();
    (0..4_096).for_each(|sample| cursor.insert(sample));
    let text = serde_json::to_string(&cursor).expect("a cursor");
    assert_eq!(text.len(), 512 * 2 + 2);
    assert_eq!(serde_json::from_str::<FetchCursor>(&text).expect("a cursor"), cursor);
    for malformed in ["\"0\"", "\"zz\"", "\"é0\"", "7"] {
        assert!(serde_json::from_str::<FetchCursor>(malformed).is_err(), "{malformed}");
    }
}

#[test]
fn the_minimum_spend_is_used_first_then_reclaimable_upstreams_within_the_maximum() {
    let base = SpendInput {
        wanted: 4,
        standing_min: 1,
        standing: 2,
        reclaimable: 0,
        reclaimable_available: true,
        standing_cents_per_hour: 100,
        reclaimable_cents_per_hour: 40,
        floor_cents_per_hour: 200,
        ceiling_cents_per_hour: 400,
        surplus_ticks: 0,
    };
    let cases = [
        (SpendInput { standing: 0, ..base }, SpendAction::StartStanding),
        (SpendInput { standing: 1, ..base }, SpendAction::StartStanding),
        (base, SpendAction::StartReclaimable),
        (SpendInput { reclaimable_available: false, ..base }, SpendAction::StartStanding),
        (SpendInput { reclaimable: 2, ..base }, SpendAction::Keep),
        (SpendInput { ceiling_cents_per_hour: 220, ..base }, SpendAction::Keep),
        (SpendInput { ceiling_cents_per_hour: 0, standing: 0, ..base }, SpendAction::Keep),
        (SpendInput { wanted: 2, reclaimable: 1, surplus_ticks: 4, ..base }, SpendAction::Keep),
        (SpendInput { wanted: 2, reclaimable: 1, surplus_ticks: 5, ..base }, SpendAction::StopReclaimable),
        (SpendInput { wanted: 1, standing: 3, surplus_ticks: 5, ..base }, SpendAction::StopStanding),
        (SpendInput { wanted: 1, standing: 2, surplus_ticks: 5, ..base }, SpendAction::Keep),
    ];
    for (input, expected) in cases {
        assert_eq!(SpendPlanner.next_action(&input), expected, "{input:?}");
    }
}

/// The planner must reach a stable state instead of starting and stopping upstreams forever, and must never exceed the
/// maximum spend on the way.
#[test]
fn the_spend_planner_reaches_a_stable_state_within_the_maximum() {
    for wanted in 0..6 {
        for floor in [0, 150, 300] {
            for available in [false, true] {
                let mut input = SpendInput {
                    wanted,
                    standing_min: wanted.min(1),
                    reclaimable_available: available,
                    standing_cents_per_hour: 100,
                    reclaimable_cents_per_hour: 40,
                    floor_cents_per_hour: floor,
                    ceiling_cents_per_hour: 420,
                    surplus_ticks: 9,
                    ..SpendInput::default()
                };
                let stable = (0..50).any(|_| {
                    let action = SpendPlanner.next_action(&input);
                    match action {
                        SpendAction::StartStanding => input.standing += 1,
                        SpendAction::StartReclaimable => input.reclaimable += 1,
                        SpendAction::StopStanding => input.standing -= 1,
                        SpendAction::StopReclaimable => input.reclaimable -= 1,
                        SpendAction::Keep => {}
                    }
                    assert!(SpendPlanner::current_spend(&input) <= input.ceiling_cents_per_hour, "{input:?}");
                    action == SpendAction::Keep
                });
                assert!(stable, "wanted {wanted}, floor {floor}, available {available}: {input:?}");
            }
        }
    }
}

#[test]
fn rendezvous_owners_match_the_ranking_and_move_only_from_a_removed_member() {
    let members: Vec<String> = (0..10).map(|member| format!("entry-{member}")).collect();
    let remaining: Vec<String> = members[1..].to_vec();
    let mut moved = 0;
    for key in 0..1_000 {
        let key = format!("key-{key}");
        let before = highest_ranked(&key, &members).expect("an owner");
        assert_eq!(rank(&key, &members)[0], before);
        let after = highest_ranked(&key, &remaining).expect("an owner");
        moved += usize::from(before != after);
        assert!(before == after || *before == "entry-0");
    }
    assert!((60..=140).contains(&moved), "{moved} of 1000 keys moved when one of ten members was removed");
}

fn member(name: &str, incarnation: u64) -> MemberEntry {
    MemberEntry {
        name: name.into(),
        incarnation,
        failure_domain: "a".into(),
        control_address: "127.0.0.1:1".into(),
        state: MemberState::Alive,
        heard_at: TimePoint(0),
    }
}

#[test]
fn an_unresponsive_member_is_suspected_then_failed_and_can_become_alive_again() {
    let mut table = MemberTable::new("me".into(), "a".into());
    table.peer_seen(member("other", 1), TimePoint(0));
    let state = |table: &MemberTable| table.get("other").expect("known").state;
    table.tick(TimePoint(3_000));
    assert_eq!(state(&table), MemberState::Alive);
    table.tick(TimePoint(3_001));
    assert_eq!(state(&table), MemberState::Suspect);
    assert_eq!(table.active_names().len(), 2, "a suspected member must stay active");
    table.tick(TimePoint(6_001));
    assert_eq!(state(&table), MemberState::Failed);
    assert_eq!(table.active_names().len(), 1);
    assert_eq!(table.possibly_running_names().len(), 1, "a failed member may still be running");
    table.peer_seen(member("other", 1), TimePoint(7_000));
    assert_eq!(state(&table), MemberState::Alive);
    table.process_ended(&"other".into(), TimePoint(8_000));
    assert!(table.possibly_running_names().is_empty());
    table.member_reported(&member("other", 1), TimePoint(8_000));
    assert_eq!(state(&table), MemberState::Ended, "a report by a peer must not revive an ended process");
    table.peer_seen(member("other", 2), TimePoint(9_000));
    assert_eq!(state(&table), MemberState::Alive);
    table.peer_seen(member("other", 1), TimePoint(9_500));
    assert_eq!(table.get("other").expect("known").incarnation, 2, "an older process must not replace a newer one");
}

/// Guards against a daemon that is taken for running because an answer that it sent before its end arrives late.
#[test]
fn a_late_answer_neither_revives_an_ended_process_nor_makes_it_older() {
    let state = |table: &MemberTable| table.get("other").expect("known").state;
    let mut table = MemberTable::new("one".into(), "a".into());
    table.peer_seen(member("other", 1), TimePoint(5_000));
    table.peer_seen(MemberEntry { state: MemberState::Leaving, ..member("other", 1) }, TimePoint(6_000));
    table.peer_seen(member("other", 1), TimePoint(4_000));
    assert_eq!((state(&table), table.get("other").expect("known").heard_at), (MemberState::Leaving, TimePoint(6_000)));
    table.process_ended(&"other".into(), TimePoint(7_000));
    table.peer_seen(member("other", 1), TimePoint(6_900));
    assert_eq!(state(&table), MemberState::Ended);
    table.peer_seen(member("other", 1), TimePoint(7_100));
    assert_eq!(state(&table), MemberState::Alive, "it was seen after it seemed to have ended");
}

#[test]
fn refusal_codes_are_unique_and_statuses_are_errors() {
    let mut codes: Vec<&str> = RefusalReason::ALL.iter().map(|reason| reason.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), RefusalReason::ALL.len());
    assert!(RefusalReason::ALL.iter().all(|reason| (400..600).contains(&reason.status())));
}

/// Daemons that have recorded the same processes must have equal digests, or they would keep sending each other their
/// member lists.
#[test]
fn daemons_with_the_same_members_have_equal_digests() {
    let mut one = MemberTable::new("one".into(), "a".into());
    let mut two = MemberTable::new("two".into(), "b".into());
    one.peer_seen(member("two", 2), TimePoint(0));
    two.peer_seen(member("one", 1), TimePoint(0));
    assert_eq!(one.digest(1), two.digest(2));
    two.peer_seen(member("three", 3), TimePoint(0));
    assert_ne!(one.digest(1), two.digest(2));
}

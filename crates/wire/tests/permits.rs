//! Tests of the messages by which daemons exchange permits.

use pimentoslip_kernel::{
    ColdPeriod, GrantedPermit, LimitObservation, PermitAnswer, PermitAsk, PermitWant, RateLimit, RequestUrgency,
    TimePoint,
};
use pimentoslip_wire::{
    decode, encode,
    peer::{AnswerBody, AskBody, ObservationBody, PermitRequest, PermitResponse},
};

/// Bytes of a message about one upstream. With its headers, twenty such requests and responses a second stay within the
/// budget of a daemon; see docs/CAPACITY.md.
const MESSAGE_BYTES_MAX: usize = 150;

fn observation(millihertz: u64, seen_at: u64) -> LimitObservation {
    LimitObservation { limit: Some(RateLimit::from_millihertz(millihertz)), seen_at: TimePoint(seen_at), cold: None }
}

/// Guards against times that are read by the clock of the other daemon.
#[test]
fn a_request_for_permits_keeps_its_ages_and_waits_between_clocks() {
    let want = PermitWant { urgency: RequestUrgency::of_item(2), count: 12, useful_until: TimePoint(5_400) };
    let ask = PermitAsk {
        upstream: "i-1b2549e75a".into(),
        started_unix_ms: 1_769_595_826_007,
        observation: observation(3_400, 4_900),
        wants: vec![want],
    };
    let request = PermitRequest { asks: vec![AskBody::from_ask(&ask, TimePoint(5_000))] };
    let bytes = encode(&request).expect("an encodable message");
    assert!(bytes.len() <= MESSAGE_BYTES_MAX, "{} bytes", bytes.len());
    let received: PermitRequest = decode(&bytes).expect("a message");
    let received_ask = received.asks[0].clone().into_ask(TimePoint(90_000));
    let expected_want = PermitWant { useful_until: TimePoint(90_400), ..want };
    assert_eq!(received_ask, PermitAsk { observation: observation(3_400, 89_900), wants: vec![expected_want], ..ask });
}

/// Guards against permits that a delayed message, or one with absurd times, makes valid for longer.
#[test]
fn granted_permits_count_from_the_time_of_the_request() {
    let permit = GrantedPermit { urgency: RequestUrgency::of_caller(1), usable_from: TimePoint(1_250) };
    let answer = PermitAnswer {
        upstream: "i-1b2549e75a".into(),
        started_unix_ms: 1_769_595_826_007,
        observation: observation(1_000, 990),
        permits: vec![permit],
        blocked: Some((permit.urgency, TimePoint(1_900))),
    };
    let mut body = AnswerBody::from_answer(&answer, TimePoint(1_000));
    let bytes = encode(&PermitResponse { answers: vec![body.clone()] }).expect("an encodable message");
    assert!(bytes.len() <= MESSAGE_BYTES_MAX, "{} bytes", bytes.len());
    let received = body.clone().into_answer(TimePoint(70_000));
    assert_eq!(received.permits[0].usable_from, TimePoint(70_250));
    assert_eq!(received.blocked, Some((permit.urgency, TimePoint(70_900))));
    assert_eq!(received.observation.seen_at, TimePoint(69_990));
    body.permits[0].after_ms = u64::MAX;
    body.seen.age_ms = u64::MAX;
    let absurd = body.into_answer(TimePoint(70_000));
    assert!(absurd.permits[0].usable_from <= TimePoint(130_000));
    assert_eq!(absurd.observation.seen_at, TimePoint(0));
}

/// Guards against a daemon that has had no response of an upstream, and so revokes a limit that others know, and against
/// the messages of daemons that send no cold periods.
#[test]
fn a_cold_period_is_passed_on_without_a_response() {
    let period = ColdPeriod { limit: RateLimit::from_millihertz(9_800), until: TimePoint(7_000) };
    let observation = LimitObservation { limit: None, seen_at: TimePoint(0), cold: Some(period) };
    let ask = PermitAsk { upstream: "u".into(), started_unix_ms: 1, observation, wants: Vec::new() };
    let bytes = encode(&AskBody::from_ask(&ask, TimePoint(5_000))).expect("an encodable message");
    let received = decode::<AskBody>(&bytes).expect("a message").into_ask(TimePoint(90_000)).observation;
    assert_eq!(received.seen_at, TimePoint(0));
    assert_eq!(received.cold, Some(ColdPeriod { until: TimePoint(92_000), ..period }));

    #[derive(serde::Serialize)]
    struct PreviousBody {
        limit: Option<u64>,
        age_ms: u64,
    }
    let bytes = encode(&PreviousBody { limit: Some(3_400), age_ms: 100 }).expect("an encodable message");
    assert_eq!(decode::<ObservationBody>(&bytes).expect("a message of the previous build").cold, None);
}

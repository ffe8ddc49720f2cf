//! Tests of the messages by which daemons relay requests to upstreams for each other.

use pimentoslip_wire::{
    decode, encode,
    peer::{HeaderBody, ReachRequest, RelaySender, RelayedCall},
};
use serde_bytes::ByteBuf;

/// Bytes that a relayed request has beyond its path, headers and body: at most as many as the head of an ordinary request.
const OVERHEAD_BYTES_MAX: usize = 350;
/// Bytes of a question whether a peer reaches an upstream. Two peers are asked twice a second for each doubtful path.
const REACH_BYTES_MAX: usize = 150;

/// Guards against relayed requests that arrive changed, or cost more bytes than the capacity plan allows.
#[test]
fn a_relayed_request_arrives_unchanged_within_its_budget_of_bytes() {
    let body = ByteBuf::from((0..=u8::MAX).collect::<Vec<u8>>());
    let header = HeaderBody { name: "model".to_owned(), value: ByteBuf::from(b"verse \xff".to_vec()) };
    let call = RelayedCall {
        sender: RelaySender {
            daemon: "edge-huamanga-1".into(),
            incarnation: 1_769_595_826_007,
            token: "0123456789abcdef0123456789abcdef".into(),
            number: 1 << 40,
        },
        upstream: "i-1b2549e75a".into(),
        started: 1_769_595_826_007,
        id: "9c41d07be2a35f68".into(),
        method: "POST".to_owned(),
        path: "/quote/roses?n=1".to_owned(),
        host: "ficu95.example".into(),
        headers: vec![header.clone()],
        organisation: Some("hule930".into()),
        last_event: Some(7),
        left_ms: 1_500,
        body: body.clone(),
    };
    let bytes = encode(&call).expect("an encodable message");
    let overhead = bytes.len() - body.len() - header.name.len() - header.value.len() - call.path.len();
    assert!(overhead <= OVERHEAD_BYTES_MAX, "{overhead} bytes");
    assert_eq!(decode::<RelayedCall>(&bytes).expect("a message"), call);
    let question = ReachRequest { upstream: call.upstream, started: call.started, address: "10.1.64.107:8068".into() };
    let question_bytes = encode(&question).expect("an encodable message").len();
    assert!(question_bytes <= REACH_BYTES_MAX, "{question_bytes} bytes");
}

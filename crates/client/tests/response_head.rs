//! Tests of the preparation of response heads: whatever way the bytes arrive, the HTTP library gets the same ones.

use bytes::BytesMut;
use pimentoslip_client::{ExchangeLog, ResponseHead};

/// Received bytes, and what the HTTP library gets.
const CASES: [(&str, &str); 12] = [
    ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    ("HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nwhole", "HTTP/1.0 200 OK\r\nrequest-id: a\r\n\r\nwhole"),
    ("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"),
    ("HTTP/1.1 503 Busy\r\nx: content-length\r\n\r\n", "HTTP/1.0 503 Busy\r\nx: content-length\r\n\r\n"),
    ("HTTP/1.1 204 None\r\n\r\n", "HTTP/1.1 204 None\r\n\r\n"),
    ("HTTP/1.1 304 Same\r\n\r\n", "HTTP/1.1 304 Same\r\n\r\n"),
    ("HTTP/1.1 101 Other\r\n\r\nbytes", "HTTP/1.1 000 Other\r\n\r\nbytes"),
    ("HTTP/1.0 200 OK\r\n\r\nwhole", "HTTP/1.0 200 OK\r\n\r\nwhole"),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole",
        "HTTP/1.0 200 OK\r\n\r\nwhole",
    ),
    ("garbage\r\n\r\nmore", "garbage\r\n\r\nmore"),
    ("HTTP/1.1 \r\n\r\n", "HTTP/1.0 \r\n\r\n"),
];

/// What the HTTP library gets of `received` if it arrives in blocks of `block_bytes`.
fn passed_on(received: &[u8], block_bytes: usize) -> Vec<u8> {
    let mut head = Some(ResponseHead::default());
    let mut passed = Vec::new();
    for block in received.chunks(block_bytes) {
        match &mut head {
            Some(collected) => {
                if let Some(prepared) = collected.add(block, None) {
                    passed.extend_from_slice(&prepared);
                    head = None;
                }
            }
            None => passed.extend_from_slice(block),
        }
    }
    if let Some(mut collected) = head {
        passed.extend_from_slice(&collected.take());
    }
    passed
}

#[test]
fn a_head_is_prepared_alike_whatever_blocks_it_arrives_in() {
    for (received, expected) in CASES {
        for block_bytes in 1..=received.len() {
            let passed = passed_on(received.as_bytes(), block_bytes);
            assert_eq!(String::from_utf8_lossy(&passed), expected, "{received:?} in blocks of {block_bytes}");
        }
    }
}

#[test]
fn heads_without_end_are_passed_on_to_be_refused() {
    let mut head = ResponseHead::default();
    let blocks = (0..1_000).find_map(|number| head.add(&[b'a'; 1_024], None).map(|bytes| (number, bytes.len())));
    assert_eq!(blocks, Some((127, 128 << 10)));
}

/// Copies of the responses to the requests `a` and `b`, with a body, without one and without a length.
const COPIES: [&str; 5] = [
    "HTTP/1.1 503 Busy\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
    "HTTP/1.1 204 None\r\nrequest-id: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 304 Same\r\nrequest-id: a\r\ncontent-length: 3\r\n\r\n",
    "",
];

/// Guards against a copy that is passed on, or dropped with a part of the response behind it, because of how its bytes arrive.
#[test]
fn copies_of_earlier_responses_are_dropped_whatever_blocks_they_arrive_in() {
    let mut exchanges = ExchangeLog::new("request-id");
    for id in ["a", "b", "c"] {
        let request = format!("GET / HTTP/1.1\r\nrequest-id: {id}\r\n\r\n");
        exchanges.request_started(request.as_bytes()).expect("a new id");
    }
    let own = "HTTP/1.1 200 OK\r\nrequest-id: c\r\ncontent-length: 2\r\n\r\nok";
    for first in COPIES {
        for second in COPIES {
            let received = format!("{first}{second}{own}");
            for block_bytes in 1..=received.len() {
                let mut head = ResponseHead::default();
                let mut blocks = received.as_bytes().chunks(block_bytes);
                let prepared = blocks.find_map(|block| head.add(block, Some(&exchanges))).expect("the own response");
                let passed = [&prepared[..], &blocks.collect::<Vec<_>>().concat()].concat();
                assert_eq!(String::from_utf8_lossy(&passed), own, "{received:?} in blocks of {block_bytes}");
            }
        }
    }
}

/// Guards against a response of which as much is dropped as the copy of a response without a body announces.
#[test]
fn a_copy_is_not_dropped_where_its_length_may_not_be_that_of_a_body() {
    let mut exchanges = ExchangeLog::new("request-id");
    exchanges.request_started(b"HEAD / HTTP/1.1\r\nrequest-id: a\r\n\r\n").expect("a new id");
    exchanges.request_started(b"GET / HTTP/1.1\r\nrequest-id: b\r\n\r\n").expect("a new id");
    let copy = "HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 5\r\n\r\n";
    let passed = ResponseHead::default().add(copy.as_bytes(), Some(&exchanges));
    assert_eq!(passed.as_deref(), Some(copy.as_bytes()));
}

/// Guards against an endless wait for the rest of a copy, and against a length that overflows.
#[test]
fn a_copy_that_announces_more_than_a_head_may_have_is_passed_on() {
    let mut exchanges = ExchangeLog::new("request-id");
    for id in ["a", "b"] {
        let request = format!("GET / HTTP/1.1\r\nrequest-id: {id}\r\n\r\n");
        exchanges.request_started(request.as_bytes()).expect("a new id");
    }
    let copy = |length: usize| format!("HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: {length}\r\n\r\n");
    for length in [128 << 10, usize::MAX] {
        let mut head = ResponseHead::default();
        assert!(head.add(copy(0).as_bytes(), Some(&exchanges)).is_none());
        assert_eq!(head.add(copy(length).as_bytes(), Some(&exchanges)).as_deref(), Some(copy(length).as_bytes()));
    }
}

/// Guards against a connection that is used again after a response whose copy could not be recognised, and against a log without end.
#[test]
fn a_response_is_the_last_one_of_its_connection_if_its_copy_could_be_mistaken() {
    let is_last = |exchanges: &ExchangeLog, id_line: &str| {
        let mut response = BytesMut::from(format!("HTTP/1.1 503 Busy\r\n{id_line}\r\n").as_bytes());
        exchanges.response_received(&mut response);
        response.ends_with(b"connection: close\r\n\r\n")
    };
    let mut exchanges = ExchangeLog::new("request-id");
    let request = |id: &str| format!("GET / HTTP/1.1\r\nrequest-id: {id}\r\n\r\n").into_bytes();
    exchanges.request_started(b"GET / HTTP/1.1\r\n\r\n").expect("a request without an id");
    assert!(!is_last(&exchanges, ""), "nothing is known of a request without an id");
    exchanges.request_started(&request("first")).expect("a new id");
    assert!(!is_last(&exchanges, "request-id: first\r\n"));
    assert!(is_last(&exchanges, "") && is_last(&exchanges, "request-id: other\r\n"));
    assert!(exchanges.request_started(&request("first")).is_err());
    let carried = (1..10_000).find(|number| {
        exchanges.request_started(&request(&number.to_string())).expect("a new id");
        is_last(&exchanges, &format!("request-id: {number}\r\n"))
    });
    assert_eq!(carried, Some(255), "with the first one, 256 requests");
}

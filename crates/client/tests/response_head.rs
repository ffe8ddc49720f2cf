//! Tests of the preparation of response heads: whatever way the bytes arrive, the HTTP library gets the same ones.

use pimentoslip_client::ResponseHead;

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
                if let Some(prepared) = collected.add(block) {
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
    let blocks = (0..1_000).find_map(|number| head.add(&[b'a'; 1_024]).map(|bytes| (number, bytes.len())));
    assert_eq!(blocks, Some((127, 128 << 10)));
}

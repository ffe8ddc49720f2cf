//! Tests of responses whose status is none, from any server: upstreams, peers, the store and the provider are called by the same
//! clients.

use pimentoslip_client::{client_with_tcp_user_timeout, plain_client, plain_upstream_client, upstream_client};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

/// Responses that are none.
const RESPONSES: [&str; 21] = [
    "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 101 X\r\n\r\nok",
    "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 600 X\r\n\r\n",
    "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.0 100 X\r\n\r\n",
    "HTTP/1.0 600 X\r\n\r\nok",
    "HTTP/1.1 600\n\n",
    "\r\nHTTP/1.1 600 X\r\n\r\nok",
    "HTTP/1.1 2000 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 20 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 2xx X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 +20 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1  X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 204 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 204 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 304 X\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 204 X\r\n\r\nok",
    "HTTP/1.1 1000 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 1xx X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
];

/// Starts a server that answers each request with `response` and closes the connection.
fn serve(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    address
}

#[actix_rt::test]
async fn a_response_whose_status_is_none_is_an_error_for_every_client() {
    let timeout = Duration::from_secs(5);
    let clients = [
        plain_client(),
        plain_upstream_client("id"),
        client_with_tcp_user_timeout(timeout),
        upstream_client(timeout, timeout, "id"),
    ];
    let mut taken = Vec::new();
    for response in RESPONSES {
        let address = serve(response);
        for client in &clients {
            if let Ok(taken_response) = client.get(format!("http://{address}/")).send().await {
                taken.push(format!("{response:?} is taken for {}", taken_response.status()));
            }
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}

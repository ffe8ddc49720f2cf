//! Requests and copies of answers on kept connections: what is concluded from a response is true of the request that got it, no refusal
//! is lost, and only a connection that could mislead is given up.

use actix_rt::{
    System, SystemRunner,
    net::{TcpListener, TcpStream},
};
use awc::{Client, error::SendRequestError};
use pimentoslip_client::{is_unsent, upstream_client};
use pimentoslip_edge::{AttemptFailure, check_response};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sequences of requests.
const SEQUENCES: u64 = 2_000;
/// Requests of a sequence at most.
const LENGTH: usize = 12;
const SEED: u64 = 56;
const ID_HEADER: &str = "request-id";
/// Bound on any wait; only a test that fails reaches it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    Refused(u16),
    Failed,
    Whole { is_chunked: bool },
}

/// An earlier answer that is sent again, counted back from the latest one on the connection.
#[derive(Clone, Copy, Debug)]
enum Copies {
    None,
    /// Before the answer to the request.
    Before(usize),
    /// Two of them before the answer.
    TwoBefore(usize, usize),
    /// Together with the answer.
    Behind(usize),
    /// The refusal of a request that the connection has not carried, before the answer.
    Foreign,
}

/// One send of a request.
#[derive(Clone, Copy, Debug)]
struct Send {
    id: u8,
    truth: Truth,
    is_named: bool,
    copies: Copies,
}

impl Arbitrary for Send {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let truths = [
            Truth::Refused(503),
            Truth::Refused(429),
            Truth::Refused(421),
            Truth::Refused(400),
            Truth::Failed,
            Truth::Whole { is_chunked: false },
            Truth::Whole { is_chunked: false },
            Truth::Whole { is_chunked: true },
        ];
        let mut back = || *gen_.choose(&[0, 0, 1, 2]).unwrap_or(&0);
        let copies = [
            Copies::None,
            Copies::None,
            Copies::Before(back()),
            Copies::TwoBefore(back(), back()),
            Copies::Behind(back()),
            Copies::Foreign,
        ];
        Self {
            id: *gen_.choose(&[1, 2, 3, 4, 5]).unwrap_or(&1),
            truth: *gen_.choose(&truths).unwrap_or(&Truth::Failed),
            is_named: *gen_.choose(&[true, true, true, false]).unwrap_or(&true),
            copies: *gen_.choose(&copies).unwrap_or(&Copies::None),
        }
    }
}

/// What is concluded from the response to a send.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Conclusion {
    NotRun,
    Failed,
    Answered(String),
    Unknown,
}

/// State that the server shares with the test.
#[derive(Default)]
struct Server {
    next: Option<(usize, Send)>,
    /// Whether a response preceded the latest answer that is not dropped: a copy without a length, or that to an unknown request.
    is_ambiguous: bool,
    connections: usize,
    open_connections: usize,
}

/// Answer to the send with the number `number`.
fn answer(number: usize, send: Send) -> String {
    let id_line = if send.is_named { format!("{ID_HEADER}: {}\r\n", send.id) } else { String::new() };
    let body = format!("answer {number}");
    match send.truth {
        Truth::Refused(status) => {
            format!("HTTP/1.1 {status} X\r\nnot-executed: 1\r\n{id_line}content-length: 0\r\n\r\n")
        }
        Truth::Failed => format!("HTTP/1.1 500 X\r\n{id_line}content-length: {}\r\n\r\n{body}", body.len()),
        Truth::Whole { is_chunked: false } => {
            format!("HTTP/1.1 200 OK\r\n{id_line}content-length: {}\r\n\r\n{body}", body.len())
        }
        Truth::Whole { is_chunked: true } => {
            format!(
                "HTTP/1.1 200 OK\r\n{id_line}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            )
        }
    }
}

/// Serves one connection until the client closes it.
async fn serve(mut stream: TcpStream, server: &RefCell<Server>) -> Option<()> {
    let (mut received, mut answers) = (Vec::new(), Vec::<String>::new());
    loop {
        while !received.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
        }
        received.clear();
        let (number, send) = server.borrow().next?;
        let copy = |back: usize| answers.iter().rev().nth(back).cloned().unwrap_or_default();
        let (before, behind) = match send.copies {
            Copies::None => (String::new(), String::new()),
            Copies::Before(back) => (copy(back), String::new()),
            Copies::TwoBefore(first, second) => (copy(first) + &copy(second), String::new()),
            Copies::Behind(back) => (String::new(), copy(back)),
            Copies::Foreign => (
                format!("HTTP/1.1 503 X\r\nnot-executed: 1\r\n{ID_HEADER}: foreign\r\ncontent-length: 0\r\n\r\n"),
                String::new(),
            ),
        };
        server.borrow_mut().is_ambiguous = before.contains("chunked") || before.contains("foreign");
        let own = answer(number, send);
        // The client reads the copy by itself.
        stream.write_all(before.as_bytes()).await.ok()?;
        actix_rt::task::yield_now().await;
        stream.write_all((own.clone() + &behind).as_bytes()).await.ok()?;
        answers.push(own);
    }
}

/// Starts the server.
async fn start_server() -> (SocketAddr, Rc<RefCell<Server>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = Rc::new(RefCell::new(Server::default()));
    let accepting = server.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("answers that are sent at once");
            let server = accepting.clone();
            server.borrow_mut().connections += 1;
            server.borrow_mut().open_connections += 1;
            actix_rt::spawn(async move {
                serve(stream, &server).await;
                server.borrow_mut().open_connections -= 1;
            });
        }
    });
    (address, server)
}

/// Sends a request until a connection carries it. Returns the conclusion, and how many connections did not.
async fn conclude(client: &Client, address: SocketAddr, id: &str) -> (Conclusion, usize) {
    let mut passed_over = 0;
    let sent = loop {
        let request = client.get(format!("http://{address}/")).timeout(TIMEOUT).insert_header((ID_HEADER, id));
        match request.send().await {
            Err(error) if is_unsent(&error) => passed_over += 1,
            sent => break sent,
        }
    };
    (conclusion(sent, id).await, passed_over)
}

async fn conclusion<S>(sent: Result<awc::ClientResponse<S>, SendRequestError>, id: &str) -> Conclusion
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(mut response) = sent else { return Conclusion::Unknown };
    match check_response(id, response.status(), response.headers()).map_err(|error| error.failure) {
        Err(AttemptFailure::Refused | AttemptFailure::Misdirected) => return Conclusion::NotRun,
        Err(_) => return Conclusion::Unknown,
        Ok(()) => {}
    }
    let Ok(body) = response.body().await else { return Conclusion::Unknown };
    if response.status().is_success() {
        return Conclusion::Answered(String::from_utf8_lossy(&body).into_owned());
    }
    Conclusion::Failed
}

/// Conclusion that is true of a send.
fn true_conclusion(number: usize, send: Send) -> Conclusion {
    match send.truth {
        Truth::Refused(_) => Conclusion::NotRun,
        // Only a refusal is accepted without an id.
        _ if !send.is_named => Conclusion::Unknown,
        Truth::Failed => Conclusion::Failed,
        Truth::Whole { .. } => Conclusion::Answered(format!("answer {number}")),
    }
}

/// Waits until the client has closed all connections but one.
async fn wait_for_closes(server: &RefCell<Server>, open_max: usize) -> bool {
    let closed = async {
        while server.borrow().open_connections > open_max {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    };
    actix_rt::time::timeout(TIMEOUT, closed).await.is_ok()
}

async fn check_sequence(sends: Vec<Send>) -> Result<(), String> {
    let (address, server) = start_server().await;
    let client = upstream_client(TIMEOUT, TIMEOUT, ID_HEADER);
    // Connections that the client had a reason to give up.
    let mut given_up = 0;
    for (number, send) in sends.into_iter().take(LENGTH).enumerate() {
        server.borrow_mut().next = Some((number, send));
        let (conclusion, passed_over) = conclude(&client, address, &send.id.to_string()).await;
        let expected = true_conclusion(number, send);
        let is_ambiguous = conclusion == Conclusion::Unknown && server.borrow().is_ambiguous;
        if conclusion != expected && !is_ambiguous {
            return Err(format!("send {number}, {send:?}: {conclusion:?}, not {expected:?}"));
        }
        let is_misleading = !send.is_named || conclusion == Conclusion::Unknown;
        let may_have_rest = matches!(send.copies, Copies::Behind(_)) || server.borrow().is_ambiguous;
        given_up += passed_over + usize::from(is_misleading || may_have_rest);
        if is_misleading && !wait_for_closes(&server, 0).await {
            return Err(format!("send {number}, {send:?}: its connection stays open"));
        }
        if server.borrow().connections > given_up + 1 {
            return Err(format!("send {number}, {send:?}: {} connections", server.borrow().connections));
        }
    }
    Ok(())
}

/// Guards against a copy of an answer that decides about another send, against refusals that are lost to the defence, and against
/// connections that are given up without a reason.
#[test]
fn a_response_decides_only_about_its_own_request() {
    thread_local! {
        static SYSTEM: SystemRunner = System::new();
    }
    fn holds(sends: Vec<Send>) -> Result<(), String> {
        SYSTEM.with(|system| system.block_on(check_sequence(sends)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(LENGTH, SEED))
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .quickcheck(holds as fn(Vec<Send>) -> Result<(), String>);
}

//! Server that answers requests with given bytes, whether or not they are an answer.

use actix_rt::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

/// Largest block that is sent at once of bytes that are repeated without end.
const BLOCK_BYTES: usize = 16 << 10;

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnding {
    /// The connection is closed after all bytes were sent.
    Closed,
    /// The connection is reset.
    Reset,
}

/// Bytes sent after each request. `{id}` stands for the id of the request.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// Sent once.
    pub first: String,
    /// Bytes of `first` that are sent; all for `None`.
    pub cut_at: Option<usize>,
    /// Sent again and again until the connection is closed; nothing if empty.
    pub repeated: String,
    /// Pause before each repetition; without a pause, repetitions are sent as fast as possible.
    pub pause: Duration,
    /// Whether `repeated` is sent once only.
    pub is_finite: bool,
    /// How the connection ends after the bytes were sent once; it stays open for `None`.
    pub ending: Option<RawEnding>,
}

/// What a server has observed.
#[derive(Debug, Default)]
struct Observed {
    requests: Vec<String>,
    open_connections: usize,
    repeated_bytes: usize,
}

/// A running server.
pub struct RawServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    observed: Arc<Mutex<Observed>>,
    stopped: watch::Sender<bool>,
}

fn lock(observed: &Mutex<Observed>) -> MutexGuard<'_, Observed> {
    observed.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RawServer {
    /// Starts a server on the current runtime, at a free loopback port.
    pub async fn start(answer: RawAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
        let address = listener.local_addr().expect("the address of the listener");
        let observed = Arc::new(Mutex::new(Observed::default()));
        let state = observed.clone();
        let (stopped, stop_watch) = watch::channel(false);
        actix_rt::spawn(async move {
            let mut accept_watch = stop_watch.clone();
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (answer, state, mut stop_watch) = (answer.clone(), state.clone(), stop_watch.clone());
                    actix_rt::spawn(async move {
                        lock(&state).open_connections += 1;
                        tokio::select! {
                            () = serve(stream, &answer, &state) => {}
                            () = wait_for_stop(&mut stop_watch) => {}
                        }
                        lock(&state).open_connections -= 1;
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                () = wait_for_stop(&mut accept_watch) => {}
            }
        });
        Self { address, observed, stopped }
    }

    /// Closes all connections and refuses new ones.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Ids of the requests received so far.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.observed).requests.clone()
    }

    /// Number of bytes sent by repetitions.
    pub fn repeated_bytes(&self) -> usize {
        lock(&self.observed).repeated_bytes
    }

    /// Number of connections on which an answer is being sent or a request is awaited.
    pub fn open_connections(&self) -> usize {
        lock(&self.observed).open_connections
    }
}

/// Waits until the server is stopped; for ever if it is dropped before.
async fn wait_for_stop(stop_watch: &mut watch::Receiver<bool>) {
    if stop_watch.wait_for(|is_stopped| *is_stopped).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves one connection until either side closes it.
async fn serve(mut stream: TcpStream, answer: &RawAnswer, observed: &Mutex<Observed>) {
    let mut received = Vec::new();
    while let Some(id) = read_request(&mut stream, &mut received).await {
        lock(observed).requests.push(id.clone());
        let first = answer.first.replace("{id}", &id);
        let sent_bytes = answer.cut_at.unwrap_or(first.len()).min(first.len());
        if stream.write_all(&first.as_bytes()[..sent_bytes]).await.is_err() {
            return;
        }
        let unit = answer.repeated.replace("{id}", &id);
        let copies =
            if answer.is_finite || !answer.pause.is_zero() { 1 } else { BLOCK_BYTES.div_ceil(unit.len().max(1)) };
        let block = unit.repeat(copies);
        while !unit.is_empty() {
            actix_rt::time::sleep(answer.pause).await;
            if stream.write_all(block.as_bytes()).await.is_err() {
                return;
            }
            lock(observed).repeated_bytes += block.len();
            if answer.is_finite {
                break;
            }
        }
        match answer.ending {
            None => {}
            Some(RawEnding::Closed) => return,
            Some(RawEnding::Reset) => {
                // The bytes before the reset are received as well.
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
        }
    }
}

/// Reads the next request with its body, and returns its id; `None` once the connection is closed.
async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    Some(read_head(stream, received).await?.field("request-id:"))
}

/// Head of a request, in lower case.
#[derive(Clone, Debug)]
pub struct RequestHead(String);

impl RequestHead {
    /// Value of the field whose line starts with `name`; empty if it is missing.
    pub fn field(&self, name: &str) -> String {
        let value = self.0.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(String::new(), |value| value.trim().to_owned())
    }
}

/// Reads the next request with its body, and returns its head; `None` once the connection is closed.
pub async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<RequestHead> {
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = RequestHead(String::from_utf8_lossy(&received[..end]).to_ascii_lowercase());
            let request_bytes = end + 4 + head.field("content-length:").parse::<usize>().unwrap_or(0);
            if received.len() >= request_bytes {
                received.drain(..request_bytes);
                return Some(head);
            }
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

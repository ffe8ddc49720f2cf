//! Upstream that answers the first request with each id at once, and sends that answer once more when the next request arrives on the
//! same connection.

use super::raw_server::read_head;
use actix_rt::net::{TcpListener, TcpStream};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// When the copy of an answer is sent, seen from the request that it precedes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyMoment {
    /// There is no copy.
    Never,
    /// Before the request is read.
    BeforeRun,
    /// While the request runs.
    DuringRun,
}

/// Behaviour of a server.
#[derive(Clone, Debug)]
pub struct RepeatingOptions {
    /// Answer to the first request with each id, which is sent twice. `{id}` stands for the id of the request.
    pub first: String,
    /// Number of ids that are answered so; requests with further ids run.
    pub first_ids: usize,
    /// When the first answer is sent for the second time.
    pub moment: CopyMoment,
    /// Time for which later requests run.
    pub run_time: Duration,
    /// Answer to later requests.
    pub last: String,
}

/// Run of a request that was not answered with the first answer.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    /// Id of the request.
    pub id: String,
    /// When it began.
    pub began_at: Instant,
    /// When it was answered, or its connection was closed; `None` while it runs.
    pub ended_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Observed {
    /// Ids that were answered with the first answer.
    first_ids: BTreeSet<String>,
    runs: Vec<RecordedRun>,
}

/// A running server.
#[derive(Clone)]
pub struct RepeatingServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    observed: Arc<Mutex<Observed>>,
}

impl RepeatingServer {
    /// Starts a server on the current runtime, at a free loopback port.
    pub async fn start(options: RepeatingOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
        let address = listener.local_addr().expect("the address of the listener");
        let server = Self { address, observed: Arc::default() };
        let accepting = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, options) = (accepting.clone(), options.clone());
                actix_rt::spawn(async move { server.serve(stream, &options).await });
            }
        });
        server
    }

    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs so far, in order.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.observed().runs.clone()
    }

    /// Serves one connection until either side closes it.
    async fn serve(&self, mut stream: TcpStream, options: &RepeatingOptions) -> Option<()> {
        let (mut received, mut copy) = (Vec::new(), None);
        loop {
            let id = read_head(&mut stream, &mut received).await?.field("request-id:");
            if options.moment == CopyMoment::BeforeRun {
                send_copy(&mut stream, &mut copy).await?;
            }
            if self.is_first(&id, options) {
                let first = options.first.replace("{id}", &id);
                stream.write_all(first.as_bytes()).await.ok()?;
                copy = (options.moment != CopyMoment::Never).then_some(first);
                continue;
            }
            let index = {
                let mut observed = self.observed();
                observed.runs.push(RecordedRun { id: id.clone(), began_at: Instant::now(), ended_at: None });
                observed.runs.len() - 1
            };
            let answered = Self::run(&mut stream, &mut received, &mut copy, &id, options).await;
            self.observed().runs[index].ended_at = Some(Instant::now());
            answered?;
        }
    }

    /// Whether a request with the id `id` gets the first answer.
    fn is_first(&self, id: &str, options: &RepeatingOptions) -> bool {
        let ids = &mut self.observed().first_ids;
        ids.len() < options.first_ids && ids.insert(id.to_owned())
    }

    /// Runs a request and answers it; `None` if the connection is closed before. Bytes of later requests are kept in `received`.
    async fn run(
        stream: &mut TcpStream,
        received: &mut Vec<u8>,
        copy: &mut Option<String>,
        id: &str,
        options: &RepeatingOptions,
    ) -> Option<()> {
        for _ in 0..2 {
            let until_closed = async { while stream.read_buf(received).await.is_ok_and(|count| count > 0) {} };
            if actix_rt::time::timeout(options.run_time / 2, until_closed).await.is_ok() {
                return None;
            }
            send_copy(stream, copy).await?;
        }
        stream.write_all(options.last.replace("{id}", id).as_bytes()).await.ok()
    }
}

async fn send_copy(stream: &mut TcpStream, copy: &mut Option<String>) -> Option<()> {
    let Some(copy) = copy.take() else { return Some(()) };
    stream.write_all(copy.as_bytes()).await.ok()
}

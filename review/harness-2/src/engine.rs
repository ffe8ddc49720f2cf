//! Model samplers as processes of their own, which can be killed.

use crate::{
    http::{read_request, response_bytes, serve},
    site::Record,
};
use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Behaviour of a sampler process, from its arguments.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub id: String,
    pub events: u64,
    pub event_ms: u64,
    /// The number of the answer that has no length and ends with its connection; 0 for none.
    pub unframed_answer: u64,
}

/// Data of one event of an item.
pub fn event_data(item: &str, number: u64) -> String {
    format!("{item}.{number}")
}

/// The whole text of an item.
pub fn whole_text(item: &str, events: u64) -> String {
    (1..=events).map(|number| event_data(item, number)).collect::<Vec<_>>().join("\n")
}

/// Serves as a sampler until the process is killed. Tells what it does on its standard output.
pub fn run_engine(options: EngineOptions) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("listening {}", listener.local_addr()?);
    let options = Arc::new(options);
    let answers = Arc::new(AtomicU64::new(0));
    serve(listener, move |stream| serve_connection(&stream, &options, &answers).unwrap_or_default());
    // The parent holds the other end.
    let mut line = String::new();
    while io::stdin().read_line(&mut line)? > 0 {
        line.clear();
    }
    Ok(())
}

fn serve_connection(mut stream: &TcpStream, options: &EngineOptions, answers: &AtomicU64) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let id = request.header("request-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != options.id {
            stream.write_all(&response_bytes(421, &[("Request-Id", &id), ("Instance-Id", &options.id)], b""))?;
            continue;
        }
        if request.path() == "/pimentoslip/report" {
            let body = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"numWaiting\":0,\"numRunning\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}";
            stream.write_all(&response_bytes(200, &[("Content-Type", "application/json")], body.as_bytes()))?;
            continue;
        }
        if request.path() == "/health" {
            stream.write_all(&response_bytes(200, &[("Instance-Id", &options.id)], b""))?;
            continue;
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_unframed = number == options.unframed_answer;
        println!("{} {id} {after}", if is_unframed { "run-unframed" } else { "run" });
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nServer-Signature: signed-{id}\r\nWeight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=options.events {
            thread::sleep(Duration::from_millis(options.event_ms));
            let block = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
            let bytes = if is_unframed { block } else { format!("{:x}\r\n{block}\r\n", block.len()) };
            stream.write_all(bytes.as_bytes())?;
            if is_unframed {
                println!("event {id} {event}");
            }
        }
        println!("end {id}");
        if is_unframed {
            return Ok(());
        }
        stream.write_all(b"0\r\n\r\n")?;
    }
}

/// A sampler process with what it has told.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    pub fn start(options: &EngineOptions, record: &Arc<Record>) -> io::Result<Self> {
        let EngineOptions { id, events, event_ms, unframed_answer } = options.clone();
        let numbers = [events, event_ms, unframed_answer].map(|number| number.to_string());
        let mut child = Command::new(std::env::current_exe()?)
            .arg("engine")
            .arg(&id)
            .args(numbers)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut output = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
        let mut first = String::new();
        output.read_line(&mut first)?;
        let address = first.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address.ok_or(io::ErrorKind::InvalidData)?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (told, name, record) = (lines.clone(), id.clone(), record.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(format!("sampler {name}: {line}"));
                told.lock().expect("lines").push(line);
            }
        });
        Ok(Self { id, address, child, lines })
    }

    /// Number of lines that the process has told and that start with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lines.lock().expect("lines").iter().filter(|told| told.starts_with(prefix)).count()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

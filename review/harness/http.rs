//! HTTP/1.1: a server with one thread for each connection, and a client that uses a new connection for each request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
}

pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What a handler does with a connection.
pub enum Action {
    Reply(Reply),
    /// The answer is lost: the connection stays open and returns nothing more.
    Silence,
    /// The handler has written its answer itself, in chunks; false if the connection is lost.
    Written(bool),
}

pub type Handler = dyn Fn(&Request, &mut TcpStream) -> Action + Send + Sync;

/// Serves `listener` for as long as the process runs.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that its peer closes ends its thread.
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

/// Serves one connection until it is closed.
pub fn serve_connection(stream: TcpStream, handler: &Arc<Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut reader)? else { return Ok(()) };
        match handler(&request, &mut writer) {
            Action::Reply(reply) => write_reply(&mut writer, &reply)?,
            Action::Silence => loop {
                let mut byte = [0];
                if reader.read(&mut byte)? == 0 {
                    return Ok(());
                }
            },
            Action::Written(true) => {}
            Action::Written(false) => return Ok(()),
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    read_body(reader, &headers, false, &mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('=')).map(|(k, v)| (decode(k), decode(v)));
    Ok(Some(Request { method, path: path.to_owned(), query: query.collect(), headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    to_close: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match find(headers, "content-length").parse::<usize>() {
        Ok(length) => {
            body.resize(length, 0);
            reader.read_exact(body)?;
        }
        Err(_) if to_close => {
            reader.read_to_end(body)?;
        }
        Err(_) => {}
    }
    Ok(())
}

fn write_reply(writer: &mut TcpStream, reply: &Reply) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} x\r\n", reply.status);
    for (name, value) in &reply.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", reply.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&reply.body);
    writer.write_all(&bytes)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b'%'));
                at += 2;
            }
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a new connection. `None` if there was no complete answer within `wait`.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Reply> {
    send_stream(address, method, target, headers, body, wait)
        .filter(|(_, is_complete)| *is_complete)
        .map(|(reply, _)| reply)
}

/// Like [`send`], but also returns what came of an answer that broke off, and whether the answer is complete. `None` if not even
/// its head came.
pub fn send_stream(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<(Reply, bool)> {
    let exchange = || -> io::Result<(Reply, bool)> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        let mut head = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut reader)?;
        let mut body = Vec::new();
        let is_complete = read_body(&mut reader, &headers, true, &mut body).is_ok();
        Ok((Reply { status, headers, body }, is_complete))
    };
    exchange().ok()
}

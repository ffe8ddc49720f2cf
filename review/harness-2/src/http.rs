//! HTTP/1.1 over blocking sockets, as far as the cases need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that a server has read completely.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response that a client has read.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The decoded query parameter `name`; empty if it is missing.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
        value.map_or_else(String::new, |(_, value)| percent_decoded(value))
    }
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let code = (bytes[index] == b'%')
            .then(|| u8::from_str_radix(std::str::from_utf8(bytes.get(index + 1..index + 3)?).ok()?, 16).ok())
            .flatten();
        match (code, bytes[index]) {
            (Some(code), _) => {
                decoded.push(code);
                index += 2;
            }
            (None, b'+') => decoded.push(b' '),
            (None, byte) => decoded.push(byte),
        }
        index += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body by its length or its chunks; one with neither is empty in a request and ends with the connection in a response.
fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], is_request: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match find(headers, "content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Some(Err(_)) => return Err(io::ErrorKind::InvalidData.into()),
        None if is_request => {}
        None => {
            reader.read_to_end(&mut body)?;
        }
    }
    Ok(body)
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let target = words.nth(1).ok_or(io::ErrorKind::InvalidData)?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, true)?;
    Ok(Request { target, headers, body })
}

/// A whole response as bytes.
pub fn response_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves each connection of `listener` in a thread of its own, which ends with the process.
pub fn serve<H: Fn(TcpStream) + Send + Sync + 'static>(listener: TcpListener, handle: H) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Listens on a free loopback port.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout.saturating_sub(started.elapsed()).max(Duration::from_millis(1))))?;
    let mut client = Client { reader: BufReader::new(stream) };
    client.call(method, target, headers, body)
}

/// A client that sends all its requests on one connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn call(&mut self, method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Response> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.reader.get_mut().write_all(&[head.as_bytes(), body].concat())?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers, false)?;
        Ok(Response { status, body })
    }
}

//! The platform's store, as the users' pages describe it. It serves at once and loses nothing.

use crate::{
    http::{Request, listen, read_request, response_bytes, serve},
    json::{Json, quoted},
};
use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

const LEASE_CHECK: Duration = Duration::from_millis(20);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Item {
    /// Base64 text.
    value: Arc<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the item unless it was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.into(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends `lease` and removes its items.
    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        keys.iter().for_each(|key| self.remove(key));
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let list = |name: &str| body.get(name).map(Json::as_list).unwrap_or_default().to_vec();
        let text = |value: &Json, name: &str| value.get(name).and_then(Json::as_str).unwrap_or_default().to_owned();
        let number = |value: &Json, name: &str| value.get(name).and_then(Json::as_u64).unwrap_or(0);
        let (expected, puts, removed) = (list("expected"), list("puts"), list("remove"));
        if expected.len() + puts.len() + removed.len() > 32 {
            return (400, String::new());
        }
        if puts.iter().any(|put| number(put, "lease") > 0 && !self.leases.contains_key(&number(put, "lease"))) {
            return (404, String::new());
        }
        let is_met = expected
            .iter()
            .all(|row| self.items.get(&text(row, "key")).map_or(0, |item| item.revision) == number(row, "revision"));
        if !is_met {
            let keys = expected.iter().map(|row| text(row, "key"));
            let items: Vec<String> = keys.filter_map(|key| Some(item_json(&key, self.items.get(&key)?))).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        self.revision += 1;
        for put in &puts {
            self.put(&text(put, "key"), text(put, "value"), number(put, "lease"));
        }
        for key in &removed {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let (listener, address) = listen()?;
        let contents = Contents { revision: 1, next_lease: 1, ..Contents::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(contents), Condvar::new())) };
        let served = store.clone();
        serve(listener, move |stream| served.serve_connection(&stream).unwrap_or_default());
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                let now = Instant::now();
                let mut contents = expiring.lock();
                let ended: Vec<u64> =
                    contents.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(lease, _)| *lease).collect();
                ended.into_iter().for_each(|lease| contents.end_lease(lease));
                drop(contents);
                expiring.shared.1.notify_all();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.shared.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes an item as the operator or a sampler does.
    pub fn put(&self, key: &str, text: &str) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.put(key, base64(text.as_bytes()), 0);
        drop(contents);
        self.shared.1.notify_all();
    }

    /// Removes an item as a sampler does.
    pub fn remove(&self, key: &str) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.remove(key);
        drop(contents);
        self.shared.1.notify_all();
    }

    /// Number of items whose keys start with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn serve_connection(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let (status, body) = self.answer(&request);
            let mut writer = stream;
            writer.write_all(&response_bytes(status, &[("Content-Type", "application/json")], body.as_bytes()))?;
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().strip_prefix("/pimentoslip/").unwrap_or_default();
        let (name, argument) = path.split_once('/').unwrap_or((path, ""));
        let body = || Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let answer = match name {
            "kv-key" => {
                let contents = self.lock();
                let key = request.parameter("key");
                contents.items.get(&key).map_or((404, String::new()), |item| (200, item_json(&key, item)))
            }
            "kv-range" => self.range(&request.parameter("pathPrefix"), &request.parameter("after")),
            "kv-watch" => {
                let number = |name| request.parameter(name).parse().unwrap_or(0);
                self.watch(&request.parameter("pathPrefix"), number("after"), number("waitMs"))
            }
            "kv-txn" => self.lock().commit(&body()),
            "kv-lease" => {
                let ttl_ms = body().get("ttlMs").and_then(Json::as_u64).unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut contents = self.lock();
                let lease = contents.next_lease;
                contents.next_lease += 1;
                contents.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            "kv-keep" => {
                let lease = argument.parse().unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".to_owned())
                    }
                    None => (404, String::new()),
                }
            }
            "kv-lease-end" => {
                self.lock().end_lease(argument.parse().unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, String::new()),
        };
        self.shared.1.notify_all();
        answer
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let contents = self.lock();
        let matching = contents.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in matching {
            // One item is returned even if it is larger than a page.
            if items.len() >= PAGE_ITEMS || (!items.is_empty() && bytes + item.value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let revision = contents.revision;
        (200, format!("{{\"items\":[{}],\"morePages\":{has_more},\"asOf\":{revision}}}", items.join(",")))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut contents = self.lock();
        loop {
            let start = contents.changes.partition_point(|(revision, ..)| *revision <= after);
            let changes = contents.changes[start..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quoted(key)),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), contents.revision));
            }
            contents = self.shared.1.wait_timeout(contents, left).unwrap_or_else(|error| error.into_inner()).0;
        }
    }
}

/// Standard base64 text with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits =
            group.iter().enumerate().fold(0_u32, |bits, (index, byte)| bits | u32::from(*byte) << (16 - 8 * index));
        for digit in 0..4 {
            let is_used = digit <= group.len();
            text.push(if is_used { DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char } else { '=' });
        }
    }
    text
}

//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use crate::{
    http::{Action, Reply, Request, serve},
    json::{Json, base64, map, number, text},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const ENTRIES_PER_TXN: usize = 32;
const ITEMS_PER_PAGE: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` for a removed key.
    item: Option<Item>,
}

struct Lease {
    ends_at: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    /// Number of leases granted so far.
    granted: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { revision: self.revision, key: key.to_owned(), item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { revision: self.revision, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(&*item.value)),
        ("revision", number(item.revision)),
        ("createdRev", number(item.created)),
        ("lease", number(item.lease)),
    ])
}

/// Decides whether the answer to a call is lost; the call is carried out. Called with the address that was called.
pub type LossRule = dyn Fn(SocketAddr, &Request) -> bool + Send + Sync;

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    loses_answer: Mutex<Box<LossRule>>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let contents = Contents { revision: 1, ..Contents::default() };
        let store = Arc::new(Self {
            contents: Mutex::new(contents),
            changed: Condvar::new(),
            loses_answer: Mutex::new(Box::new(|_, _| false)),
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut contents = expiring.lock();
                let before = contents.revision;
                contents.expire();
                if contents.revision != before {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap()
    }

    pub fn set_loss_rule(&self, rule: impl Fn(SocketAddr, &Request) -> bool + Send + Sync + 'static) {
        *self.loses_answer.lock().unwrap() = Box::new(rule);
    }

    /// Opens one more address of the store.
    pub fn open(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        serve(
            listener,
            Arc::new(move |request, _| {
                thread::sleep(ANSWER_TIME);
                let reply = store.answer(request);
                let is_lost = (store.loses_answer.lock().unwrap())(address, request);
                if is_lost { Action::Silence } else { Action::Reply(reply) }
            }),
        );
        address
    }

    /// Writes an entry as the operator, a trainer or a sampler does.
    pub fn write(&self, key: &str, value: &Json) {
        self.lock().put(key, base64(value.encode().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an entry as the platform does.
    pub fn delete(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_all();
    }

    /// Versions of the weights that the samplers of models list.
    pub fn models_listed(&self) -> Vec<u64> {
        let contents = self.lock();
        let entries = contents.items.iter().filter(|(key, _)| key.starts_with("servers/"));
        let listed = entries.filter_map(|(_, item)| {
            let entry = Json::parse(&String::from_utf8(crate::json::decode_base64(&item.value)).ok()?)?;
            entry.get("models").list().first()?.get("version").number()
        });
        listed.collect()
    }

    /// Number of entries below `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().items.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix)).count()
    }

    fn answer(&self, request: &Request) -> Reply {
        let name = request.path.strip_prefix("/pimentoslip/").unwrap_or("");
        match (request.method.as_str(), name) {
            ("GET", "kv-key") => self.read_key(request),
            ("GET", "kv-range") => self.read_range(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.commit(request),
            ("POST", "kv-lease") => self.grant(request),
            ("POST", _) if name.starts_with("kv-keep/") => self.renew(&name["kv-keep/".len()..]),
            ("DELETE", _) if name.starts_with("kv-lease-end/") => {
                let lease = name["kv-lease-end/".len()..].parse().unwrap_or(0);
                self.lock().end_lease(lease);
                self.changed.notify_all();
                json_reply(200, &map([]))
            }
            _ => Reply::new(404),
        }
    }

    fn read_key(&self, request: &Request) -> Reply {
        let contents = self.lock();
        let key = request.parameter("key");
        match contents.items.get(key) {
            Some(item) => {
                let Json::Map(mut fields) = item_json(key, item) else { unreachable!() };
                fields.push(("asOf".to_owned(), number(contents.revision)));
                json_reply(200, &Json::Map(fields))
            }
            None => Reply::new(404),
        }
    }

    fn read_range(&self, request: &Request) -> Reply {
        let contents = self.lock();
        let (prefix, after) = (request.parameter("pathPrefix"), request.parameter("after"));
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        let matching = contents.items.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix));
        for (key, item) in matching.filter(|(key, _)| key.as_str() > after) {
            if items.len() >= ITEMS_PER_PAGE || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let page = map([
            ("items", Json::List(items)),
            ("morePages", Json::Bool(has_more)),
            ("asOf", number(contents.revision)),
        ]);
        json_reply(200, &page)
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("pathPrefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut contents = self.lock();
        loop {
            let first = contents.events.partition_point(|event| event.revision <= after);
            let events: Vec<Json> = contents.events[first..]
                .iter()
                .filter(|event| event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => map([
                        ("key", text(&*event.key)),
                        ("revision", number(event.revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return json_reply(200, &map([("events", Json::List(events)), ("asOf", number(contents.revision))]));
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn commit(&self, request: &Request) -> Reply {
        let Some(txn) = Json::parse(&request.text()) else { return Reply::new(400) };
        let (expected, puts, removed) = (txn.get("expected").list(), txn.get("puts").list(), txn.get("remove").list());
        if expected.len() + puts.len() + removed.len() > ENTRIES_PER_TXN {
            return Reply::new(400);
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| is_foreign(put.get("key").text())) || removed.iter().any(|key| is_foreign(key.text()))
        {
            return Reply::new(403);
        }
        let mut contents = self.lock();
        contents.expire();
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().map(lease_of).any(|lease| lease != 0 && !contents.leases.contains_key(&lease)) {
            return Reply::new(404);
        }
        let holds = expected.iter().all(|row| {
            let revision = contents.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(revision)
        });
        if !holds {
            let keys = expected.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_json(key, contents.items.get(key)?)));
            return json_reply(412, &map([("items", Json::List(items.collect()))]));
        }
        // All entries of one commit have the revision of the commit.
        let revision = contents.revision + 1;
        for put in puts {
            contents.revision = revision - 1;
            contents.put(put.get("key").text(), put.get("value").text().to_owned(), lease_of(put));
        }
        for key in removed {
            contents.revision = revision - 1;
            contents.remove(key.text());
        }
        contents.revision = revision;
        drop(contents);
        self.changed.notify_all();
        json_reply(200, &map([("revision", number(revision))]))
    }

    fn grant(&self, request: &Request) -> Reply {
        let ttl_ms = Json::parse(&request.text()).and_then(|body| body.get("ttlMs").number()).unwrap_or(1_000);
        let mut contents = self.lock();
        contents.granted += 1;
        let lease = 70_000 + contents.granted;
        let ttl = Duration::from_millis(ttl_ms);
        contents.leases.insert(lease, Lease { ends_at: Instant::now() + ttl, ttl });
        json_reply(200, &map([("lease", number(lease)), ("ttlMs", number(ttl_ms))]))
    }

    fn renew(&self, lease: &str) -> Reply {
        let mut contents = self.lock();
        contents.expire();
        match contents.leases.get_mut(&lease.parse().unwrap_or(0)) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                json_reply(200, &map([("ttlMs", number(lease.ttl.as_millis() as u64))]))
            }
            None => Reply::new(404),
        }
    }
}

fn json_reply(status: u16, body: &Json) -> Reply {
    Reply::new(status).header("Content-Type", "application/json").body(body.encode())
}

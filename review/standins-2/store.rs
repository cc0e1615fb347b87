//! A stand-in for the platform's metadata store, by the users' protocol page.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Item {
    /// The value in base64, as it is sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change: the key and its item, or `None` if it was removed at the revision.
type Event = (u64, String, Option<Item>);

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.leases.remove(&id);
            let keys = self.items.iter().filter(|(_, item)| item.lease == id);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let store = Self {
            address: listener
                .local_addr()
                .expect("a bound listener has an address"),
            shared: Arc::default(),
        };
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                sweeper.change(State::expire_leases);
            }
        });
        store
    }

    /// Writes a key as the operator or a backend server does.
    pub fn put(&self, key: &str, text: &str) {
        self.change(|state| state.put(key, base64(text.as_bytes()), 0));
    }

    fn change(&self, f: impl FnOnce(&mut State)) {
        let mut state = self.shared.0.lock().unwrap();
        let before = state.revision;
        f(&mut state);
        if state.revision != before {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if connection.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
                .unwrap_or_default()
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let path = path.strip_prefix("/heatherknot/").unwrap_or_default();
        match (head.method(), path.split('/').next().unwrap_or_default()) {
            ("GET", "kv-key") => self.item(&parameter("key")),
            ("GET", "kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&parameter("prefix"), number("after"), wait)
            }
            ("POST", "kv-txn") => self.transaction(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "kv-lease") => self.grant(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "kv-keep") => self.renew(lease_of(path)),
            ("DELETE", "kv-lease-end") => self.end(lease_of(path)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = to_json(key, item);
                let at = state.revision;
                (
                    200,
                    format!("{},\"at_rev\":{at}}}", &text[..text.len() - 1]),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, item)| to_json(key, item)).collect();
        let at = state.revision;
        (
            200,
            format!(
                "{{\"items\":[{}],\"has_more\":false,\"at_rev\":{at}}}",
                items.join(",")
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = new.map(event_to_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"at_rev\":{at}}}", events.join(",")),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, txn: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let current =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = txn.get("expected").list().iter().all(|expected| {
            current(&state, expected.get("key").text()) == expected.get("revision").number() as u64
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        let writes = txn.get("writes").list();
        let lease = |write: &Json| write.get("lease_id").number() as u64;
        if writes
            .iter()
            .map(lease)
            .any(|id| id != 0 && !state.leases.contains_key(&id))
        {
            return (404, "{}".to_owned());
        }
        for write in writes {
            state.put(
                write.get("key").text(),
                write.get("value").text().to_owned(),
                lease(write),
            );
        }
        for key in txn.get("remove").list() {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, asked: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let ttl = Duration::from_secs_f64(asked.get("ttl_s_time").number().clamp(1.0, 600.0));
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        (
            200,
            format!("{{\"lease_id\":{id},\"ttl_s_time\":{}}}", ttl.as_secs_f64()),
        )
    }

    fn renew(&self, id: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttl_s_time\":{}}}", ttl.as_secs_f64()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: u64) -> (u16, String) {
        self.change(|state| {
            if let Some((_, until)) = state.leases.get_mut(&id) {
                *until = Instant::now();
            }
            state.expire_leases();
        });
        (200, "{}".to_owned())
    }
}

fn lease_of(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|id| id.parse().ok())
        .unwrap_or(0)
}

fn to_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created_rev\":{created},\"lease_id\":{lease}}}",
        quote(key)
    )
}

fn event_to_json((at, key, item): &Event) -> String {
    match item {
        Some(item) => to_json(key, item),
        None => format!(
            "{{\"key\":{},\"revision\":{at},\"tombstone\":true}}",
            quote(key)
        ),
    }
}

/// Decodes a percent-encoded query value.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digits: Vec<u8> = bytes.by_ref().take(2).collect();
                let code = std::str::from_utf8(&digits)
                    .ok()
                    .and_then(|d| u8::from_str_radix(d, 16).ok());
                out.extend(code);
            }
            b => out.push(b),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        let bits = bits << (8 * (3 - group.len()));
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize] as char;
            out.push(if n <= group.len() { digit } else { '=' });
        }
    }
    out
}

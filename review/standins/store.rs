//! A stand-in for the platform's store, which keeps its items in memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::json::{self, Json};

/// Items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, key and item, or `None` for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }
}

/// The store. Clones share its items.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves a new store on a free loopback port.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 100;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        (store, address)
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, value.as_bytes().to_vec(), revision);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(head) = conn.head() {
            let (body, _) = conn.body(&head, false);
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if conn.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(n, _)| *n == name);
            decode_percent(values.next().map_or("", |(_, value)| value))
        };
        match path {
            "/heatherknot/kv-key" => self.key(&query("key")),
            "/heatherknot/kv-range" => self.range(&query("prefix"), &query("after")),
            "/heatherknot/kv-watch" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                self.watch(&query("prefix"), after, wait)
            }
            "/heatherknot/kv-txn" => match json::parse(body) {
                Some(txn) => self.txn(&txn),
                None => (400, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = item_text(key, item);
                let fields = text.trim_end_matches('}');
                (200, format!("{fields},\"at_rev\":{}}}", state.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<_> = found.take(PAGE_ITEMS + 1).collect();
        let items = found.iter().take(PAGE_ITEMS);
        let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
        let (items, more) = (items.join(","), found.len() > PAGE_ITEMS);
        let at = state.revision;
        let answer = format!("{{\"items\":[{items}],\"has_more\":{more},\"at_rev\":{at}}}");
        (200, answer)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state.history.iter();
            let newer = newer.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = newer
                .map(|(at, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at_rev\":{at}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, txn: &Json) -> (u16, String) {
        let list = |name: &str| txn.get(name).map_or(&[][..], Json::items);
        let mut state = self.shared.0.lock().unwrap();
        let text = |entry: &Json, name: &str| entry.get(name).map_or("", Json::text).to_owned();
        for expected in list("expected") {
            let found = state.items.get(&text(expected, "key"));
            let found = found.map_or(0, |item| item.revision);
            let wanted = expected.get("revision").map_or(0.0, Json::number) as u64;
            if found != wanted {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        state.revision += 1;
        let revision = state.revision;
        for write in list("writes") {
            let value = decode_base64(&text(write, "value"));
            state.write(&text(write, "key"), value, revision);
        }
        for key in list("remove") {
            state.remove(key.text(), revision);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
    } = item;
    let value = encode_base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_rev\":{created},\"lease_id\":0}}"
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == byte).unwrap_or(0);
        word = (word << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

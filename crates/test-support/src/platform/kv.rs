//! The keys, leases and change history of the fake platform.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Number of changes kept for watches. Beyond it the older half is compacted.
const MAX_HISTORY: usize = 50_000;
/// The maximum length of a value, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub value: Bytes,
    pub created: u64,
    pub modified: u64,
    pub version: u64,
    pub lease: i64,
}

#[derive(Clone, Debug)]
pub(super) struct Change {
    pub revision: u64,
    pub key: Vec<u8>,
    /// The key's entry after the change; `None` if the key was deleted.
    pub entry: Option<Entry>,
}

#[derive(Debug)]
pub(super) struct Lease {
    pub ttl: Duration,
    pub expires: Instant,
}

/// A single key, or the half-open range from `key` to `end`. An `end` of `\0` means no upper
/// bound, as in etcd.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    pub key: Vec<u8>,
    pub end: Option<Vec<u8>>,
}

impl KeyRange {
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.key,
            Some(end) if end == b"\0" => key >= self.key.as_slice(),
            Some(end) => key >= self.key.as_slice() && key < end.as_slice(),
        }
    }

    fn bounds(&self) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
        let start = Bound::Included(self.key.clone());
        match &self.end {
            None => (start, Bound::Included(self.key.clone())),
            Some(end) if end == b"\0" => (start, Bound::Unbounded),
            Some(end) if *end <= self.key => (start, Bound::Included(Vec::new())),
            Some(end) => (start, Bound::Excluded(end.clone())),
        }
    }
}

#[derive(Debug)]
pub(super) struct Kv {
    pub revision: u64,
    pub compacted: u64,
    pub history: Vec<Change>,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Kv {
    pub fn new() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            history: Vec::new(),
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1_000,
        }
    }

    pub fn value(&self, key: &[u8]) -> Option<Bytes> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    pub fn entry(&self, key: &[u8]) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        let first = prefix.as_bytes().to_vec();
        let found = self.entries.range(first..).map(|(key, _)| key);
        let found = found.take_while(|key| key.starts_with(prefix.as_bytes()));
        found
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .collect()
    }

    pub fn range(&self, key_range: &KeyRange) -> Vec<(Vec<u8>, Entry)> {
        if key_range
            .end
            .as_ref()
            .is_some_and(|end| end != b"\0" && *end <= key_range.key)
        {
            return Vec::new();
        }
        let found = self.entries.range(key_range.bounds());
        found
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect()
    }

    /// Writes a key at the given revision.
    pub fn put(&mut self, revision: u64, key: &[u8], value: Bytes, lease: i64) {
        let old = self.entries.get(key);
        let entry = Entry {
            value,
            created: old.map_or(revision, |old| old.created),
            modified: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.entries.insert(key.to_vec(), entry.clone());
        self.record(revision, key, Some(entry));
    }

    /// Deletes keys at the given revision and returns their number.
    pub fn delete(&mut self, revision: u64, key_range: &KeyRange) -> usize {
        let deleted = self.range(key_range);
        for (key, _) in &deleted {
            self.entries.remove(key);
            self.record(revision, key, None);
        }
        deleted.len()
    }

    pub fn put_at_next_revision(&mut self, key: &[u8], value: Bytes) {
        self.revision += 1;
        self.put(self.revision, key, value, 0);
    }

    /// Rewrites a key with its current value, which advances its modification revision.
    pub fn touch(&mut self, key: &[u8]) {
        if let Some(entry) = self.entries.get(key).cloned() {
            self.revision += 1;
            self.put(self.revision, key, entry.value, entry.lease);
        }
    }

    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let expires = Instant::now() + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        self.next_lease
    }

    pub fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    pub fn keep_alive(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub fn revoke(&mut self, id: i64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == id);
        let attached: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.delete(self.revision, &KeyRange { key, end: None });
        }
        known
    }

    pub fn expire_all(&mut self) {
        for id in self.leases.keys().copied().collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    pub fn expire_due(&mut self) {
        let now = Instant::now();
        let due = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    fn record(&mut self, revision: u64, key: &[u8], entry: Option<Entry>) {
        let key = key.to_vec();
        self.history.push(Change {
            revision,
            key,
            entry,
        });
        if self.history.len() > MAX_HISTORY {
            let dropped = self.history.drain(..MAX_HISTORY / 2).last();
            self.compacted = dropped.map_or(self.compacted, |change| change.revision);
        }
    }
}

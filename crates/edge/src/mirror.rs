//! Local copy of the store's keys, versioned by store revision.
//!
//! For each key the higher revision wins, whether it comes from the store or a peer, so late or
//! repeated updates have no effect and no key ever reverts to an older value.

use std::collections::BTreeMap;

use bytes::Bytes;
use heatherknot_store::port::{KeyValue, StoreRevision};

/// Maximum number of remembered gaps.
const MAX_GAPS: usize = 8;
/// Maximum number of remembered deleted keys. Above it they are dropped, and a peer that is far
/// behind gets a full copy instead of the changes.
const MAX_TOMBSTONES: usize = 4_096;

/// Value of a key at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// Revision of the key's last change.
    pub revision: StoreRevision,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Local state of one key.
#[derive(Debug)]
struct Entry {
    current: VersionedValue,
    /// Revision of the last change that peers need. An update by which a backend server only
    /// confirms that it is alive is not such a change.
    relevant_revision: StoreRevision,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The key's state after the change.
    pub current: VersionedValue,
}

/// The local copy of the store's keys.
#[derive(Debug, Default)]
pub struct Mirror {
    keys: BTreeMap<String, Entry>,
    /// All changes up to this revision are applied.
    revision: StoreRevision,
    /// Deletions at or below this revision may have been dropped.
    pruned_at: StoreRevision,
    /// Revision ranges that were bridged by reading a full list instead of every change. A key that
    /// was created and deleted within a range was never seen here, so a peer whose revision lies
    /// inside it may still have that key.
    gaps: Vec<(StoreRevision, StoreRevision)>,
    /// Number of applied changes.
    generation: u64,
}

impl Mirror {
    /// Returns the revision up to which all changes are applied.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns a number that grows with every applied change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the value of a key, if the key exists.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.keys.get(key)?.current.value.as_ref()
    }

    /// Returns the revision of a key's last change, if the key exists.
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        let current = &self.keys.get(key)?.current;
        current.value.as_ref().map(|_| current.revision)
    }

    /// Returns the existing keys that begin with `prefix`, with their values.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Bytes)> {
        let from = self.keys.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(key, entry)| Some((key.as_str(), entry.current.value.as_ref()?)))
    }

    /// Applies one change; returns whether it was newer than the local state.
    pub fn apply(&mut self, change: &Change) -> bool {
        match self.keys.get(&change.key) {
            Some(entry) if entry.current.revision >= change.current.revision => false,
            None if change.current.value.is_none() && change.current.revision <= self.pruned_at => {
                false
            }
            _ => {
                self.insert(change);
                true
            }
        }
    }

    fn insert(&mut self, change: &Change) {
        self.generation += 1;
        let current = change.current.clone();
        match self.keys.get_mut(&change.key) {
            Some(entry) => entry.current = current,
            None => {
                let relevant_revision = current.revision;
                self.keys.insert(
                    change.key.clone(),
                    Entry {
                        current,
                        relevant_revision,
                    },
                );
            }
        }
    }

    /// Marks the last change of a key as needed by peers.
    pub fn mark_relevant(&mut self, key: &str) {
        if let Some(entry) = self.keys.get_mut(key) {
            entry.relevant_revision = entry.current.revision;
        }
    }

    /// Records that all changes up to `at` are applied.
    pub fn advance(&mut self, at: StoreRevision) {
        self.revision = self.revision.max(at);
        self.prune_tombstones();
    }

    /// Applies a full list whose reading began at revision `at`; returns the resulting changes.
    ///
    /// A key that is missing from the list and was last changed at or before `at` counts as
    /// deleted.
    pub fn apply_snapshot(&mut self, listed: Vec<Change>, at: StoreRevision) -> Vec<Change> {
        let present: std::collections::HashSet<&str> =
            listed.iter().map(|change| change.key.as_str()).collect();
        let removed: Vec<Change> = self
            .keys
            .iter()
            .filter(|(key, entry)| {
                let current = &entry.current;
                current.value.is_some() && current.revision <= at && !present.contains(key.as_str())
            })
            .map(|(key, _)| Change {
                key: key.clone(),
                current: VersionedValue {
                    revision: at,
                    value: None,
                },
            })
            .collect();
        let mut changed = Vec::new();
        for change in removed {
            self.insert(&change);
            changed.push(change);
        }
        for change in listed {
            if self.apply(&change) {
                changed.push(change);
            }
        }
        self.record_gap(at);
        self.advance(at);
        changed
    }

    /// Records that a full list was read at `at`. A peer whose revision is not past the local
    /// revision before the list misses no deletion and need not be sent a full copy.
    fn record_gap(&mut self, at: StoreRevision) {
        if self.revision == StoreRevision(0) || self.gaps.len() == MAX_GAPS {
            self.pruned_at = self.pruned_at.max(at);
            self.gaps.clear();
        } else if at > self.revision {
            self.gaps.push((self.revision, at));
        }
    }

    /// Returns the changes after revision `after` that peers need, or `None` if deletions since
    /// then may have been dropped.
    pub fn changes_since(&self, after: StoreRevision) -> Option<Vec<Change>> {
        let is_in_gap = |(from, to): &(StoreRevision, StoreRevision)| *from < after && after < *to;
        if after < self.pruned_at || self.gaps.iter().any(is_in_gap) {
            return None;
        }
        let newer = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.relevant_revision > after);
        Some(newer.map(to_change).collect())
    }

    /// Returns every existing key.
    pub fn snapshot(&self) -> Vec<Change> {
        let existing = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.current.value.is_some());
        existing.map(to_change).collect()
    }

    fn prune_tombstones(&mut self) {
        let deleted = |entry: &Entry| entry.current.value.is_none();
        if self.keys.values().filter(|entry| deleted(entry)).count() <= MAX_TOMBSTONES {
            return;
        }
        self.pruned_at = self.revision;
        self.keys.retain(|_, entry| !deleted(entry));
    }
}

fn to_change((key, entry): (&String, &Entry)) -> Change {
    Change {
        key: key.clone(),
        current: entry.current.clone(),
    }
}

impl From<KeyValue> for Change {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: kv.key,
            current: VersionedValue {
                revision: kv.mod_revision,
                value: Some(kv.value),
            },
        }
    }
}

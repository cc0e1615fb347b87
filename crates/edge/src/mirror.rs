//! A copy of the store's keys that every daemon holds, kept by revision.
//!
//! Whatever brings a key, the store or a peer, the higher revision wins, so a late or
//! repeated word changes nothing and no key ever goes back.

use std::collections::BTreeMap;

use bytes::Bytes;
use heatherknot_store::port::{KeyValue, StoreRevision};

/// Gaps that are remembered at most.
const MAX_GAPS: usize = 8;
/// Deleted keys that are remembered at most. Beyond them a peer that is far behind gets a
/// whole copy instead of what changed.
const MAX_DELETED: usize = 4_096;

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The revision of its last change.
    pub revision: StoreRevision,
    /// Its value; nothing where it was deleted.
    pub value: Option<Bytes>,
}

/// What is held of one key.
#[derive(Debug)]
struct Held {
    known: VersionedValue,
    /// The revision of the last change that peers need. A backend server's entry that only
    /// says that the server still lives is none.
    mattered: StoreRevision,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// What is known of it now.
    pub current: VersionedValue,
}

/// The keys as far as they are known.
#[derive(Debug, Default)]
pub struct Mirror {
    keys: BTreeMap<String, Held>,
    /// Every change up to this revision is here.
    at: StoreRevision,
    /// Deletions at or below this revision may have been forgotten.
    floor: StoreRevision,
    /// Revisions between which a list was read instead of every change. A key that came and
    /// went between the two was never here, so a peer that stands inside may hold it.
    gaps: Vec<(StoreRevision, StoreRevision)>,
    /// The changes that were taken in.
    generation: u64,
}

impl Mirror {
    /// Gives the revision up to which every change is here.
    pub fn at(&self) -> StoreRevision {
        self.at
    }

    /// Gives a number that grows with each change that is taken in.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Gives the value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.keys.get(key)?.known.value.as_ref()
    }

    /// Gives the revision of the last change of a key that exists.
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        let known = &self.keys.get(key)?.known;
        known.value.as_ref().map(|_| known.revision)
    }

    /// Gives the keys that begin with `prefix` and exist.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Bytes)> {
        let from = self.keys.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(key, held)| Some((key.as_str(), held.known.value.as_ref()?)))
    }

    /// Takes in one change; says whether it was news.
    pub fn apply(&mut self, change: &Change) -> bool {
        match self.keys.get(&change.key) {
            Some(held) if held.known.revision >= change.current.revision => false,
            None if change.current.value.is_none() && change.current.revision <= self.floor => {
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
        let known = change.current.clone();
        match self.keys.get_mut(&change.key) {
            Some(held) => held.known = known,
            None => {
                let mattered = known.revision;
                self.keys
                    .insert(change.key.clone(), Held { known, mattered });
            }
        }
    }

    /// Notes that peers need the last change of a key.
    pub fn mark_mattered(&mut self, key: &str) {
        if let Some(held) = self.keys.get_mut(key) {
            held.mattered = held.known.revision;
        }
    }

    /// Notes that every change up to `at` has been taken in.
    pub fn advance(&mut self, at: StoreRevision) {
        self.at = self.at.max(at);
        self.forget_deleted();
    }

    /// Takes in a whole list that was read from revision `at` on; gives what changed.
    ///
    /// A key that is missing from the list and was last changed at or before `at` is gone.
    pub fn replace(&mut self, listed: Vec<Change>, at: StoreRevision) -> Vec<Change> {
        let present: std::collections::HashSet<&str> =
            listed.iter().map(|change| change.key.as_str()).collect();
        let gone: Vec<Change> = self
            .keys
            .iter()
            .filter(|(key, held)| {
                let known = &held.known;
                known.value.is_some() && known.revision <= at && !present.contains(key.as_str())
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
        for change in gone {
            self.insert(&change);
            changed.push(change);
        }
        for change in listed {
            if self.apply(&change) {
                changed.push(change);
            }
        }
        self.note_gap(at);
        self.advance(at);
        changed
    }

    /// Notes that a list was read at `at`. A peer that has heard of nothing past what was here
    /// before misses no deletion, and need not be sent everything anew.
    fn note_gap(&mut self, at: StoreRevision) {
        if self.at == StoreRevision(0) || self.gaps.len() == MAX_GAPS {
            self.floor = self.floor.max(at);
            self.gaps.clear();
        } else if at > self.at {
            self.gaps.push((self.at, at));
        }
    }

    /// Gives the changes after `after` that matter, or nothing where that is no longer known.
    pub fn since(&self, after: StoreRevision) -> Option<Vec<Change>> {
        let is_inside = |(from, to): &(StoreRevision, StoreRevision)| *from < after && after < *to;
        if after < self.floor || self.gaps.iter().any(is_inside) {
            return None;
        }
        let newer = self.keys.iter().filter(|(_, held)| held.mattered > after);
        Some(newer.map(to_change).collect())
    }

    /// Gives every key that exists.
    pub fn all(&self) -> Vec<Change> {
        let existing = self
            .keys
            .iter()
            .filter(|(_, held)| held.known.value.is_some());
        existing.map(to_change).collect()
    }

    fn forget_deleted(&mut self) {
        let deleted = |held: &Held| held.known.value.is_none();
        if self.keys.values().filter(|held| deleted(held)).count() <= MAX_DELETED {
            return;
        }
        self.floor = self.at;
        self.keys.retain(|_, held| !deleted(held));
    }
}

fn to_change((key, held): (&String, &Held)) -> Change {
    Change {
        key: key.clone(),
        current: held.known.clone(),
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

//! Local copy of the store's keys, versioned by store revision.
//!
//! For each key the higher revision wins, whether it comes from the store or a peer, so late or
//! repeated updates have no effect and no key ever reverts to an older value.
//!
//! When the store loses its latest changes, it comes back in a new era with an earlier state, in which
//! keys are missing, deleted keys are back and values are outdated. Their writers write them again
//! within seconds. Until then the copy keeps what it knows of missing and deleted keys.

mod unconfirmed;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_store::port::{KeyValue, StoreRevision};

pub use unconfirmed::UnconfirmedKeys;

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
    /// Number of the revision at which the key was created; zero if that is not known.
    pub created: u64,
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
    /// If the key was deleted, the revision of the value that it had.
    deleted_revision: Option<StoreRevision>,
}

/// Returns whether the second value of a key is from an earlier time than the first one, judged by the
/// values alone.
pub type IsOutdated = Rc<dyn Fn(&str, &Bytes, &Bytes) -> bool>;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The key's state after the change.
    pub current: VersionedValue,
}

/// The local copy of the store's keys.
pub struct Mirror {
    is_outdated: IsOutdated,
    /// Prefix of the keys that their writers renew all the time.
    renewed_prefix: Option<&'static str>,
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
    unconfirmed: UnconfirmedKeys,
    /// Keys whose value in the store is from an earlier time than the one here.
    outdated_in_store: BTreeSet<String>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self::new(Rc::new(|_, _, _| false))
    }
}

impl fmt::Debug for Mirror {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mirror")
            .field("keys", &self.keys.len())
            .field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}

impl Mirror {
    /// Creates an empty copy. `is_outdated` decides between values of different eras.
    pub fn new(is_outdated: IsOutdated) -> Self {
        Self {
            is_outdated,
            renewed_prefix: None,
            keys: BTreeMap::new(),
            revision: StoreRevision::ZERO,
            pruned_at: StoreRevision::ZERO,
            gaps: Vec::new(),
            generation: 0,
            unconfirmed: UnconfirmedKeys::default(),
            outdated_in_store: BTreeSet::new(),
        }
    }

    /// Sets the prefix of the keys that their writers renew all the time. If such a key was deleted
    /// and the store returns it, it stays deleted until it is written again.
    pub fn with_renewed_prefix(self, prefix: &'static str) -> Self {
        Self {
            renewed_prefix: Some(prefix),
            ..self
        }
    }

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
            _ => self.replace(change),
        }
    }

    /// Replaces the state of a key unless it is the same, or outdated. Returns whether it was
    /// replaced.
    fn replace(&mut self, change: &Change) -> bool {
        let Some(entry) = self.keys.get_mut(&change.key) else {
            self.insert(change);
            return true;
        };
        let revision = change.current.revision;
        let held_revision = entry.current.revision;
        let may_be_earlier = held_revision.era != revision.era || revision < held_revision;
        if let (true, Some(held), Some(value)) =
            (may_be_earlier, &entry.current.value, &change.current.value)
        {
            let is_same = held == value && !self.unconfirmed.missing.contains(&change.key);
            let is_outdated = held != value && (self.is_outdated)(&change.key, held, value);
            if is_outdated {
                self.outdated_in_store.insert(change.key.clone());
                self.unconfirmed.missing.remove(&change.key);
            }
            if is_same || is_outdated {
                entry.current.revision = revision;
                entry.current.created = change.current.created;
                return false;
            }
        }
        self.insert(change);
        true
    }

    fn insert(&mut self, change: &Change) {
        self.generation += 1;
        let current = change.current.clone();
        let is_confirmed = self.unconfirmed.missing.remove(&change.key);
        self.unconfirmed.returned.remove(&change.key);
        self.outdated_in_store.remove(&change.key);
        match self.keys.get_mut(&change.key) {
            Some(entry) => {
                let before = std::mem::replace(&mut entry.current, current);
                if before.value.is_some() || entry.current.value.is_some() {
                    entry.deleted_revision = before.value.map(|_| before.revision);
                }
                if is_confirmed {
                    entry.relevant_revision = entry.current.revision;
                }
            }
            None => {
                let relevant_revision = current.revision;
                self.keys.insert(
                    change.key.clone(),
                    Entry {
                        current,
                        relevant_revision,
                        deleted_revision: None,
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
        if self.is_new_era(at) {
            // A peer may have seen changes of the earlier era that were lost and never came here.
            self.record_gap(at);
        }
        self.set_revision(at);
    }

    fn set_revision(&mut self, at: StoreRevision) {
        self.revision = self.revision.max(at);
        self.prune_tombstones();
    }

    /// Returns whether `at` belongs to a later era than this copy, which is not empty.
    pub fn is_new_era(&self, at: StoreRevision) -> bool {
        self.revision != StoreRevision::ZERO && at.era > self.revision.era
    }

    /// Applies a full list whose reading began at revision `at`; returns the resulting changes.
    ///
    /// A key that is missing from the list and was last changed at or before `at` counts as
    /// deleted. One of an earlier era is unconfirmed instead, unless the copy to which the store has
    /// returned certainly had it.
    pub fn apply_snapshot(&mut self, listed: Vec<Change>, at: StoreRevision) -> Vec<Change> {
        let present: std::collections::HashSet<&str> =
            listed.iter().map(|change| change.key.as_str()).collect();
        let is_missing = |(key, entry): &(&String, &Entry)| {
            let current = &entry.current;
            current.value.is_some() && current.revision <= at && !present.contains(key.as_str())
        };
        let kept = self.newest_kept(&listed);
        let may_be_lost = |(_, entry): &(&String, &Entry)| {
            let VersionedValue {
                revision, created, ..
            } = entry.current;
            revision.era < at.era && (created == 0 || created > kept)
        };
        let missing = self.keys.iter().filter(is_missing);
        let (unconfirmed, removed): (Vec<_>, Vec<_>) = missing.partition(may_be_lost);
        let unconfirmed: Vec<String> = unconfirmed.iter().map(|(key, _)| (*key).clone()).collect();
        let mut changed: Vec<Change> = removed
            .iter()
            .map(|(key, _)| deletion((*key).clone(), at))
            .collect();
        self.unconfirmed.missing.extend(unconfirmed);
        changed.iter().for_each(|change| self.insert(change));
        for change in listed {
            // A peer may have told of the era before, so the key's own era counts and not the copy's.
            let held = self.keys.get(&change.key);
            let is_of_earlier_era = held.is_some_and(|held| held.current.revision.era < at.era);
            let is_changed = match is_of_earlier_era {
                true => self.apply_listed(&change, at),
                false => self.apply(&change),
            };
            if is_changed {
                changed.push(change);
            }
        }
        self.record_gap(at);
        self.set_revision(at);
        changed
    }

    /// Returns a number up to which the store's changes are certainly the same as here, so that the copy
    /// to which it has returned contains them: that of a key which has not changed, below those of all
    /// keys that have.
    fn newest_kept(&self, listed: &[Change]) -> u64 {
        let is_unchanged = |change: &&Change| {
            let entry = self.keys.get(&change.key);
            let Some(Entry {
                current,
                deleted_revision,
                ..
            }) = entry
            else {
                return false;
            };
            let number = change.current.revision.number;
            match &current.value {
                Some(_) => {
                    current.revision.number == number && current.value == change.current.value
                }
                None => deleted_revision.is_some_and(|deleted| deleted.number == number),
            }
        };
        let (unchanged, changed): (Vec<_>, Vec<_>) = listed.iter().partition(is_unchanged);
        let number = |change: &Change| change.current.revision.number;
        let first_changed = changed.into_iter().map(number).min();
        let numbers = unchanged.into_iter().map(number);
        let kept = numbers.filter(|number| first_changed.is_none_or(|first| *number < first));
        kept.max().unwrap_or(0)
    }

    /// Applies a key of the first complete list of an era; returns whether it was newer.
    fn apply_listed(&mut self, change: &Change, at: StoreRevision) -> bool {
        let is_renewed = self.is_renewed(&change.key);
        let Some(entry) = self.keys.get_mut(&change.key) else {
            return self.apply(change);
        };
        let revision = change.current.revision;
        // The same number: not a new value, but the one from before the deletion. A renewed key may
        // return with an earlier one.
        let has_returned = entry.current.value.is_none()
            && entry.deleted_revision.is_some_and(|deleted| {
                deleted.era < revision.era
                    && (deleted.number == revision.number
                        || (is_renewed && revision.number < deleted.number))
            });
        if has_returned {
            entry.current.revision = revision;
            let returned = &mut self.unconfirmed.returned;
            returned.insert(change.key.clone(), change.current.clone());
            return false;
        }
        // A peer's list has revisions of the earlier era. What came after them was lost.
        let is_lost = revision < entry.current.revision && entry.current.revision.era < at.era;
        if is_lost && entry.current.value != change.current.value {
            return self.replace(change);
        }
        self.apply(change)
    }

    /// Records that a full list was read at `at`. A peer whose revision is not past the local
    /// revision before the list misses no deletion and need not be sent a full copy.
    fn record_gap(&mut self, at: StoreRevision) {
        if self.revision == StoreRevision::ZERO || self.gaps.len() == MAX_GAPS {
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

fn deletion(key: String, revision: StoreRevision) -> Change {
    Change {
        key,
        current: VersionedValue {
            revision,
            created: 0,
            value: None,
        },
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
                created: kv.create_revision.number,
                value: Some(kv.value),
            },
        }
    }
}

//! Keys whose state in the store is not adopted yet, after the store has lost its latest changes.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use heatherknot_store::port::StoreRevision;

use super::{Change, Mirror, VersionedValue, deletion};

/// Keys whose state in the store is earlier than here, after the store has lost its latest changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnconfirmedKeys {
    /// Keys that exist here and are missing in the store.
    pub missing: BTreeSet<String>,
    /// Keys that were deleted here and are back in the store, with their state there.
    pub returned: BTreeMap<String, VersionedValue>,
}

impl UnconfirmedKeys {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.missing.is_empty() && self.returned.is_empty()
    }
}

impl Mirror {
    /// Returns whether the writer of a key renews it all the time.
    pub(super) fn is_renewed(&self, key: &str) -> bool {
        let prefix = self.renewed_prefix;
        prefix.is_some_and(|prefix| key.starts_with(prefix))
    }

    /// Returns the keys whose state in the store is earlier than here.
    pub fn unconfirmed(&self) -> &UnconfirmedKeys {
        &self.unconfirmed
    }

    /// Adds the keys that are unconfirmed at a peer from which this copy was updated.
    pub fn extend_unconfirmed(&mut self, keys: UnconfirmedKeys) {
        let era = self.revision.era;
        let is_earlier = |key: &String| {
            let entry = self.keys.get(key);
            entry.is_none_or(|entry| entry.current.revision.era < era)
        };
        let missing = keys.missing.into_iter();
        let missing: Vec<String> = missing
            .filter(|key| self.get(key).is_some() && is_earlier(key))
            .collect();
        let returned = keys.returned.into_iter();
        let returned: Vec<_> = returned.filter(|(key, _)| is_earlier(key)).collect();
        self.unconfirmed.missing.extend(missing);
        self.unconfirmed.returned.extend(returned);
    }

    /// Adopts the store's state of all unconfirmed keys but those that have to be renewed; returns the
    /// resulting changes.
    pub fn accept_unconfirmed(&mut self) -> Vec<Change> {
        let keys = std::mem::take(&mut self.unconfirmed);
        let at = self.revision;
        let deleted = keys.missing.into_iter().map(|key| deletion(key, at));
        let returned = keys.returned.into_iter();
        let returned = returned.map(|(key, current)| Change { key, current });
        let (renewed, returned): (Vec<_>, Vec<_>) =
            returned.partition(|change| self.is_renewed(&change.key));
        let changes: Vec<Change> = deleted.chain(returned).collect();
        renewed
            .into_iter()
            .for_each(|change| self.keep_deleted(change));
        changes.iter().for_each(|change| self.insert(change));
        changes
    }

    /// Keeps a returned key deleted at its revision in the store, so that a later list with that
    /// revision does not bring it back.
    fn keep_deleted(&mut self, returned: Change) {
        let Change { key, current } = returned;
        match self.keys.get_mut(&key) {
            Some(entry) => {
                entry.current.revision = entry.current.revision.max(current.revision);
            }
            None => self.insert(&deletion(key, current.revision)),
        }
    }

    /// Returns the keys that begin with `prefix` and are missing or outdated in the store, each with
    /// its value here and its revision there; zero if it is missing.
    pub fn lost_in_store(&self, prefix: &str) -> Vec<(String, Bytes, StoreRevision)> {
        let missing = self.unconfirmed.missing.iter();
        let missing = missing.map(|key| (key, StoreRevision::ZERO));
        let outdated = self.outdated_in_store.iter();
        let outdated = outdated.filter_map(|key| Some((key, self.revision_of(key)?)));
        let lost = missing
            .chain(outdated)
            .filter(|(key, _)| key.starts_with(prefix));
        lost.filter_map(|(key, at)| Some((key.clone(), self.get(key)?.clone(), at)))
            .collect()
    }
}

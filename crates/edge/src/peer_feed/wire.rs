//! Messages by which VMs pass changes of the store's keys on.

use std::collections::BTreeSet;

use bytes::Bytes;
use heatherknot_store::port::{StoreEra, StoreRevision};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::mirror::{Change, VersionedValue};

/// One key in a message between daemons.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireKey {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "r")]
    revision: u64,
    /// Era of the revision, unless it is that of the message.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    era: Option<StoreEra>,
    /// Number of the revision at which the key was created; zero if that is not known.
    #[serde(rename = "c", default)]
    created: u64,
    /// `None` if the key was deleted.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

/// The changes after a revision, or all keys if the answering daemon no longer knows the deletions
/// since then.
#[derive(Debug, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "a")]
    pub(super) revision: u64,
    #[serde(rename = "e", default)]
    pub(super) era: StoreEra,
    #[serde(rename = "w")]
    pub(super) is_snapshot: bool,
    /// Age of the newest update from the store, if there was any.
    #[serde(rename = "o")]
    pub(super) age_ms: Option<Millis>,
    /// Number of VMs that the newest update has passed on its way from the store.
    #[serde(rename = "n", default)]
    pub(super) hops: u32,
    /// How long the answer was held back.
    #[serde(rename = "h", default)]
    pub(super) held_ms: Millis,
    /// Whether a missing entry means that it was deleted.
    #[serde(rename = "s")]
    pub(super) settled: bool,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub(super) keys: Vec<WireKey>,
    /// The keys in compressed form, if there are many.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub(super) packed: Option<String>,
    /// Whether keys that the store has lost may still be written again.
    #[serde(rename = "l", default)]
    pub(super) is_confirming: bool,
    /// Keys that exist and are missing in the store, if the receiver enters this era.
    #[serde(rename = "lm", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub(super) missing: BTreeSet<String>,
    /// Deleted keys that are back in the store, likewise.
    #[serde(rename = "lr", default, skip_serializing_if = "Vec::is_empty")]
    pub(super) returned: Vec<WireKey>,
}

impl Changes {
    pub(super) fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }
}

/// Encodes keys for a message whose revision is in `era`.
pub(super) fn to_wire(changes: Vec<Change>, era: StoreEra) -> Vec<WireKey> {
    let keys = changes.into_iter().map(|change| WireKey {
        key: change.key,
        revision: change.current.revision.number,
        created: change.current.created,
        era: Some(change.current.revision.era).filter(|of| *of != era),
        value: change
            .current
            .value
            .map(|v| String::from_utf8_lossy(&v).into_owned()),
    });
    keys.collect()
}

pub(super) fn from_wire(wire: WireKey, era: StoreEra) -> Change {
    Change {
        key: wire.key,
        current: VersionedValue {
            revision: StoreRevision::new(wire.era.unwrap_or(era), wire.revision),
            created: wire.created,
            value: wire.value.map(Bytes::from),
        },
    }
}

//! The head of the settings, which names the newest accepted revision and the newest snapshot.

use std::sync::Arc;

use bytes::Bytes;
use heatherknot_types::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys;
use crate::error::{Cause, Effect, Step, StoreError};
use crate::port::{KeyValue, Store, StoreRevision};

/// A reference to a full settings tree in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The revision of the tree.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The number of parts.
    #[serde(rename = "p")]
    pub parts: u32,
    /// The hash of the concatenated parts, in hexadecimal.
    #[serde(rename = "h")]
    pub hash: Arc<str>,
}

/// The value of the head key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest accepted revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The hash of the change that created the revision, in hexadecimal.
    #[serde(rename = "h")]
    pub hash: Arc<str>,
    /// The newest snapshot in the store.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotRef>,
}

/// A head and the store revision at which it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRead {
    /// The head, or the default head of an empty tree if the key does not exist.
    pub head: Head,
    /// The store revision at which the key was last modified, or zero if it does not exist.
    pub mod_revision: StoreRevision,
}

/// Reads the head.
///
/// # Errors
///
/// Returns an error if the store does not respond or the head cannot be parsed.
pub async fn read_head(store: &Store) -> Result<HeadRead, StoreError> {
    let kv = store.get(keys::HEAD).await?;
    parse_head(store, Step::Range, kv.as_ref())
}

/// Parses the head from the result of reading its key.
pub(crate) fn parse_head(
    store: &Store,
    step: Step,
    kv: Option<&KeyValue>,
) -> Result<HeadRead, StoreError> {
    let Some(kv) = kv else {
        return Ok(HeadRead::default());
    };
    Ok(HeadRead {
        head: from_json(store, step, kv)?,
        mod_revision: kv.mod_revision,
    })
}

/// Parses a JSON value that this crate wrote to the store.
pub(crate) fn from_json<T: DeserializeOwned>(
    store: &Store,
    step: Step,
    kv: &KeyValue,
) -> Result<T, StoreError> {
    serde_json::from_slice(&kv.value).map_err(|err| {
        let message = format!("{}: {err}", kv.key);
        unreadable(store, step, message)
    })
}

/// Builds the error for an invalid stored value.
pub(crate) fn unreadable(store: &Store, step: Step, message: String) -> StoreError {
    StoreError {
        step,
        peer: store.peer,
        effect: Effect::NotApplied,
        source: Cause::Unreadable { message },
    }
}

/// Serializes a value of this crate as JSON.
pub(crate) fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value)
        .expect("values of this crate can always be serialized")
        .into()
}

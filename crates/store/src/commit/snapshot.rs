//! Snapshots: full settings trees in the store, split into parts that each fit into a value.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use heatherknot_settings::Digest;
use heatherknot_types::prelude::*;

use crate::error::{Step, StoreError};
use crate::port::{Compare, Op, RangeRequest, Store, Txn};

use super::head::{Head, HeadRead, SnapshotRef, parse_head, read_head, to_json, unreadable};
use super::keys;

/// The maximum size of a part, in bytes. A value may hold one megabyte.
pub const PART_BYTES: usize = 900_000;
/// The number of attempts to name a new snapshot in the head while commits update it.
const MAX_HEAD_CONFLICTS: u32 = 8;

/// The outcome of writing a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotOutcome {
    /// The snapshot was written and the head names it.
    Written(SnapshotRef),
    /// Another daemon is writing or has written this snapshot or a newer one, or commits kept
    /// updating the head.
    Superseded,
}

/// Returns whether at least `every` changes have been accepted since the newest snapshot.
pub fn is_due(head: &Head, every: u64) -> bool {
    let newest = head.snapshot.as_ref();
    let newest = newest.map_or(Revision::NONE, |snapshot| snapshot.revision);
    head.revision.0.saturating_sub(newest.0) >= every
}

/// Writes the full tree of a revision and names it in the head.
///
/// Several daemons may run this concurrently; only the one that creates the first part continues.
/// If it crashes before it is done, the head still names the previous snapshot, the next snapshot
/// has a later revision, and [`remove_old`] deletes the leftover parts.
///
/// # Errors
///
/// Returns an error if a call fails. The head then still names the previous snapshot, or this
/// one if only the response to the last call was lost.
pub async fn write(
    store: &Store,
    revision: Revision,
    tree: &Bytes,
) -> Result<SnapshotOutcome, StoreError> {
    let parts: Vec<Bytes> = split_parts(tree);
    for (index, part) in (0..).zip(&parts) {
        let key = keys::snapshot_part(revision, index);
        let txn = Txn {
            compares: vec![Compare::absent(&*key)],
            success: vec![Op::put(key, part.clone())],
            failure: Vec::new(),
        };
        if !store.txn(txn).await?.succeeded {
            return Ok(SnapshotOutcome::Superseded);
        }
    }
    let snapshot = SnapshotRef {
        revision,
        parts: parts.len() as u32,
        hash: tree_hash(tree),
    };
    publish_in_head(store, snapshot).await
}

/// Reads the full tree of a snapshot.
///
/// Returns `None` if the snapshot has been removed; the head then names a newer one.
///
/// # Errors
///
/// Returns an error if the store does not respond or the tree does not match the hash in the
/// reference.
pub async fn read(store: &Store, snapshot: &SnapshotRef) -> Result<Option<Bytes>, StoreError> {
    let mut tree = BytesMut::new();
    for part in 0..snapshot.parts {
        let key = keys::snapshot_part(snapshot.revision, part);
        let Some(kv) = store.get(&key).await? else {
            return Ok(None);
        };
        tree.extend_from_slice(&kv.value);
    }
    let tree = tree.freeze();
    if tree_hash(&tree) != snapshot.hash {
        let message = format!("snapshot {} does not have its hash", snapshot.revision);
        return Err(unreadable(store, Step::Range, message));
    }
    Ok(Some(tree))
}

/// Deletes all parts of snapshots older than `kept`, including incomplete snapshots.
///
/// # Errors
///
/// Returns an error if the store does not respond.
pub async fn remove_old(store: &Store, kept: Revision) -> Result<(), StoreError> {
    let first_kept = keys::snapshot_part(kept, 0);
    let delete = Op::Delete {
        key: keys::SNAPSHOTS.to_owned(),
        end: Some(first_kept),
    };
    let txn = Txn {
        success: vec![delete],
        ..Txn::default()
    };
    store.txn(txn).await.map(|_| ())
}

async fn publish_in_head(
    store: &Store,
    snapshot: SnapshotRef,
) -> Result<SnapshotOutcome, StoreError> {
    let mut current = read_head(store).await?;
    for _ in 0..MAX_HEAD_CONFLICTS {
        if !is_newer(&current, &snapshot) {
            return Ok(SnapshotOutcome::Superseded);
        }
        let head = Head {
            snapshot: Some(snapshot.clone()),
            ..current.head
        };
        let txn = Txn {
            compares: vec![Compare::unchanged(keys::HEAD, current.mod_revision)],
            success: vec![Op::put(keys::HEAD, to_json(&head))],
            failure: vec![Op::Range(RangeRequest::key(keys::HEAD))],
        };
        let resp = store.txn(txn).await?;
        if resp.succeeded {
            return Ok(SnapshotOutcome::Written(snapshot));
        }
        current = parse_head(store, Step::Txn, resp.first_kv(0))?;
    }
    Ok(SnapshotOutcome::Superseded)
}

fn is_newer(current: &HeadRead, snapshot: &SnapshotRef) -> bool {
    let newest = current.head.snapshot.as_ref();
    newest.is_none_or(|newest| newest.revision < snapshot.revision)
}

fn split_parts(tree: &Bytes) -> Vec<Bytes> {
    let starts = (0..tree.len()).step_by(PART_BYTES);
    starts
        .map(|start| tree.slice(start..tree.len().min(start + PART_BYTES)))
        .collect()
}

fn tree_hash(tree: &Bytes) -> Arc<str> {
    Digest::of_bytes(tree).to_string().into()
}

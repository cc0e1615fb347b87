//! Packs of old changes, which keep a long audit trail in few keys of less than a megabyte each.

use bytes::{Bytes, BytesMut};
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::StoreError;
use crate::port::{Compare, Op, RangeRequest, Store, Txn};

use super::history::{PAGE_CHANGES, StoredChange, parse_revision};
use super::keys;

/// The maximum size of the changes in one pack, in bytes.
pub const MAX_PACK_BYTES: usize = 900_000;

/// Determines which changes are packed.
#[derive(Clone, Copy, Debug)]
pub struct PackPolicy {
    /// The number of changes in a pack. A pack has fewer if it would exceed [`MAX_PACK_BYTES`].
    pub max_changes: u32,
    /// The number of newest changes that are not packed.
    pub keep_unpacked: u64,
}

impl Default for PackPolicy {
    fn default() -> Self {
        Self {
            max_changes: 64,
            keep_unpacked: 128,
        }
    }
}

/// The first line of a pack. The changes follow it without separators.
#[derive(Debug, Serialize, Deserialize)]
struct PackHeader {
    #[serde(rename = "f")]
    first: Revision,
    /// The length of each change, in bytes.
    #[serde(rename = "l")]
    lengths: Vec<usize>,
}

/// Packs the oldest unpacked changes if `policy` requires it. Returns the revision of the last
/// packed change, or `None` if nothing was packed.
///
/// Several daemons may run this concurrently: all select the same changes, and the transaction
/// requires that the pack does not exist yet. `shorten` returns the part of a change to keep.
///
/// # Errors
///
/// Returns an error if the store does not respond. No change is lost in this case: the changes
/// are either in the pack or still under their own keys.
pub async fn pack_oldest(
    store: &Store,
    newest: Revision,
    policy: PackPolicy,
    shorten: &dyn Fn(&Bytes) -> Bytes,
) -> Result<Option<Revision>, StoreError> {
    let end = Revision(newest.0.saturating_sub(policy.keep_unpacked));
    let Some(changes) = read_oldest(store, end, policy, shorten).await? else {
        return Ok(None);
    };
    let (Some(first), Some(last)) = (changes.first(), changes.last()) else {
        return Ok(None);
    };
    let (first, last) = (first.revision, last.revision);
    let delete = Op::Delete {
        key: keys::change(first),
        end: Some(keys::change(last.next())),
    };
    let txn = Txn {
        compares: vec![Compare::absent(keys::pack(last))],
        success: vec![Op::put(keys::pack(last), encode(first, &changes)), delete],
        failure: Vec::new(),
    };
    let packed = store.txn(txn).await?.succeeded;
    Ok(packed.then_some(last))
}

/// Parses the changes of a pack, or returns a description of the problem.
pub(crate) fn unpack(pack: &Bytes) -> Result<Vec<StoredChange>, String> {
    let line_end = pack.iter().position(|byte| *byte == b'\n');
    let line_end = line_end.ok_or("a pack without a first line")?;
    let header: PackHeader =
        serde_json::from_slice(&pack[..line_end]).map_err(|err| err.to_string())?;
    let mut changes = Vec::with_capacity(header.lengths.len());
    let mut rest = pack.slice(line_end + 1..);
    let mut revision = header.first;
    for length in header.lengths {
        if length > rest.len() {
            return Err(format!("a pack that ends within {revision}"));
        }
        let change = rest.split_to(length);
        changes.push(StoredChange { revision, change });
        revision = revision.next();
    }
    Ok(changes)
}

/// Reads and compacts the changes of the next pack. Returns `None` if there are too few.
async fn read_oldest(
    store: &Store,
    end: Revision,
    policy: PackPolicy,
    shorten: &dyn Fn(&Bytes) -> Bytes,
) -> Result<Option<Vec<StoredChange>>, StoreError> {
    let mut changes: Vec<StoredChange> = Vec::new();
    let mut bytes = 0;
    let mut from = keys::CHANGES.to_owned();
    loop {
        let range = RangeRequest::between(from, keys::change(end.next()));
        let found = store.range(range.limit(PAGE_CHANGES)).await?;
        for kv in found.kvs {
            let revision = parse_revision(store, &kv, keys::CHANGES)?;
            let change = shorten(&kv.value);
            bytes += change.len();
            if bytes > MAX_PACK_BYTES {
                return Ok(Some(changes));
            }
            changes.push(StoredChange { revision, change });
            if changes.len() == policy.max_changes as usize {
                return Ok(Some(changes));
            }
        }
        let Some(last) = changes.last().filter(|_| found.more) else {
            return Ok(None);
        };
        from = keys::change(last.revision.next());
    }
}

fn encode(first: Revision, changes: &[StoredChange]) -> Bytes {
    let lengths = changes.iter().map(|stored| stored.change.len()).collect();
    let header = PackHeader { first, lengths };
    let mut pack = BytesMut::from(&super::head::to_json(&header)[..]);
    pack.extend_from_slice(b"\n");
    for stored in changes {
        pack.extend_from_slice(&stored.change);
    }
    pack.freeze()
}

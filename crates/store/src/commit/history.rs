//! Reads accepted changes, for daemons that are behind and for the audit trail.

use bytes::Bytes;
use heatherknot_types::prelude::*;

use crate::error::{Step, StoreError};
use crate::port::{KeyValue, Op, RangeRequest, Store, Txn, prefix_end};

use super::head::{parse_head, unreadable};
use super::keys;
use super::pack;

/// The maximum number of changes read by one call. Even if each is close to a megabyte, the
/// response fits the memory that a daemon may use for its control tasks.
pub(crate) const PAGE_CHANGES: u32 = 4;

/// The number of attempts to read a change that is being moved to a pack at the same time.
const MAX_READ_ATTEMPTS: u32 = 3;

/// An accepted change as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredChange {
    /// The revision that the change created.
    pub revision: Revision,
    /// The change as it was committed, or compacted if it is in a pack.
    pub change: Bytes,
}

/// A page of consecutive accepted changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryPage {
    /// The changes.
    pub changes: Vec<StoredChange>,
    /// Whether the caller should read on after these changes.
    pub more: bool,
}

/// Reads a page of the changes that follow `after`, from the keys of unpacked changes.
///
/// Returns `None` if a change of the page is missing, because it was moved to a pack. A follower
/// then reads the snapshot, and the audit trail reads the packs.
///
/// # Errors
///
/// Returns an error if the store does not respond or contains a malformed key.
pub async fn changes_after(
    store: &Store,
    after: Revision,
) -> Result<Option<HistoryPage>, StoreError> {
    let found = store.range(unpacked_range(after)).await?;
    let more = found.more;
    Ok(match collect_contiguous(store, found.kvs, after)? {
        ChangeRun::Contiguous(changes) => Some(HistoryPage { changes, more }),
        ChangeRun::MissingAt(_) => None,
    })
}

/// The changes found in a range of keys.
enum ChangeRun {
    /// No change is missing.
    Contiguous(Vec<StoredChange>),
    /// This revision is the first one missing.
    MissingAt(Revision),
}

/// Reads a page of the changes that follow `after` for the audit trail, from packs and from
/// unpacked changes.
///
/// # Errors
///
/// Returns an error if the store does not respond, contains a malformed value, or lacks an
/// accepted change. In the last case the error names the first missing change.
pub async fn audit_after(store: &Store, after: Revision) -> Result<HistoryPage, StoreError> {
    let mut first_missing = after.next();
    for _ in 0..MAX_READ_ATTEMPTS {
        if let Some(history) = read_packed(store, after).await? {
            return Ok(history);
        }
        let (run, more) = read_unpacked(store, after).await?;
        match run {
            ChangeRun::Contiguous(changes) => return Ok(HistoryPage { changes, more }),
            // The change may have been packed between the two reads; read the packs again.
            ChangeRun::MissingAt(revision) => first_missing = revision,
        }
    }
    Err(missing_change(store, first_missing))
}

fn unpacked_range(after: Revision) -> RangeRequest {
    let first = keys::change(after.next());
    RangeRequest::between(first, prefix_end(keys::CHANGES)).limit(PAGE_CHANGES)
}

fn collect_contiguous(
    store: &Store,
    kvs: Vec<KeyValue>,
    after: Revision,
) -> Result<ChangeRun, StoreError> {
    let mut changes = Vec::with_capacity(kvs.len());
    let mut expected = after;
    for kv in kvs {
        expected = expected.next();
        let revision = parse_revision(store, &kv, keys::CHANGES)?;
        if revision != expected {
            return Ok(ChangeRun::MissingAt(expected));
        }
        let change = kv.value;
        changes.push(StoredChange { revision, change });
    }
    Ok(ChangeRun::Contiguous(changes))
}

/// Reads the changes after `after` from their pack. Returns `None` if they are in no pack.
async fn read_packed(store: &Store, after: Revision) -> Result<Option<HistoryPage>, StoreError> {
    let first = keys::pack(after.next());
    let req = RangeRequest::between(first, prefix_end(keys::PACKS)).limit(1);
    let found = store.range(req).await?;
    let Some(kv) = found.kvs.first() else {
        return Ok(None);
    };
    let mut changes = pack::unpack(&kv.value)
        .map_err(|problem| unreadable(store, Step::Range, format!("{}: {problem}", kv.key)))?;
    changes.retain(|change| change.revision > after);
    if changes.first().map(|change| change.revision) != Some(after.next()) {
        return Err(missing_change(store, after.next()));
    }
    let more = true;
    Ok(Some(HistoryPage { changes, more }))
}

/// Reads unpacked changes and whether there are more. The same transaction reads the head, to
/// check that the last page reaches the newest revision.
async fn read_unpacked(store: &Store, after: Revision) -> Result<(ChangeRun, bool), StoreError> {
    let reads = Txn {
        success: vec![Op::Range(unpacked_range(after)), Op::get(keys::HEAD)],
        ..Txn::default()
    };
    let mut resp = store.txn(reads).await?;
    let head = parse_head(store, Step::Txn, resp.first_kv(1))?.head;
    let found = resp.ranges.swap_remove(0);
    let run = match collect_contiguous(store, found.kvs, after)? {
        ChangeRun::Contiguous(changes) if !found.more => {
            check_reaches(changes, after, head.revision)
        }
        other => other,
    };
    Ok((run, found.more))
}

fn check_reaches(changes: Vec<StoredChange>, after: Revision, newest: Revision) -> ChangeRun {
    let last = changes.last().map_or(after, |change| change.revision);
    match last < newest {
        true => ChangeRun::MissingAt(last.next()),
        false => ChangeRun::Contiguous(changes),
    }
}

fn missing_change(store: &Store, revision: Revision) -> StoreError {
    let message = format!("the accepted change {revision} is missing");
    unreadable(store, Step::Range, message)
}

pub(crate) fn parse_revision(
    store: &Store,
    kv: &KeyValue,
    prefix: &str,
) -> Result<Revision, StoreError> {
    keys::parse_revision(&kv.key, prefix).ok_or_else(|| {
        let message = format!("{}: expected 16 hexadecimal digits after {prefix}", kv.key);
        unreadable(store, Step::Range, message)
    })
}

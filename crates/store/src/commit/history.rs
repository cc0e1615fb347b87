//! Reads accepted changes back, for daemons that fell behind and for the audit trail.

use bytes::Bytes;
use heatherknot_types::prelude::*;

use crate::error::{Step, StoreError};
use crate::port::{KeyValue, Op, RangeRequest, Store, Txn, prefix_end};

use super::head::{head_of, unreadable};
use super::keys;
use super::pack;

/// The most changes read by one call: even where each is close to a megabyte, the answer
/// stays within the memory that a daemon may use for control.
pub(crate) const PAGE: u32 = 4;

/// How often the audit trail looks again for a change that was just being packed.
const MAX_MOVES: u32 = 3;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredChange {
    /// The revision that the change made.
    pub revision: Revision,
    /// The change as it was committed, or as its pack shortened it.
    pub change: Bytes,
}

/// Some accepted changes, in order and without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryPage {
    /// The changes.
    pub changes: Vec<StoredChange>,
    /// Whether there are more after these.
    pub more: bool,
}

/// Reads the changes that follow `after` from the keys of single changes, a page at a time.
///
/// Gives `None` where the change that follows `after` is no longer kept on its own: a
/// follower takes the snapshot then, and the audit trail reads the packs.
///
/// # Errors
///
/// Returns an error where the store does not answer or holds a key of another form.
pub async fn changes_after(
    store: &Store,
    after: Revision,
) -> Result<Option<HistoryPage>, StoreError> {
    let found = store.range(single_changes(after)).await?;
    let more = found.more;
    Ok(match in_order(store, found.kvs, after)? {
        Run::Whole(changes) => Some(HistoryPage { changes, more }),
        Run::Lacks(_) => None,
    })
}

/// Changes as the store's keys give them.
enum Run {
    /// The changes follow each other.
    Whole(Vec<StoredChange>),
    /// This one is left out.
    Lacks(Revision),
}

/// Reads the changes that follow `after` from packs and single keys, a page at a time, as
/// the audit trail shows them.
///
/// # Errors
///
/// Returns an error where the store does not answer, holds a value of another form, or lacks
/// a change that was accepted: the error then names the first one missing.
pub async fn audit_after(store: &Store, after: Revision) -> Result<HistoryPage, StoreError> {
    let mut lacking = after.next();
    for _ in 0..MAX_MOVES {
        if let Some(history) = packed_after(store, after).await? {
            return Ok(history);
        }
        let (run, more) = single_after(store, after).await?;
        match run {
            Run::Whole(changes) => return Ok(HistoryPage { changes, more }),
            // It may have been packed between the two reads, so the packs are read again.
            Run::Lacks(revision) => lacking = revision,
        }
    }
    Err(missing(store, lacking))
}

fn single_changes(after: Revision) -> RangeRequest {
    let first = keys::change(after.next());
    RangeRequest::between(first, prefix_end(keys::CHANGES)).limit(PAGE)
}

fn in_order(store: &Store, kvs: Vec<KeyValue>, after: Revision) -> Result<Run, StoreError> {
    let mut changes = Vec::with_capacity(kvs.len());
    let mut expected = after;
    for kv in kvs {
        expected = expected.next();
        let revision = revision_of(store, &kv, keys::CHANGES)?;
        if revision != expected {
            return Ok(Run::Lacks(expected));
        }
        let change = kv.value;
        changes.push(StoredChange { revision, change });
    }
    Ok(Run::Whole(changes))
}

/// Reads the pack that holds the change after `after`; `None` where there is none.
async fn packed_after(store: &Store, after: Revision) -> Result<Option<HistoryPage>, StoreError> {
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
        return Err(missing(store, after.next()));
    }
    let more = true;
    Ok(Some(HistoryPage { changes, more }))
}

/// Reads single changes and the head in one step, so that the last page is known to reach
/// the newest revision, and whether there are more.
async fn single_after(store: &Store, after: Revision) -> Result<(Run, bool), StoreError> {
    let reads = Txn {
        success: vec![Op::Range(single_changes(after)), Op::get(keys::HEAD)],
        ..Txn::default()
    };
    let mut answer = store.txn(reads).await?;
    let head = head_of(store, Step::Txn, answer.first_of(1))?.head;
    let found = answer.ranges.swap_remove(0);
    let run = match in_order(store, found.kvs, after)? {
        Run::Whole(changes) if !found.more => reaching(changes, after, head.revision),
        other => other,
    };
    Ok((run, found.more))
}

fn reaching(changes: Vec<StoredChange>, after: Revision, newest: Revision) -> Run {
    let last = changes.last().map_or(after, |change| change.revision);
    match last < newest {
        true => Run::Lacks(last.next()),
        false => Run::Whole(changes),
    }
}

fn missing(store: &Store, revision: Revision) -> StoreError {
    let message = format!("the accepted change {revision} is missing");
    unreadable(store, Step::Range, message)
}

pub(crate) fn revision_of(
    store: &Store,
    kv: &KeyValue,
    prefix: &str,
) -> Result<Revision, StoreError> {
    keys::revision_of(&kv.key, prefix).ok_or_else(|| {
        let message = format!("{}: expected 16 hexadecimal digits after {prefix}", kv.key);
        unreadable(store, Step::Range, message)
    })
}

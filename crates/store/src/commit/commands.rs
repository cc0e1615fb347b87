//! Deletes the records of commands that are too old to be retried.

use heatherknot_types::prelude::*;

use super::head::from_json;
use super::{CommandRecord, keys};
use crate::error::{Step, StoreError};
use crate::port::{KeyValue, Op, RangeRequest, Store, StoreRevision, Txn, prefix_end};

/// The number of records read by one call. A record takes some hundred bytes.
const PAGE_RECORDS: u32 = 500;
/// The number of records deleted by one transaction. The service usually allows 128 operations.
const MAX_DELETES_PER_TXN: usize = 100;

/// Deletes the records of commands that created revisions up to `last` and of commands that were
/// withdrawn before the newest of those. Returns the number of deleted records.
///
/// A command that is retried after its record was deleted is treated as a new command.
///
/// # Errors
///
/// Returns an error if the store does not respond. The next call finds the records that were not
/// deleted.
pub async fn remove_up_to(store: &Store, last: Revision) -> Result<usize, StoreError> {
    let records = read_all(store).await?;
    let is_old =
        |record: &StoredCommand| matches!(record.revision, Some(revision) if revision <= last);
    let old = records.iter().filter(|record| is_old(record));
    let Some(cutoff) = old.map(|record| record.mod_revision).max() else {
        return Ok(0);
    };
    let deletable: Vec<&StoredCommand> = records
        .iter()
        .filter(|record| {
            is_old(record) || (record.revision.is_none() && record.mod_revision < cutoff)
        })
        .collect();
    for batch in deletable.chunks(MAX_DELETES_PER_TXN) {
        store.txn(delete_txn(batch)).await?;
    }
    Ok(deletable.len())
}

/// The fields of a command record that determine its age.
struct StoredCommand {
    key: String,
    /// The settings revision that the command created, or `None` if it was withdrawn.
    revision: Option<Revision>,
    mod_revision: StoreRevision,
}

async fn read_all(store: &Store) -> Result<Vec<StoredCommand>, StoreError> {
    let end = prefix_end(keys::COMMANDS);
    let mut records: Vec<StoredCommand> = Vec::new();
    let mut from = keys::COMMANDS.to_owned();
    loop {
        let page = RangeRequest::between(from, &*end).limit(PAGE_RECORDS);
        let found = store.range(page).await?;
        for kv in &found.kvs {
            records.push(parse_record(store, kv)?);
        }
        let Some(last) = records.last().filter(|_| found.more) else {
            return Ok(records);
        };
        from = format!("{}\0", last.key);
    }
}

fn parse_record(store: &Store, kv: &KeyValue) -> Result<StoredCommand, StoreError> {
    let revision = match from_json(store, Step::Range, kv)? {
        CommandRecord::Accepted(revision) => Some(revision),
        CommandRecord::Withdrawn => None,
    };
    Ok(StoredCommand {
        key: kv.key.clone(),
        revision,
        mod_revision: kv.mod_revision,
    })
}

/// Builds the transaction that deletes records. It needs no precondition, because a record never
/// changes once it was written and another daemon can only delete the same records.
fn delete_txn(records: &[&StoredCommand]) -> Txn {
    let deletes = records.iter().map(|record| Op::delete(&*record.key));
    Txn {
        success: deletes.collect(),
        ..Txn::default()
    }
}

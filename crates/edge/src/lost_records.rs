//! Writes records of the VMs to the store again that it has lost.
//!
//! The operator and the backend servers write again what the store has lost. The VMs' own keys are
//! still in every VM's copy, so one VM writes them for all: the first watcher of the store, or the
//! next one if that does not.

use std::rc::Rc;

use heatherknot_store::port::{Compare, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::{info, warn};

use crate::context::EdgeContext;
use crate::rollout::record::{RECORD_PREFIX, RolloutRecord};

/// Prefix of the keys that VMs write.
const OWN_PREFIX: &str = "hk/";
/// Interval between two checks.
const CHECK_INTERVAL: Millis = Millis(500);
/// How long a written record may take to appear in the local copy of the store's keys.
const WRITE_VISIBLE_AFTER: Millis = Millis(1_500);
/// How long each watcher waits for the one before it.
const TURN: Millis = Millis(800);
/// Maximum number of records in one transaction. Each has a condition and up to two writes, and the
/// store accepts 32 of both in total.
const MAX_RECORDS_PER_TXN: usize = 10;

/// A record that the store has lost.
struct LostRecord {
    key: String,
    ops: Vec<Op>,
    /// The revision of its earlier value in the store; zero if it is missing.
    revision: StoreRevision,
}

/// Writes lost records again until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    let mut lost_since = None;
    loop {
        cx.timer.wait(CHECK_INTERVAL).await;
        let lost = lost_records(&cx);
        if lost.is_empty() {
            lost_since = None;
            continue;
        }
        let since = *lost_since.get_or_insert(cx.now());
        let is_due = turn(&cx).is_some_and(|turn| cx.now().since(since) >= Millis(TURN.0 * turn));
        if !is_due || !cx.feed.is_fresh() {
            continue;
        }
        for records in lost.chunks(MAX_RECORDS_PER_TXN) {
            write(&cx, records).await;
        }
        cx.timer.wait(WRITE_VISIBLE_AFTER).await;
    }
}

/// Updates the gauges of the store's era and of lost keys.
pub(crate) fn update_metrics(cx: &EdgeContext) {
    let mirror = cx.feed.mirror();
    let keys = mirror.unconfirmed();
    let unconfirmed = keys.missing.len() + keys.returned.len();
    let metrics = &cx.metrics.store_copy;
    metrics.era.set(mirror.revision().era.0 as i64);
    metrics.unconfirmed_keys.set(unconfirmed as i64);
    let age = cx.feed.age().unwrap_or_default();
    metrics.age_ms.set(age.0 as i64);
    metrics.stale.set(cx.feed.stale_count() as i64);
}

/// Returns the position of this VM among the watchers of the store.
fn turn(cx: &EdgeContext) -> Option<u64> {
    let topology = cx.feed_topology.borrow();
    let position = topology.watchers().iter().position(|vm| *vm == cx.cfg.vm);
    position.map(|at| at as u64)
}

fn lost_records(cx: &EdgeContext) -> Vec<LostRecord> {
    let lost = cx.feed.mirror().lost_in_store(OWN_PREFIX).into_iter();
    let record = |(key, value, revision): (String, bytes::Bytes, StoreRevision)| LostRecord {
        ops: [Op::put(key.clone(), value.clone())]
            .into_iter()
            .chain(rollout_status(cx, &key, &value))
            .collect(),
        key,
        revision,
    };
    lost.map(record).collect()
}

/// Returns the write of the operators' status that belongs to a rollout's record.
fn rollout_status(cx: &EdgeContext, key: &str, value: &[u8]) -> Option<Op> {
    let service = key.strip_prefix(RECORD_PREFIX)?;
    let record = serde_json::from_slice::<RolloutRecord>(value).ok()?;
    let key = format!("{}{service}", cx.dialect.keys.rollout_status_prefix);
    Some(Op::put(key, (cx.dialect.rollout_status)(&record.status()?)))
}

async fn write(cx: &EdgeContext, records: &[LostRecord]) {
    let compares = records
        .iter()
        .map(|record| Compare::unchanged(record.key.clone(), record.revision));
    let ops = records.iter().flat_map(|record| record.ops.clone());
    let txn = Txn {
        compares: compares.collect(),
        success: ops.collect(),
        ..Txn::default()
    };
    let first = records[0].key.as_str();
    match cx.store.txn(txn).await {
        Ok(done) if done.succeeded => {
            info!(records = records.len(), first; "records that the store has lost are written again");
        }
        Ok(_) => {
            info!(records = records.len(), first; "lost records not written again: one of them has changed in the store");
        }
        Err(error) => {
            warn!(records = records.len(), first, step:% = error.step, error:% = error.source; "writing lost records again failed");
        }
    }
}

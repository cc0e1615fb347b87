//! Keeps rejected requests in the platform's store. Every VM reads them before it serves, so that
//! they stay rejected even if all VMs were lost.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use futures_util::future::select;
use heatherknot_store::port::{Compare, LeaseId, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::PoisonDetector;
use super::fingerprint::Fingerprint;
use super::suspects::{Origin, Suspect, SuspectEntry, Verdict};
use crate::context::EdgeContext;
use crate::feed::Feed;

/// The prefix of the keys of rejected requests; the fingerprint follows.
pub(crate) const KEY_PREFIX: &str = "hk/rejected/";
/// The pause between two checks which records are to be written or deleted.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// How long the head of a domain waits for the VM that found a poison request to write its record.
const HEAD_FALLBACK_DELAY: Millis = Millis(2_000);
/// Maximum number of records written, and deleted, in one check.
const MAX_PER_CHECK: usize = 8;
/// How long a record is kept, in seconds.
pub(crate) const RETENTION_S: u64 = 24 * 3_600;

/// The stored record of a request that is rejected, or that was and has been cleared since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectionRecord {
    /// The request and the crashes during it.
    #[serde(flatten)]
    pub suspect: Suspect,
    /// When the record was written, in Unix seconds.
    pub at_s: u64,
    /// The VM that wrote it.
    pub by: VmName,
    /// The operator who released the request, if one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_by: Option<String>,
}

/// Returns the record of a request from this VM's copy of the store.
pub(crate) fn record_of(cx: &EdgeContext, fingerprint: &Fingerprint) -> Option<RejectionRecord> {
    let mirror = cx.feed.mirror();
    let value = mirror.get(&format!("{KEY_PREFIX}{fingerprint}"))?;
    serde_json::from_slice(value).ok()
}

/// Returns whether `value` is an earlier record of a request than `held`.
pub(crate) fn is_outdated(held: &[u8], value: &[u8]) -> bool {
    let epoch = |value: &[u8]| {
        let record = serde_json::from_slice::<RejectionRecord>(value);
        record.map(|record| record.suspect.epoch)
    };
    matches!((epoch(held), epoch(value)), (Ok(held), Ok(epoch)) if epoch < held)
}

/// Subscribes the detector to changes of the stored records.
pub(crate) fn subscribe(feed: &Rc<Feed>, detector: &Rc<PoisonDetector>) {
    let detector = Rc::clone(detector);
    feed.subscribe(KEY_PREFIX, move |change| {
        let Some(value) = &change.current.value else {
            match change.key[KEY_PREFIX.len()..].parse::<Fingerprint>() {
                Ok(fingerprint) => detector.remove(&fingerprint),
                Err(error) => warn!(key = change.key.as_str(), error:% = error; "ignored the deletion of a rejection record with an invalid key"),
            }
            return;
        };
        match serde_json::from_slice::<RejectionRecord>(value) {
            Ok(record) => detector.merge(&record.suspect, Origin::Store),
            Err(error) => warn!(key = change.key.as_str(), error:% = error; "failed to parse a rejection record"),
        }
    });
}

/// Writes and deletes records until the process ends.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    loop {
        let verdict_change = cx.poison.next_verdict_change();
        if cx.poison.suspects().is_empty() {
            verdict_change.wait().await;
        } else {
            select(verdict_change.wait(), cx.timer.wait(CHECK_INTERVAL)).await;
        }
        if cx.feed.is_fresh() {
            write_pending(&cx).await;
            delete_expired(&cx).await;
        }
    }
}

/// A record to be written.
struct PendingWrite {
    suspect: Suspect,
    /// The revision of the record that it replaces; zero where there is none.
    replaces: StoreRevision,
}

async fn write_pending(cx: &EdgeContext) {
    for PendingWrite { suspect, replaces } in pending_writes(cx) {
        let key = format!("{KEY_PREFIX}{}", suspect.request.fingerprint);
        let record = RejectionRecord {
            released_by: cx.poison.take_releaser(&suspect.request.fingerprint),
            suspect,
            at_s: unix_seconds(),
            by: cx.cfg.vm.clone(),
        };
        let value = serde_json::to_vec(&record).expect("a record always serializes");
        let put = Op::Put {
            key: key.clone(),
            value: value.into(),
            lease: LeaseId(0),
        };
        commit(cx, Compare::ModRevision(key, replaces), put).await;
    }
}

/// Returns the records that this VM has to write: those of entries that it was the last to change
/// and, as the head of its domain, those that the responsible VM has not written in time.
fn pending_writes(cx: &EdgeContext) -> Vec<PendingWrite> {
    let now = cx.now();
    let is_head = cx
        .feed_topology
        .borrow()
        .is_head(&cx.cfg.vm, &cx.cfg.domain);
    let is_responsible = |entry: &&SuspectEntry| {
        let is_local = entry.local_version == entry.version;
        let is_overdue = is_head && now.since(entry.changed_at) >= HEAD_FALLBACK_DELAY;
        is_local || is_overdue
    };
    let mirror = cx.feed.mirror();
    let suspects = cx.poison.suspects();
    let pending = suspects
        .entries()
        .filter(is_responsible)
        .filter_map(|entry| {
            let key = format!("{KEY_PREFIX}{}", entry.suspect.request.fingerprint);
            let is_pending = match record_of(cx, &entry.suspect.request.fingerprint) {
                None => suspects.verdict(&entry.suspect.request.fingerprint) == Verdict::Rejected,
                Some(record) => record.suspect.epoch < entry.suspect.epoch,
            };
            is_pending.then(|| PendingWrite {
                suspect: entry.suspect.clone(),
                replaces: mirror.revision_of(&key).unwrap_or(StoreRevision::ZERO),
            })
        });
    pending.take(MAX_PER_CHECK).collect()
}

/// Deletes the records that are past their retention, if this VM is the head of the first domain.
async fn delete_expired(cx: &EdgeContext) {
    let is_responsible = {
        let topology = cx.feed_topology.borrow();
        let first = topology.domains().next().cloned();
        first.is_some_and(|domain| topology.is_head(&cx.cfg.vm, &domain))
    };
    if !is_responsible {
        return;
    }
    let now_s = unix_seconds();
    let expired: Vec<(String, StoreRevision)> = {
        let mirror = cx.feed.mirror();
        let records = mirror.with_prefix(KEY_PREFIX).filter_map(|(key, value)| {
            let record = serde_json::from_slice::<RejectionRecord>(value).ok()?;
            let is_expired = now_s.saturating_sub(record.at_s) >= RETENTION_S;
            is_expired.then(|| Some((key.to_owned(), mirror.revision_of(key)?)))?
        });
        records.take(MAX_PER_CHECK).collect()
    };
    for (key, revision) in expired {
        let delete = Op::Delete {
            key: key.clone(),
            end: None,
        };
        commit(cx, Compare::ModRevision(key, revision), delete).await;
    }
}

async fn commit(cx: &EdgeContext, compare: Compare, op: Op) {
    let txn = Txn {
        compares: vec![compare],
        success: vec![op],
        ..Txn::default()
    };
    if let Err(error) = cx.store.txn(txn).await {
        info!(step:% = error.step, error:% = error.source; "failed to write or delete a rejection record");
    }
}

fn unix_seconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}

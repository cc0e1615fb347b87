//! Keeps rejected requests in the platform's store, from which every VM hears of them before it
//! serves, after all VMs were lost as well.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use futures_util::future::select;
use heatherknot_store::port::{Compare, LeaseId, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::PoisonDetector;
use super::fingerprint::Fingerprint;
use super::suspects::{Case, Held, Origin, Standing};
use crate::context::EdgeContext;
use crate::feed::Feed;

/// The beginning of the keys of rejected requests; the fingerprint follows.
pub(crate) const ROW_KEYS: &str = "hk/rejected/";
/// The pause between two looks at which rows are to be written or deleted.
const LOOK_EVERY: Millis = Millis(1_000);
/// How long a domain's head waits for the VM that found a request out to write its row.
const HEAD_WAITS: Millis = Millis(2_000);
/// Rows that one look writes at most.
const MOST_AT_ONCE: usize = 8;
/// How long a row is kept, in seconds of Unix time.
pub(crate) const KEPT_FOR_S: u64 = 24 * 3_600;

/// What the store holds of a request that is rejected, or was and is released.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// What is known of it.
    #[serde(flatten)]
    pub case: Case,
    /// When this was written, in Unix seconds.
    pub at_s: u64,
    /// The VM that wrote it.
    pub by: VmName,
    /// The operator who released it, where one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_by: Option<String>,
}

/// Gives the row of a request, as this VM's copy of the store has it.
pub(crate) fn row_of(cx: &EdgeContext, fingerprint: &Fingerprint) -> Option<Row> {
    let mirror = cx.feed.mirror();
    let value = mirror.get(&format!("{ROW_KEYS}{fingerprint}"))?;
    serde_json::from_slice(value).ok()
}

/// Has rows of the store taken in as they come.
pub(crate) fn subscribe(feed: &Rc<Feed>, poison: &Rc<PoisonDetector>) {
    let poison = Rc::clone(poison);
    feed.subscribe(ROW_KEYS, move |change| {
        let Some(value) = &change.current.value else {
            match change.key[ROW_KEYS.len()..].parse::<Fingerprint>() {
                Ok(fingerprint) => poison.remove(&fingerprint),
                Err(error) => warn!(key = change.key.as_str(), error:% = error; "a row of a rejected request was deleted that names none"),
            }
            return;
        };
        match serde_json::from_slice::<Row>(value) {
            Ok(row) => poison.take(&row.case, Origin::Store),
            Err(error) => warn!(key = change.key.as_str(), error:% = error; "a row of a rejected request can't be read"),
        }
    });
}

/// Writes and deletes rows for as long as the process runs.
pub(crate) async fn run(cx: Rc<EdgeContext>) {
    loop {
        let news = cx.poison.next_verdict();
        if cx.poison.suspects().is_empty() {
            news.wait().await;
        } else {
            select(news.wait(), cx.timer.wait(LOOK_EVERY)).await;
        }
        if cx.feed.is_fresh() {
            write_due(&cx).await;
            delete_old(&cx).await;
        }
    }
}

/// A row that is to be written, with the revision of the one that it replaces.
struct Due {
    case: Case,
    over: StoreRevision,
}

async fn write_due(cx: &EdgeContext) {
    for Due { case, over } in due(cx) {
        let key = format!("{ROW_KEYS}{}", case.subject.fingerprint);
        let row = Row {
            released_by: cx.poison.releaser(&case.subject.fingerprint),
            case,
            at_s: unix_s(),
            by: cx.cfg.vm.clone(),
        };
        let value = serde_json::to_vec(&row).expect("a row always serialises");
        let put = Op::Put {
            key: key.clone(),
            value: value.into(),
            lease: LeaseId(0),
        };
        change(cx, Compare::ModRevision(key, over), put).await;
    }
}

/// Gives the rows that this VM is to write: of cases that it has found out itself, and as the head
/// of its domain of those whose row is long in coming.
fn due(cx: &EdgeContext) -> Vec<Due> {
    let now = cx.now();
    let is_head = cx.relay.borrow().is_head(&cx.cfg.vm, &cx.cfg.domain);
    let is_mine = |held: &&Held| {
        let is_found_here = held.own == held.number;
        let is_long_in_coming = is_head && now.since(held.changed) >= HEAD_WAITS;
        is_found_here || is_long_in_coming
    };
    let mirror = cx.feed.mirror();
    let suspects = cx.poison.suspects();
    let due = suspects.all().filter(is_mine).filter_map(|held| {
        let key = format!("{ROW_KEYS}{}", held.case.subject.fingerprint);
        let is_due = match row_of(cx, &held.case.subject.fingerprint) {
            None => suspects.standing(&held.case.subject.fingerprint) == Standing::Rejected,
            Some(row) => row.case.epoch < held.case.epoch,
        };
        is_due.then(|| Due {
            case: held.case.clone(),
            over: mirror.revision_of(&key).unwrap_or(StoreRevision(0)),
        })
    });
    due.take(MOST_AT_ONCE).collect()
}

/// Deletes rows that are too old to count, as the head of the domain that keeps such things.
async fn delete_old(cx: &EdgeContext) {
    let is_first = {
        let relay = cx.relay.borrow();
        let first = relay.domains().next().cloned();
        first.is_some_and(|domain| relay.is_head(&cx.cfg.vm, &domain))
    };
    if !is_first {
        return;
    }
    let now_s = unix_s();
    let old: Vec<(String, StoreRevision)> = {
        let mirror = cx.feed.mirror();
        let rows = mirror.with_prefix(ROW_KEYS).filter_map(|(key, value)| {
            let row = serde_json::from_slice::<Row>(value).ok()?;
            let is_old = now_s.saturating_sub(row.at_s) >= KEPT_FOR_S;
            is_old.then(|| Some((key.to_owned(), mirror.revision_of(key)?)))?
        });
        rows.take(MOST_AT_ONCE).collect()
    };
    for (key, revision) in old {
        let delete = Op::Delete {
            key: key.clone(),
            end: None,
        };
        change(cx, Compare::ModRevision(key, revision), delete).await;
    }
}

async fn change(cx: &EdgeContext, compare: Compare, op: Op) {
    let txn = Txn {
        compares: vec![compare],
        success: vec![op],
        ..Txn::default()
    };
    if let Err(error) = cx.store.txn(txn).await {
        info!(step:% = error.step, error:% = error.source; "the store did not take a row of a rejected request");
    }
}

fn unix_s() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}

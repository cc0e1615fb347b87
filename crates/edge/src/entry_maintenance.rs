//! Maintains this VM's entry in the store and deletes the entries of VMs that are gone.
//!
//! An entry has no lease: keeping a lease alive for each VM would account for most calls to the
//! store. Peers notice within seconds that a VM is gone and leave it out of lookup answers; the
//! head of its domain then deletes its entry. A VM that restarts in place finds its entry unchanged
//! and writes nothing.

use std::rc::Rc;

use heatherknot_peer::MemberState;
use heatherknot_store::error::StoreError;
use heatherknot_store::port::{Compare, LeaseId, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::info;

use crate::context::EdgeContext;
use crate::presence::{VmEntry, domain_key_prefix, own_entry, refresh};

/// Interval at which this VM checks its own entry and those of VMs that are gone.
const CHECK_INTERVAL: Millis = Millis(2_000);
/// How long a new VM waits before each read of its domain's entries, to find those of VMs that
/// started at the same time. In remote regions a round trip to the store takes 0.3 s.
const STARTUP_READ_INTERVAL: Millis = Millis(400);
/// Maximum number of stale reads of the domain's entries by which a new VM looks for its own entry;
/// a final read must be current.
const MAX_STALE_READS: u32 = 4;
/// How long a written entry may take to appear in the local copy of the store's keys.
const WRITE_VISIBLE_AFTER: Millis = Millis(2_500);
/// How long a VM must have counted as gone before its entry is deleted. Peers consider a VM gone
/// after three to four seconds without a heartbeat.
const DELETE_AFTER: Millis = Millis(1_000);
/// The same for a VM whose domain has no live VM. A domain that lost power as a whole usually comes
/// back, and all its VMs would have to write their entries again.
const DELETE_AFTER_DOMAIN_LOSS: Millis = Millis(3_000);
/// The same for a VM of this domain that no peer has ever seen, such as one that was lost while all
/// others were down.
const DELETE_UNCONFIRMED_AFTER: Millis = Millis(6_000);
/// Maximum number of entries deleted by one transaction; half of the limit of the platform's store.
const MAX_DELETES_PER_TXN: usize = 16;

/// Maintains this VM's entry in the store until it leaves, then deletes the entry.
pub async fn run(cx: Rc<EdgeContext>) {
    let mut has_entry = read_own_domain(&cx).await;
    let mut written_at = Millis(0);
    while !cx.leaving.is_fired() {
        if !has_entry
            || (is_entry_missing(&cx) && cx.now().since(written_at) >= WRITE_VISIBLE_AFTER)
        {
            written_at = cx.now();
            has_entry = write_entry(&cx).await;
        }
        if !cx.has_read_vm_entries.get() {
            discover_concurrent_starts(&cx).await;
        }
        delete_stale_entries(&cx).await;
        let leaving = cx.leaving.wait();
        futures_util::future::select(cx.timer.wait(CHECK_INTERVAL), leaving).await;
    }
    delete_own_entry(&cx).await;
}

/// Reads the entries of this domain's VMs after a start; returns whether this VM still has an entry
/// from its previous run.
///
/// If it does, so do all VMs that were killed together with it, and it is known at once which of
/// them watches the store. A fast return to service matters most in that case.
async fn read_own_domain(cx: &EdgeContext) -> bool {
    let began = cx.now();
    let result = cx
        .feed
        .read_prefix(&domain_key_prefix(&cx.cfg.domain), true)
        .await;
    if let Err(error) = result {
        info!(step:% = error.step, error:% = error.source; "reading the VMs' entries failed");
        cx.feed.stop_awaiting_peers();
        cx.has_read_vm_entries.set(true);
        return false;
    }
    cx.store_rtt.set(Some(cx.now().since(began)));
    let has_entry = has_own_entry(cx);
    refresh(cx);
    cx.has_read_vm_entries.set(has_entry);
    has_entry
}

/// Reads the entries of this domain until this VM's own appears, and with it those of VMs that
/// started at the same time.
async fn discover_concurrent_starts(cx: &EdgeContext) {
    let keys = domain_key_prefix(&cx.cfg.domain);
    for attempt in 0..=MAX_STALE_READS {
        cx.timer.wait(STARTUP_READ_INTERVAL).await;
        let result = cx.feed.read_prefix(&keys, attempt < MAX_STALE_READS).await;
        if result.is_err() || has_own_entry(cx) {
            break;
        }
    }
    refresh(cx);
    cx.has_read_vm_entries.set(true);
}

/// Returns whether the local copy of the store's keys has an up-to-date entry of this VM.
fn has_own_entry(cx: &EdgeContext) -> bool {
    let own = own_entry(cx);
    let mirror = cx.feed.mirror();
    let entry = mirror.get(&own.key());
    let entry = entry.and_then(|value| serde_json::from_slice::<VmEntry>(value).ok());
    entry.is_some_and(|entry| entry.advertises_same(&own))
}

/// Returns whether this VM's entry was deleted by someone else. A stale copy can't tell.
fn is_entry_missing(cx: &EdgeContext) -> bool {
    cx.feed.is_fresh() && !has_own_entry(cx)
}

/// Writes this VM's entry; returns whether the store accepted it.
async fn write_entry(cx: &EdgeContext) -> bool {
    let own = own_entry(cx);
    let value = serde_json::to_vec(&own).expect("a VM entry always serializes");
    let put = Op::Put {
        key: own.key(),
        value: value.into(),
        lease: LeaseId(0),
    };
    let failed = "this VM's entry could not be written";
    let is_done = commit(cx, Vec::new(), vec![put], failed).await;
    if is_done {
        info!(vm:% = cx.cfg.vm; "this VM's entry is written to the store");
    }
    is_done
}

async fn delete_own_entry(cx: &EdgeContext) {
    let delete = Op::Delete {
        key: own_entry(cx).key(),
        end: None,
    };
    let failed = "this VM's entry could not be deleted; its domain's head will do it";
    commit(cx, Vec::new(), vec![delete], failed).await;
}

/// Deletes the entries of VMs that are gone, if this VM is responsible for them.
///
/// A VM that starts knows the others only by their entries. It would name a lost VM in lookup
/// answers until it detects the loss itself.
async fn delete_stale_entries(cx: &EdgeContext) {
    let gone = stale_entries(cx);
    for entries in gone.chunks(MAX_DELETES_PER_TXN) {
        let unchanged = entries.iter();
        let unchanged = unchanged.map(|(key, at)| Compare::ModRevision(key.clone(), *at));
        let delete = |(key, _): &(String, StoreRevision)| Op::Delete {
            key: key.clone(),
            end: None,
        };
        let deletes = entries.iter().map(delete).collect();
        info!(entries = entries.len(), first = entries[0].0.as_str(); "deleting the entries of VMs that are gone");
        let failed = "the entries of VMs that are gone could not be deleted";
        commit(cx, unchanged.collect(), deletes, failed).await;
    }
}

/// Returns the keys of the entries that this VM should delete, with their known revisions.
fn stale_entries(cx: &EdgeContext) -> Vec<(String, StoreRevision)> {
    if !cx.feed.is_fresh() {
        return Vec::new();
    }
    let topology = cx.feed_topology.borrow();
    let me = &cx.cfg.vm;
    let views = cx.membership.views().into_iter();
    let gone = views.filter(|view| {
        let domain = &view.id.domain;
        let pause = match topology.has_vms(domain) {
            true => DELETE_AFTER,
            false => DELETE_AFTER_DOMAIN_LOSS,
        };
        let is_gone = view.state == MemberState::Gone && view.age >= pause;
        is_gone && topology.deletes_entries_of(me, domain)
    });
    let mut keys: Vec<String> = gone
        .map(|view| entry_key(&view.id.domain, &view.id.vm))
        .collect();
    if topology.deletes_entries_of(me, &cx.cfg.domain) {
        let unconfirmed = cx.entries.unconfirmed(DELETE_UNCONFIRMED_AFTER, cx.now());
        keys.extend(unconfirmed.iter().map(|vm| entry_key(&cx.cfg.domain, vm)));
    }
    let mirror = cx.feed.mirror();
    let found = keys.into_iter();
    let found = found.filter_map(|key| mirror.revision_of(&key).map(|at| (key, at)));
    found.collect()
}

fn entry_key(domain: &DomainName, vm: &VmName) -> String {
    format!("{}{vm}", domain_key_prefix(domain))
}

/// Runs a transaction that applies `ops` if `compares` hold; returns whether it succeeded, and logs
/// `failed` on an error.
async fn commit(cx: &EdgeContext, compares: Vec<Compare>, ops: Vec<Op>, failed: &str) -> bool {
    let txn = Txn {
        compares,
        success: ops,
        ..Txn::default()
    };
    let done: Result<_, StoreError> = cx.store.txn(txn).await;
    match done {
        Ok(done) => done.succeeded,
        Err(error) => {
            info!(step:% = error.step, error:% = error.source, failed; "a change of the store failed");
            false
        }
    }
}

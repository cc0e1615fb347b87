//! Keeps this VM's entry in the store, and takes away those of VMs that are gone.
//!
//! An entry has no lease: extending one for each VM would be most of all calls on the store.
//! Peers notice within seconds that a VM is gone and leave it out of look-up answers; the head of
//! its domain then deletes its entry. A VM that comes back where it was finds its entry and writes
//! nothing.

use std::rc::Rc;

use heatherknot_peer::MemberState;
use heatherknot_store::error::StoreError;
use heatherknot_store::port::{Compare, LeaseId, Op, StoreRevision, Txn};
use heatherknot_types::prelude::*;
use log::info;

use crate::context::EdgeContext;
use crate::presence::{VmEntry, domain_keys, own_entry, refresh};

/// How often this VM's own entry is looked for, and those of VMs that are gone.
const CHECK_EVERY: Millis = Millis(2_000);
/// How long a new VM waits for the entries of others that may have started with it. The way to
/// the store and back takes those in far regions three tenths of a second.
const STARTED_TOGETHER: Millis = Millis(400);
/// The times that a new VM reads its domain's entries from an answer that may be old, until its
/// own is among them. After that it reads them once as they are.
const STALE_READINGS: u32 = 4;
/// How long a written entry may take to show in the copy of the store's keys.
const SHOWN_AFTER: Millis = Millis(2_500);
/// How long a VM must have been believed gone before its entry is deleted. Peers believe that
/// after three to four seconds without a sign of life.
const GONE_FOR: Millis = Millis(1_000);
/// The same where no VM of its domain is there. A domain that lost its power as a whole mostly
/// comes back, and all its VMs would have to enter themselves again.
const DOMAIN_GONE_FOR: Millis = Millis(3_000);
/// The same for a VM of the own domain of which no peer has ever said anything, as for one that
/// was lost while all others were down.
const UNHEARD_FOR: Millis = Millis(6_000);
/// Entries that one transaction deletes at most, half of what the platform's store takes.
const MOST_AT_ONCE: usize = 16;

/// Keeps this VM's entry in the store until it leaves, and then takes it away.
pub async fn run(cx: Rc<EdgeContext>) {
    let mut is_entered = find_own_domain(&cx).await;
    let mut written = Millis(0);
    while !cx.leaving.is_fired() {
        if !is_entered || (is_missing(&cx) && cx.now().since(written) >= SHOWN_AFTER) {
            written = cx.now();
            is_entered = enter(&cx).await;
        }
        if !cx.has_read_vm_entries.get() {
            find_started_together(&cx).await;
        }
        delete_gone(&cx).await;
        let leaving = cx.leaving.wait();
        futures_util::future::select(cx.timer.wait(CHECK_EVERY), leaving).await;
    }
    withdraw(&cx).await;
}

/// Reads which VMs of the own domain there are, after a start; says whether this VM's last run
/// has left its entry.
///
/// Where it has, so have those of all VMs that were killed together, and who is to read the
/// whole list is known at once. Serving again soon matters most then.
async fn find_own_domain(cx: &EdgeContext) -> bool {
    let began = cx.now();
    let found = cx.feed.read_some(&domain_keys(&cx.cfg.domain), true).await;
    if let Err(error) = found {
        info!(step:% = error.step, error:% = error.source; "the VMs' entries can't be read");
        cx.feed.end_patience();
        cx.has_read_vm_entries.set(true);
        return false;
    }
    cx.store_latency.set(Some(cx.now().since(began)));
    let is_entered = shows_own_entry(cx);
    refresh(cx);
    cx.has_read_vm_entries.set(is_entered);
    is_entered
}

/// Reads the entries of the own domain until this VM's own shows, and so those of VMs that have
/// started with it.
async fn find_started_together(cx: &EdgeContext) {
    let keys = domain_keys(&cx.cfg.domain);
    for reading in 0..=STALE_READINGS {
        cx.timer.wait(STARTED_TOGETHER).await;
        let found = cx.feed.read_some(&keys, reading < STALE_READINGS).await;
        if found.is_err() || shows_own_entry(cx) {
            break;
        }
    }
    refresh(cx);
    cx.has_read_vm_entries.set(true);
}

/// Says whether the copy of the store's keys has an entry of this VM that is still true.
fn shows_own_entry(cx: &EdgeContext) -> bool {
    let own = own_entry(cx);
    let mirror = cx.feed.mirror();
    let entry = mirror.get(&own.key());
    let entry = entry.and_then(|value| serde_json::from_slice::<VmEntry>(value).ok());
    entry.is_some_and(|entry| entry.says_the_same(&own))
}

/// Says whether this VM's entry was taken away without a word; a copy that is out of date can't
/// tell.
fn is_missing(cx: &EdgeContext) -> bool {
    cx.feed.is_fresh() && !shows_own_entry(cx)
}

/// Writes this VM's entry; says whether the store took it.
async fn enter(cx: &EdgeContext) -> bool {
    let own = own_entry(cx);
    let value = serde_json::to_vec(&own).expect("an entry always serialises");
    let put = Op::Put {
        key: own.key(),
        value: value.into(),
        lease: LeaseId(0),
    };
    let failed = "this VM's entry could not be written";
    let is_done = change(cx, Vec::new(), vec![put], failed).await;
    if is_done {
        info!(vm:% = cx.cfg.vm; "this VM has entered itself in the store");
    }
    is_done
}

async fn withdraw(cx: &EdgeContext) {
    let delete = Op::Delete {
        key: own_entry(cx).key(),
        end: None,
    };
    let failed = "this VM's entry could not be withdrawn; its domain's head will do it";
    change(cx, Vec::new(), vec![delete], failed).await;
}

/// Deletes the entries of VMs that are gone, where this VM is the one to do it.
///
/// A VM that starts knows of the others by their entries alone. It would name one that is gone
/// in look-up answers until it has found that out itself.
async fn delete_gone(cx: &EdgeContext) {
    let gone = gone_entries(cx);
    for entries in gone.chunks(MOST_AT_ONCE) {
        let unchanged = entries.iter();
        let unchanged = unchanged.map(|(key, at)| Compare::ModRevision(key.clone(), *at));
        let delete = |(key, _): &(String, StoreRevision)| Op::Delete {
            key: key.clone(),
            end: None,
        };
        let deletes = entries.iter().map(delete).collect();
        info!(entries = entries.len(), first = entries[0].0.as_str(); "entries of VMs that are gone are deleted");
        let failed = "the entries of VMs that are gone could not be deleted";
        change(cx, unchanged.collect(), deletes, failed).await;
    }
}

/// Gives the keys of the entries that this VM is to delete, with the revisions that it knows.
fn gone_entries(cx: &EdgeContext) -> Vec<(String, StoreRevision)> {
    if !cx.feed.is_fresh() {
        return Vec::new();
    }
    let relay = cx.relay.borrow();
    let me = &cx.cfg.vm;
    let views = cx.membership.views().into_iter();
    let gone = views.filter(|view| {
        let domain = &view.id.domain;
        let pause = match relay.has_vms(domain) {
            true => GONE_FOR,
            false => DOMAIN_GONE_FOR,
        };
        let is_gone = view.state == MemberState::Gone && view.age >= pause;
        is_gone && relay.keeps_entries_of(me, domain)
    });
    let mut keys: Vec<String> = gone.map(|view| key(&view.id.domain, &view.id.vm)).collect();
    if relay.keeps_entries_of(me, &cx.cfg.domain) {
        let unheard = cx.entries.unheard(UNHEARD_FOR, cx.now());
        keys.extend(unheard.iter().map(|vm| key(&cx.cfg.domain, vm)));
    }
    let mirror = cx.feed.mirror();
    let found = keys.into_iter();
    let found = found.filter_map(|key| mirror.revision_of(&key).map(|at| (key, at)));
    found.collect()
}

fn key(domain: &DomainName, vm: &VmName) -> String {
    format!("{}{vm}", domain_keys(domain))
}

/// Changes the store where `compares` hold; says whether it did, and logs why not.
async fn change(cx: &EdgeContext, compares: Vec<Compare>, ops: Vec<Op>, failed: &str) -> bool {
    let txn = Txn {
        compares,
        success: ops,
        ..Txn::default()
    };
    let done: Result<_, StoreError> = cx.store.txn(txn).await;
    match done {
        Ok(done) => done.succeeded,
        Err(error) => {
            info!(step:% = error.step, error:% = error.source, failed; "the store did not take a change");
            false
        }
    }
}

//! Which VMs there are: an entry of each in the store, tied to a lease, and the peers' word.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_peer::MemberState;
use heatherknot_store::error::{Cause, StoreError};
use heatherknot_store::port::{Lease, LeaseId, Op, Txn};
use heatherknot_store::vm_list::{VmList, VmRecord, VmState};
use heatherknot_types::prelude::*;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::relay::Relay;

/// The beginning of the keys of VMs.
const VM_KEYS: &str = "hk/vm/";
/// How long an entry outlives its VM. A VM that is gone must leave look-up answers within a
/// few seconds; a lease much shorter would be lost at each hiccup of the store.
const LEASE: Millis = Millis(6_000);
/// How often the lease is extended, so that two extensions may fail.
const EXTEND_EVERY: Millis = Millis(2_000);
/// How long a new VM waits for the entries of others that may have started with it. The way to
/// the store and back takes those in far regions three tenths of a second.
const STARTED_TOGETHER: Millis = Millis(400);
/// How long a written entry may take to show in the copy of the store's keys.
const SHOWN_AFTER: Millis = Millis(2_500);

/// One VM, as its entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Where its daemon accepts requests.
    pub requests: SocketAddr,
    /// Where its daemon accepts peers.
    pub peers: SocketAddr,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// What its link carries each way, in megabits a second; zero where it is not known.
    #[serde(default)]
    pub link_mbps: u32,
    /// How long the store took to answer it, once that was measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_way: Option<Millis>,
}

/// The entries of VMs, read from the copy of the store's keys.
///
/// An entry is parsed again only where it has changed. They are looked through a few times a
/// second, and with hundreds of VMs parsing all of them would be most of an idle daemon's work.
pub struct VmEntries {
    feed: Rc<Feed>,
    /// What each value was parsed to; nothing for one that can't be read, which is told once.
    parsed: RefCell<HashMap<String, (Bytes, Option<VmEntry>)>>,
}

impl VmEntries {
    /// Makes a reader of the entries that `feed` holds.
    pub fn new(feed: Rc<Feed>) -> Self {
        Self {
            feed,
            parsed: RefCell::default(),
        }
    }

    /// Gives the entries as they stand.
    pub fn read(&self) -> Vec<VmEntry> {
        let mirror = self.feed.mirror();
        let mut before = self.parsed.take();
        let mut parsed = HashMap::with_capacity(before.len());
        for (key, value) in mirror.with_prefix(VM_KEYS) {
            let kept = before.remove(key).filter(|(from, _)| from == value);
            let entry = kept.unwrap_or_else(|| (value.clone(), parse(key, value)));
            parsed.insert(key.to_owned(), entry);
        }
        let entries = parsed.values().filter_map(|(_, entry)| entry.clone());
        let entries = entries.collect();
        *self.parsed.borrow_mut() = parsed;
        entries
    }
}

fn parse(key: &str, value: &[u8]) -> Option<VmEntry> {
    serde_json::from_slice(value)
        .inspect_err(|error| warn!(key, error:% = error; "a VM's entry can't be read"))
        .ok()
}

/// Gives the VMs that are there as far as the store and the peers say, this one included
/// unless it is leaving. [`refresh`] brings what it gives up to date.
pub fn alive(cx: &EdgeContext) -> Rc<Vec<VmEntry>> {
    Rc::clone(&cx.vms.borrow())
}

/// Gives where a VM accepts peers, as its entry says.
pub fn peer_address(cx: &EdgeContext, vm: &VmName) -> Option<SocketAddr> {
    let vms = cx.vms.borrow();
    vms.iter()
        .find(|entry| entry.name == *vm)
        .map(|entry| entry.peers)
}

/// Looks anew which VMs are there. It is called a few times a second, so that look-ups need
/// not read all entries each time.
pub fn refresh(cx: &EdgeContext) {
    let views = cx.membership.views().into_iter();
    let doubted = views.filter(|view| view.state != MemberState::Alive);
    let doubted: HashSet<VmName> = doubted.map(|view| view.id.vm).collect();
    let mut vms = cx.entries.read();
    vms.retain(|vm| vm.name != cx.cfg.vm && !doubted.contains(&vm.name));
    if !cx.leaving.is_fired() {
        vms.push(own_entry(cx));
    }
    cx.metrics.vms.set(vms.len() as i64);
    cx.most_vms.set(cx.most_vms.get().max(vms.len()));
    *cx.relay.borrow_mut() = Rc::new(Relay::new(&vms));
    *cx.vms.borrow_mut() = Rc::new(vms);
}

/// Makes the list of VMs that membership reads: the entries, from the copy at hand.
pub fn vm_list(entries: &Rc<VmEntries>) -> VmList {
    let entries = Rc::clone(entries);
    VmList {
        read: Rc::new(move || {
            let records = entries.read().into_iter().map(to_record).collect();
            Box::pin(std::future::ready(Ok(records)))
        }),
    }
}

fn to_record(entry: VmEntry) -> VmRecord {
    VmRecord {
        name: entry.name,
        domain: entry.domain,
        address: entry.peers,
        state: VmState::Live,
        age_ms: Millis(0),
    }
}

fn own_entry(cx: &EdgeContext) -> VmEntry {
    VmEntry {
        name: cx.cfg.vm.clone(),
        domain: cx.cfg.domain.clone(),
        region: cx.region.clone(),
        requests: cx.cfg.listen.requests,
        peers: cx.cfg.listen.peers,
        incarnation: cx.incarnation,
        link_mbps: cx.cfg.link_mbps.unwrap_or_default() as u32,
        store_way: cx.store_way.get(),
    }
}

/// Keeps this VM's entry in the store until it leaves, and then takes it away.
pub async fn run(cx: Rc<EdgeContext>) {
    let found = find_vms(&cx).await;
    let mut lease: Option<Lease> = None;
    let mut written = Millis(0);
    while !cx.leaving.is_fired() {
        let shown = is_shown(&cx) || cx.now().since(written) < SHOWN_AFTER;
        let held = match lease {
            Some(held) if shown => extend(&cx, held).await,
            _ => {
                written = cx.now();
                enter(&cx).await
            }
        };
        if !cx.knows_vms.get() {
            find_new_vms(&cx, found).await;
        }
        lease = match held {
            Ok(held) => Some(held),
            Err(error) if error.source == Cause::LeaseNotFound => None,
            Err(error) => {
                info!(step:% = error.step, error:% = error.source; "this VM's entry could not be kept up");
                lease
            }
        };
        let leaving = cx.leaving.wait();
        futures_util::future::select(cx.timer.wait(EXTEND_EVERY), leaving).await;
    }
    if let Some(held) = lease {
        withdraw(&cx, held.id).await;
    }
}

/// Reads which VMs there are, after a start; says whether the store answered. Where the store
/// holds little, the same answer holds everything.
///
/// Where this VM's last run has left its entry, so have those of all VMs that were killed
/// together, and who is to read the whole list is known at once. Serving again soon matters
/// most then.
async fn find_vms(cx: &EdgeContext) -> bool {
    match cx.feed.read_first().await {
        Ok(is_all) => {
            let entries = cx.entries.read();
            let was_here = entries.iter().any(|entry| entry.name == cx.cfg.vm);
            refresh(cx);
            cx.knows_vms.set(was_here || is_all);
            true
        }
        Err(error) => {
            info!(step:% = error.step, error:% = error.source; "the VMs' entries can't be read");
            cx.feed.end_patience();
            cx.knows_vms.set(true);
            false
        }
    }
}

/// Reads once more which VMs there are, once this VM's own entry is there and those of VMs that
/// have started with it.
async fn find_new_vms(cx: &EdgeContext, store_answered: bool) {
    if store_answered {
        cx.timer.wait(STARTED_TOGETHER).await;
        find_vms(cx).await;
    }
    cx.knows_vms.set(true);
}

/// Says whether the store still shows the entry of this run. It may have been taken away
/// without a word; a copy that is out of date can't tell.
fn is_shown(cx: &EdgeContext) -> bool {
    let key = format!("{VM_KEYS}{}", cx.cfg.vm);
    let mirror = cx.feed.mirror();
    let entry: Option<VmEntry> = mirror
        .get(&key)
        .and_then(|v| serde_json::from_slice(v).ok());
    !cx.feed.is_fresh() || entry.is_some_and(|entry| entry.incarnation == cx.incarnation)
}

async fn extend(cx: &EdgeContext, held: Lease) -> Result<Lease, StoreError> {
    (cx.store.lease_keepalive)(held.id).await
}

async fn enter(cx: &EdgeContext) -> Result<Lease, StoreError> {
    let shortest = Millis((cx.cfg.store.min_lease_s * 1000.0).ceil() as u64);
    let began = cx.now();
    let lease = (cx.store.lease_grant)(LEASE.max(shortest)).await?;
    cx.store_way.set(Some(cx.now().since(began)));
    let value = serde_json::to_vec(&own_entry(cx)).expect("an entry always serialises");
    let put = Op::Put {
        key: format!("{VM_KEYS}{}", cx.cfg.vm),
        value: value.into(),
        lease: lease.id,
    };
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    cx.store.txn(txn).await?;
    info!(vm:% = cx.cfg.vm, lease = lease.id.0, ttl_ms = lease.ttl.0; "this VM has entered itself in the store");
    Ok(lease)
}

async fn withdraw(cx: &EdgeContext, id: LeaseId) {
    if let Err(error) = (cx.store.lease_revoke)(id).await {
        info!(error:% = error; "this VM's entry could not be withdrawn; its lease will end");
    }
}

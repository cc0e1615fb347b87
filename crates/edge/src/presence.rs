//! The set of live VMs, derived from their entries in the store and from peer heartbeats.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use heatherknot_peer::MemberState;
use heatherknot_store::port::StoreRevision;
use heatherknot_store::vm_list::{VmList, VmRecord, VmState};
use heatherknot_types::prelude::*;
use log::warn;
use serde::{Deserialize, Serialize};

use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::feed_topology::FeedTopology;
use crate::switches::Mechanism;

/// Key prefix of VM entries. The failure domain and the VM's name follow, so that a starting VM can
/// read just the few entries of its own domain.
const VM_KEY_PREFIX: &str = "hk/vm/";

/// How long a VM of this domain may have an entry without any peer having seen it, before it is
/// left out of lookup answers. Heartbeats make all VMs of a domain known to each other within two
/// seconds.
const UNCONFIRMED_LIMIT: Millis = Millis(4_000);

/// A VM's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub name: VmName,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// The region that it lies in.
    pub region: RegionName,
    /// Address at which its daemon accepts requests.
    pub requests: SocketAddr,
    /// Address at which its daemon accepts peer connections.
    pub peers: SocketAddr,
    /// Identifies the run of its daemon.
    pub incarnation: Incarnation,
    /// Bandwidth of its link in each direction, in megabits per second; zero if unknown.
    #[serde(default)]
    pub link_mbps: u32,
    /// CPU capacity in thousandths of a core; zero if unknown.
    #[serde(default)]
    pub cpu_permille: u32,
    /// Address at which its daemon accepts requests handed over by other VMs, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handed: Option<SocketAddr>,
    /// Response time of the store for this VM, once measured.
    #[serde(rename = "store_way")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_rtt: Option<Millis>,
}

/// Reader for the VMs' entries in the local copy of the store.
///
/// Entries are read several times a second. They are collected again only after a change, and only
/// changed ones are parsed. With hundreds of VMs the work would otherwise dominate an idle daemon's
/// CPU use.
pub struct VmEntries {
    feed: Rc<Feed>,
    /// The parsed form of each value; `None` for an invalid one, which is logged once.
    parsed: RefCell<HashMap<String, (Bytes, Option<VmEntry>)>>,
    /// The valid entries, sorted by name.
    entries: RefCell<Rc<Vec<VmEntry>>>,
    /// Whether an entry has changed since they were collected.
    has_changed: Rc<Cell<bool>>,
    /// VMs of this domain that have an entry but were not seen by any peer, with the time since
    /// when.
    unconfirmed: RefCell<HashMap<VmName, Millis>>,
}

impl VmEntry {
    /// Returns the key of this entry.
    pub fn key(&self) -> String {
        format!("{}{}", domain_key_prefix(&self.domain), self.name)
    }

    /// Returns whether `other` advertises the same to callers and peers, regardless of which run
    /// wrote it.
    pub fn advertises_same(&self, other: &VmEntry) -> bool {
        let own = Self {
            incarnation: other.incarnation,
            store_rtt: other.store_rtt,
            ..self.clone()
        };
        own == *other
    }
}

/// Returns the key prefix of the entries of a domain's VMs.
pub fn domain_key_prefix(domain: &DomainName) -> String {
    format!("{VM_KEY_PREFIX}{domain}/")
}

impl VmEntries {
    /// Creates a reader of the entries in `feed`.
    pub fn new(feed: Rc<Feed>) -> Self {
        let has_changed = Rc::new(Cell::new(true));
        let flag = Rc::clone(&has_changed);
        feed.subscribe(VM_KEY_PREFIX, move |_| flag.set(true));
        Self {
            feed,
            parsed: RefCell::default(),
            entries: RefCell::default(),
            has_changed,
            unconfirmed: RefCell::default(),
        }
    }

    /// Returns the VMs whose entries have existed for at least `span` without any peer having seen
    /// them.
    ///
    /// A VM that was lost before this one started never answers, so no peer ever reports it as
    /// gone. Without this check its entry would be returned to callers forever.
    pub fn unconfirmed(&self, span: Millis, now: Millis) -> HashSet<VmName> {
        let unconfirmed = self.unconfirmed.borrow();
        let overdue = unconfirmed
            .iter()
            .filter(|(_, since)| now.since(**since) >= span);
        overdue.map(|(vm, _)| vm.clone()).collect()
    }

    /// Updates which of the `expected` VMs no peer has seen.
    fn track_unconfirmed(
        &self,
        expected: &[&VmEntry],
        seen_by_peers: &HashSet<VmName>,
        now: Millis,
    ) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        unconfirmed
            .retain(|vm, _| expected.iter().any(|e| e.name == *vm) && !seen_by_peers.contains(vm));
        for entry in expected
            .iter()
            .filter(|entry| !seen_by_peers.contains(&entry.name))
        {
            unconfirmed.entry(entry.name.clone()).or_insert(now);
        }
    }

    /// Returns whether every entry of this domain's VMs was confirmed by a peer.
    fn are_all_confirmed(&self) -> bool {
        self.unconfirmed.borrow().is_empty()
    }

    /// Returns the current entries, sorted by name.
    pub fn read(&self) -> Rc<Vec<VmEntry>> {
        if self.has_changed.replace(false) {
            *self.entries.borrow_mut() = Rc::new(self.collect());
        }
        Rc::clone(&self.entries.borrow())
    }

    fn collect(&self) -> Vec<VmEntry> {
        let mirror = self.feed.mirror();
        let mut before = self.parsed.take();
        let mut parsed = HashMap::with_capacity(before.len());
        for (key, value) in mirror.with_prefix(VM_KEY_PREFIX) {
            let kept = before.remove(key).filter(|(from, _)| from == value);
            let entry = kept.unwrap_or_else(|| (value.clone(), parse(key, value)));
            parsed.insert(key.to_owned(), entry);
        }
        let entries = parsed.values().filter_map(|(_, entry)| entry.clone());
        let mut entries: Vec<VmEntry> = entries.collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        *self.parsed.borrow_mut() = parsed;
        entries
    }
}

fn parse(key: &str, value: &[u8]) -> Option<VmEntry> {
    serde_json::from_slice(value)
        .inspect_err(|error| warn!(key, error:% = error; "a VM's entry is invalid"))
        .ok()
}

/// Returns the VMs that are live according to the store and the peers, including this one unless it
/// is leaving. [`refresh`] updates the list.
pub fn live_vms(cx: &EdgeContext) -> Rc<Vec<VmEntry>> {
    Rc::clone(&cx.vms.borrow())
}

/// Returns the address at which a VM accepts peer connections, according to its entry.
pub fn peer_address(cx: &EdgeContext, vm: &VmName) -> Option<SocketAddr> {
    let vms = cx.vms.borrow();
    vms.iter()
        .find(|entry| entry.name == *vm)
        .map(|entry| entry.peers)
}

/// What the list of live VMs was computed from.
#[derive(Clone, Debug, Default)]
pub struct RefreshInput {
    entries: Rc<Vec<VmEntry>>,
    membership_generation: u64,
    own: Option<VmEntry>,
}

/// Recomputes the list of live VMs if what it depends on has changed. Called several times a second,
/// so that lookups need not read all entries each time.
pub fn refresh(cx: &EdgeContext) {
    let input = RefreshInput {
        entries: cx.entries.read(),
        membership_generation: cx.membership.generation(),
        own: (!cx.leaving.is_fired()).then(|| own_entry(cx)),
    };
    let last = cx.refresh_input.replace(input.clone());
    let is_same = Rc::ptr_eq(&last.entries, &input.entries)
        && last.membership_generation == input.membership_generation
        && last.own == input.own;
    // Whether a VM that no peer has seen counts as alive depends on the time as well.
    if !is_same || !cx.entries.are_all_confirmed() {
        recompute(cx, &input);
    }
    cx.metrics.vms.set(cx.vms.borrow().len() as i64);
    if cx.feed.mirror().revision() > StoreRevision::ZERO {
        let vms = cx.vms.borrow().len();
        cx.max_vms_seen.set(cx.max_vms_seen.get().max(vms));
        cx.quota.record_vm_count(vms);
        cx.request_limits
            .set_share(reachable_share(vms, cx.quota.most_vms()));
    }
}

/// Returns the part of a limit of all VMs that the VMs which this one reaches may use. `live` is their
/// number, `most` the highest number of VMs that may be running.
///
/// The VMs on the other side of a partition use the rest. With the whole limit on each side, the sum
/// would exceed it.
pub fn reachable_share(live: usize, most: usize) -> f64 {
    match most {
        0 => 0.0,
        _ => (live as f64 / most as f64).min(1.0),
    }
}

fn recompute(cx: &EdgeContext, input: &RefreshInput) {
    let views = cx.membership.views();
    let seen_by_peers = views.iter().map(|view| view.id.vm.clone()).collect();
    let suspected = views
        .into_iter()
        .filter(|view| view.state != MemberState::Alive);
    let mut suspected: HashSet<VmName> = suspected.map(|view| view.id.vm).collect();
    let others = input.entries.iter().filter(|vm| vm.name != cx.cfg.vm);
    let in_domain = others.clone().filter(|vm| vm.domain == cx.cfg.domain);
    let domain_entries: Vec<&VmEntry> = in_domain.collect();
    cx.entries
        .track_unconfirmed(&domain_entries, &seen_by_peers, cx.now());
    suspected.extend(cx.entries.unconfirmed(UNCONFIRMED_LIMIT, cx.now()));
    let alive = others.filter(|vm| !suspected.contains(&vm.name)).cloned();
    let mut vms: Vec<VmEntry> = alive.chain(input.own.clone()).collect();
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    if **cx.vms.borrow() == vms {
        return;
    }
    cx.homes.vms_changed(&vms);
    *cx.feed_topology.borrow_mut() = Rc::new(FeedTopology::new(&vms));
    let vms = Rc::new(vms);
    cx.request_limits.set_vms(&vms);
    *cx.vms.borrow_mut() = vms;
}

/// Returns the list of VMs that membership uses, read from the entries in the local copy.
pub fn vm_list(entries: &Rc<VmEntries>) -> VmList {
    let entries = Rc::clone(entries);
    VmList {
        read: Rc::new(move || {
            let records = entries.read().iter().cloned().map(to_record).collect();
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

pub(crate) fn own_entry(cx: &EdgeContext) -> VmEntry {
    VmEntry {
        name: cx.cfg.vm.clone(),
        domain: cx.cfg.domain.clone(),
        region: cx.region.clone(),
        requests: cx.cfg.listen.requests,
        peers: cx.cfg.listen.peers,
        incarnation: cx.incarnation,
        link_mbps: cx.cfg.link_mbps.unwrap_or_default() as u32,
        cpu_permille: (cx.cfg.cpu_share.unwrap_or_default() * 1000.0) as u32,
        handed: cx
            .cfg
            .listen
            .handed
            .filter(|_| cx.switches.is_on(Mechanism::HandOver)),
        store_rtt: cx.store_rtt.get(),
    }
}

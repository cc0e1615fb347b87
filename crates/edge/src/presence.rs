//! Which VMs there are: an entry of each in the store, and the peers' word.

use std::cell::RefCell;
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
use crate::relay::Relay;
use crate::switches::Mechanism;

/// The beginning of the keys of VMs. The failure domain and the name follow, so that a VM that
/// starts can read the few entries of its own domain.
const VM_KEYS: &str = "hk/vm/";

/// How long a VM of the own domain may have an entry without a word of any peer before it is left
/// out of look-up answers. Heartbeats tell all VMs of a domain of each other within two seconds.
const UNHEARD_FOR: Millis = Millis(4_000);

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
    /// The thousandths of a core that it has; zero where that is not known.
    #[serde(default)]
    pub cpu_permille: u32,
    /// Where its daemon takes requests that others hand over, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handed: Option<SocketAddr>,
    /// How long the store took to answer it, once that was measured.
    #[serde(rename = "store_way")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_rtt: Option<Millis>,
}

/// The entries of VMs, read from the copy of the store's keys.
///
/// An entry is parsed again only where it has changed. They are looked through a few times a
/// second, and with hundreds of VMs parsing all of them would be most of an idle daemon's work.
pub struct VmEntries {
    feed: Rc<Feed>,
    /// What each value was parsed to; nothing for one that can't be read, which is told once.
    parsed: RefCell<HashMap<String, (Bytes, Option<VmEntry>)>>,
    /// Since when VMs of the own domain have entries and no peer has said anything of them.
    unheard: RefCell<HashMap<VmName, Millis>>,
}

impl VmEntry {
    /// Gives the key of its entry.
    pub fn key(&self) -> String {
        format!("{}{}", domain_keys(&self.domain), self.name)
    }

    /// Says whether `other` tells callers and peers the same, whichever run wrote it.
    pub fn says_the_same(&self, other: &VmEntry) -> bool {
        let own = Self {
            incarnation: other.incarnation,
            store_rtt: other.store_rtt,
            ..self.clone()
        };
        own == *other
    }
}

/// Gives the beginning of the keys of a domain's VMs.
pub fn domain_keys(domain: &DomainName) -> String {
    format!("{VM_KEYS}{domain}/")
}

impl VmEntries {
    /// Makes a reader of the entries that `feed` holds.
    pub fn new(feed: Rc<Feed>) -> Self {
        Self {
            feed,
            parsed: RefCell::default(),
            unheard: RefCell::default(),
        }
    }

    /// Gives the VMs whose entries have stood for `span` at `now` without a word of any peer.
    ///
    /// A VM that was lost before this one started answers nobody, so nobody ever says that it
    /// is gone. Without this its entry would name it to callers for good.
    pub fn unheard(&self, span: Millis, now: Millis) -> HashSet<VmName> {
        let unheard = self.unheard.borrow();
        let long = unheard
            .iter()
            .filter(|(_, since)| now.since(**since) >= span);
        long.map(|(vm, _)| vm.clone()).collect()
    }

    /// Notes which of the `expected` VMs no peer has said anything of.
    fn note_unheard(&self, expected: &[&VmEntry], heard: &HashSet<VmName>, now: Millis) {
        let mut unheard = self.unheard.borrow_mut();
        unheard.retain(|vm, _| expected.iter().any(|e| e.name == *vm) && !heard.contains(vm));
        for entry in expected.iter().filter(|entry| !heard.contains(&entry.name)) {
            unheard.entry(entry.name.clone()).or_insert(now);
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
pub fn live_vms(cx: &EdgeContext) -> Rc<Vec<VmEntry>> {
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
    let views = cx.membership.views();
    let heard = views.iter().map(|view| view.id.vm.clone()).collect();
    let doubted = views
        .into_iter()
        .filter(|view| view.state != MemberState::Alive);
    let mut doubted: HashSet<VmName> = doubted.map(|view| view.id.vm).collect();
    let mut vms = cx.entries.read();
    vms.retain(|vm| vm.name != cx.cfg.vm);
    let neighbours: Vec<&VmEntry> = vms.iter().filter(|vm| vm.domain == cx.cfg.domain).collect();
    cx.entries.note_unheard(&neighbours, &heard, cx.now());
    doubted.extend(cx.entries.unheard(UNHEARD_FOR, cx.now()));
    vms.retain(|vm| !doubted.contains(&vm.name));
    if !cx.leaving.is_fired() {
        vms.push(own_entry(cx));
    }
    cx.metrics.vms.set(vms.len() as i64);
    if cx.feed.mirror().at() > StoreRevision(0) {
        cx.max_vms_seen.set(cx.max_vms_seen.get().max(vms.len()));
        cx.quota.note_vms(vms.len());
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    if **cx.vms.borrow() == vms {
        return;
    }
    cx.homes.vms_changed(&vms);
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
        store_rtt: cx.store_latency.get(),
    }
}

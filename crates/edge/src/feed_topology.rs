//! Which VMs watch the store, and from which VMs the others get the changes.
//!
//! One VM of each failure domain in the region nearest to the store watches it. The first-ranked VM
//! of every other domain gets the changes from those watchers, and the remaining VMs of each domain
//! from their own first-ranked VM. This keeps traffic between regions and calls to the store low,
//! and only one VM of a remote domain is sent a full copy from another region.

use std::collections::BTreeMap;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::presence::VmEntry;

/// Number of VMs of a domain that its other VMs ask: the first-ranked one, called the head, and a
/// standby for when it does not answer.
const LEADERS_PER_DOMAIN: usize = 2;

/// The sources from which each VM gets the changes of the store. All VMs that know the same set of
/// VMs compute the same topology.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedTopology {
    /// The leaders of each domain, the head first.
    leaders: BTreeMap<DomainName, Vec<VmName>>,
    /// The VMs of each domain that pass the first copy of all keys on to its other VMs, the head
    /// first.
    relays: BTreeMap<DomainName, Vec<VmName>>,
    /// The VMs that watch the store, the first-ranked one first.
    watchers: Vec<VmName>,
}

impl FeedTopology {
    /// Computes the topology of `vms`.
    pub fn new(vms: &[VmEntry]) -> Self {
        let mut ranked: Vec<&VmEntry> = vms.iter().collect();
        ranked.sort_by_key(|vm| std::cmp::Reverse(rank(vm)));
        let nearest = nearest_region(vms);
        let mut vms_in_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
        vms.iter()
            .for_each(|vm| *vms_in_domain.entry(&vm.domain).or_default() += 1);
        let mut topology = Self::default();
        for vm in ranked {
            let relays = topology.relays.entry(vm.domain.clone()).or_default();
            if relays.len() < relay_count(vms_in_domain[&vm.domain]) {
                relays.push(vm.name.clone());
            }
            let leaders = topology.leaders.entry(vm.domain.clone()).or_default();
            let is_near = nearest.is_none_or(|nearest| vm.region == *nearest);
            if leaders.is_empty() && is_near {
                topology.watchers.push(vm.name.clone());
            }
            if leaders.len() < LEADERS_PER_DOMAIN {
                leaders.push(vm.name.clone());
            }
        }
        topology
    }

    /// Returns the VMs that watch the store, the first-ranked one first.
    pub fn watchers(&self) -> &[VmName] {
        &self.watchers
    }

    /// Returns whether `vm` watches the store.
    pub fn is_watcher(&self, vm: &VmName) -> bool {
        self.watchers.contains(vm)
    }

    /// Returns whether `vm` is the head of `domain`, which its other VMs ask first.
    pub fn is_head(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.leaders.get(domain).and_then(|vms| vms.first()) == Some(vm)
    }

    /// Returns whether `vm` is one of the leaders of `domain`.
    pub fn is_leader(&self, vm: &VmName, domain: &DomainName) -> bool {
        let leaders = self.leaders.get(domain);
        leaders.is_some_and(|leaders| leaders.contains(vm))
    }

    /// Returns whether `vm` is one of the first-ranked VMs of `domain`, which pass the first copy on.
    pub fn is_relay(&self, vm: &VmName, domain: &DomainName) -> bool {
        let relays = self.relays.get(domain);
        relays.is_some_and(|relays| relays.contains(vm))
    }

    /// Returns the leaders of `domain`, the head first.
    pub fn leaders(&self, domain: &DomainName) -> &[VmName] {
        self.leaders.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the domains that have at least one live VM.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.leaders.keys()
    }

    /// Returns whether `domain` has a live VM.
    pub fn has_vms(&self, domain: &DomainName) -> bool {
        self.leaders.contains_key(domain)
    }

    /// Returns whether `vm` deletes the entries of lost VMs of `domain`: the head of the domain
    /// does, or the first-ranked watcher of the store if the domain has no live VM.
    pub fn deletes_entries_of(&self, vm: &VmName, domain: &DomainName) -> bool {
        match self.has_vms(domain) {
            true => self.is_head(vm, domain),
            false => self.watchers.first() == Some(vm),
        }
    }

    /// Returns the VMs that `vm` of `domain` asks for its first copy of all keys, in order of
    /// preference.
    ///
    /// If the head sent it to every VM of a large domain, its link would be busy for seconds after a
    /// restart of all VMs. A VM therefore asks one of the relays, and the relays ask the leaders.
    pub fn first_copy_sources(&self, vm: &VmName, domain: &DomainName) -> Vec<VmName> {
        let sources = self.sources(vm, domain);
        let relays = self.relays.get(domain).map_or(&[][..], Vec::as_slice);
        if relays.contains(vm) || self.is_leader(vm, domain) {
            return sources;
        }
        let rank = |relay: &&VmName| hash::rendezvous(&[vm.as_str().as_bytes()], relay.as_str());
        let relay = relays.iter().min_by_key(rank).cloned();
        let others = sources
            .into_iter()
            .filter(|source| Some(source) != relay.as_ref());
        let others: Vec<VmName> = others.collect();
        relay.into_iter().chain(others).collect()
    }

    /// Returns the VMs that `vm` of `domain` asks for changes, in order of preference.
    ///
    /// The leaders of a domain ask the watchers of the store, each in its own order, which spreads
    /// the load; the standby asks the head first. All other VMs ask only the leaders of their
    /// domain.
    pub fn sources(&self, vm: &VmName, domain: &DomainName) -> Vec<VmName> {
        let leaders = self.leaders(domain);
        let preceding = leaders.iter().take_while(|leader| *leader != vm);
        let mut sources: Vec<VmName> = preceding.cloned().collect();
        if leaders.contains(vm) {
            let mut watchers = self.watchers.clone();
            let rank =
                |watcher: &VmName| hash::rendezvous(&[vm.as_str().as_bytes()], watcher.as_str());
            watchers.sort_by_key(rank);
            watchers.retain(|watcher| watcher != vm && !sources.contains(watcher));
            sources.extend(watchers);
        }
        sources
    }
}

/// Returns the number of a domain's VMs that pass the first copy on. The head sends it to as many
/// VMs as each of those does.
fn relay_count(vms: usize) -> usize {
    (vms as f64).sqrt().ceil() as usize
}

/// Returns the sort key of a VM within its domain; the widest link ranks first.
///
/// After a restart of all VMs the first-ranked ones send full copies to the other VMs of their
/// domain, and each of those needs it before it can serve.
fn rank(vm: &VmEntry) -> (u32, u64) {
    (vm.link_mbps, hash::rendezvous(&[], vm.name.as_str()))
}

/// Returns the region of the VM with the shortest measured response time of the store, or `None` if
/// no VM has measured it.
fn nearest_region(vms: &[VmEntry]) -> Option<&RegionName> {
    let measured = vms
        .iter()
        .filter_map(|vm| Some((vm.store_rtt?, &vm.region)));
    measured.min().map(|(_, region)| region)
}

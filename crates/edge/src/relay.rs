//! Which VMs read the store, and from whom the others hear what changed.
//!
//! One VM of each failure domain in the region nearest to the store reads it. The first-ranked
//! VM of each other domain hears from those, and all VMs of a domain from its own. Little
//! crosses between regions then, and few calls are made on the store. A whole copy goes to one VM
//! of a far domain and not to all of them.

use std::collections::BTreeMap;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::presence::VmEntry;

/// VMs of a domain that the others of it ask: the first-ranked one, and one for when that does
/// not answer.
const LEADERS: usize = 2;

/// Who hears from whom, as all VMs that know the same VMs work it out alike.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relay {
    /// The first-ranked VMs of each domain.
    leaders: BTreeMap<DomainName, Vec<VmName>>,
    /// Those that read the store, the first-ranked one first.
    readers: Vec<VmName>,
}

impl Relay {
    /// Works out who hears from whom among `vms`.
    pub fn new(vms: &[VmEntry]) -> Self {
        let mut ranked: Vec<&VmEntry> = vms.iter().collect();
        ranked.sort_by_key(|vm| std::cmp::Reverse(rank(vm)));
        let nearest = nearest_region(vms);
        let mut relay = Self::default();
        for vm in ranked {
            let leaders = relay.leaders.entry(vm.domain.clone()).or_default();
            let is_near = nearest.is_none_or(|nearest| vm.region == *nearest);
            if leaders.is_empty() && is_near {
                relay.readers.push(vm.name.clone());
            }
            if leaders.len() < LEADERS {
                leaders.push(vm.name.clone());
            }
        }
        relay
    }

    /// Says whether `vm` reads the store.
    pub fn reads_store(&self, vm: &VmName) -> bool {
        self.readers.contains(vm)
    }

    /// Says whether `vm` is the one that the others of `domain` ask.
    pub fn is_head(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.leaders.get(domain).and_then(|vms| vms.first()) == Some(vm)
    }

    /// Says whether `vm` is one of those that the others of `domain` ask.
    pub fn is_leader(&self, vm: &VmName, domain: &DomainName) -> bool {
        let leaders = self.leaders.get(domain);
        leaders.is_some_and(|leaders| leaders.contains(vm))
    }

    /// Gives those that the others of `domain` ask, the head first.
    pub fn leaders(&self, domain: &DomainName) -> &[VmName] {
        self.leaders.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Gives the domains of which any VM is there.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.leaders.keys()
    }

    /// Says whether any VM of `domain` is there.
    pub fn has_vms(&self, domain: &DomainName) -> bool {
        self.leaders.contains_key(domain)
    }

    /// Says whether `vm` is the one that deletes the entries of VMs of `domain` that are gone: the
    /// head of the domain, or the first one that reads the store where nobody is left there.
    pub fn keeps_entries_of(&self, vm: &VmName, domain: &DomainName) -> bool {
        match self.has_vms(domain) {
            true => self.is_head(vm, domain),
            false => self.readers.first() == Some(vm),
        }
    }

    /// Gives whom `vm` of `domain` asks what changed, the best one first.
    ///
    /// The leaders of a domain ask those that read the store, each in an order of its own,
    /// which spreads their questions. All others ask the leaders of their domain only.
    pub fn sources(&self, vm: &VmName, domain: &DomainName) -> Vec<VmName> {
        let leaders = self.leaders(domain);
        let before = leaders.iter().take_while(|leader| *leader != vm);
        let mut sources: Vec<VmName> = before.cloned().collect();
        if leaders.contains(vm) {
            let mut readers = self.readers.clone();
            let rank =
                |reader: &VmName| hash::rendezvous(&[vm.as_str().as_bytes()], reader.as_str());
            readers.sort_by_key(rank);
            readers.retain(|reader| reader != vm && !sources.contains(reader));
            sources.extend(readers);
        }
        sources
    }
}

/// Gives a VM's place among those of its domain: those with the widest links come first.
///
/// Around a restart of all VMs the first one sends a copy of everything to each VM of its
/// domain, which all of them need before they can serve.
fn rank(vm: &VmEntry) -> (u32, u64) {
    (vm.link_mbps, hash::rendezvous(&[], vm.name.as_str()))
}

/// Gives the region from which one VM at least reaches the store sooner than any VM of
/// another region does, where any VM has measured it.
fn nearest_region(vms: &[VmEntry]) -> Option<&RegionName> {
    let measured = vms
        .iter()
        .filter_map(|vm| Some((vm.store_rtt?, &vm.region)));
    measured.min().map(|(_, region)| region)
}

//! The entry VMs that a daemon knows of.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use heatherknot_types::prelude::*;

/// What is known of an entry VM. It is a hint: the VM may have changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// It answered lately.
    Alive,
    /// It has not answered lately.
    Suspect,
    /// It is being stopped as planned and must not be named in new answers.
    Leaving,
}

/// One entry VM as a look-up answer names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The run of the daemon on it, where known.
    pub incarnation: Incarnation,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// What is known of it.
    pub presence: Presence,
}

/// All entry VMs that a daemon knows of, itself included, by failure domain: a look-up reads
/// the domains that it names and costs the same however many others there are.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    domains: BTreeMap<DomainName, Vec<EntryVm>>,
}

impl Directory {
    /// Makes a directory of VMs in any order.
    pub fn new(vms: impl IntoIterator<Item = EntryVm>) -> Self {
        let mut domains: BTreeMap<DomainName, Vec<EntryVm>> = BTreeMap::new();
        for vm in vms {
            match domains.get_mut(&vm.domain) {
                Some(known) => known.push(vm),
                None => drop(domains.insert(vm.domain.clone(), vec![vm])),
            }
        }
        Self { domains }
    }

    /// Gives all VMs.
    pub fn vms(&self) -> impl Iterator<Item = &EntryVm> {
        self.domains.values().flatten()
    }

    /// Gives the VMs of a failure domain, in no particular order.
    pub fn in_domain(&self, domain: &DomainName) -> &[EntryVm] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }
}

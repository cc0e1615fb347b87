//! Selects which updates of suspects a VM sends to which peers.
//!
//! A VM sends the leaders of its failure domain what it found itself. A leader sends updates to
//! all VMs of its domain and to the leaders of the other domains, which do the same there. A peer
//! that does not answer is sent the same again until it answers or is gone. One that has restarted
//! is sent everything that this VM would send it.

use std::collections::HashMap;

use heatherknot_types::prelude::*;

use super::suspects::{Suspect, SuspectEntry, SuspectTable};
use crate::feed_topology::FeedTopology;
use crate::presence::VmEntry;

/// Maximum number of suspects in one message, which then stays under 10 KB. A server that crashes
/// takes a dozen requests with it, and their updates must not wait for each other.
const MAX_BATCH: usize = 64;

/// What a peer is to the VM that sends it updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRole {
    /// A leader of the sender's domain, where the sender is not one itself.
    OwnLeader,
    /// A VM of the domain that the sender leads.
    DomainMember,
    /// A leader of another domain, where the sender is a leader of its own.
    OtherLeader,
}

impl PeerRole {
    /// Returns the version of an entry's last change that a peer with this role is sent. Each is
    /// sent only what does not reach it otherwise; changes from the store reach every VM.
    fn version_of(self, entry: &SuspectEntry) -> u64 {
        match self {
            PeerRole::OwnLeader => entry.local_version,
            PeerRole::OtherLeader => entry.domain_version,
            PeerRole::DomainMember => entry.non_store_version,
        }
    }
}

/// Returns the peers among `vms` to which VM `me` of `domain` sends updates.
pub fn recipients(
    topology: &FeedTopology,
    vms: &[VmEntry],
    me: &VmName,
    domain: &DomainName,
) -> Vec<(VmName, PeerRole)> {
    if !topology.is_leader(me, domain) {
        let leaders = topology.leaders(domain).iter();
        return leaders
            .map(|vm| (vm.clone(), PeerRole::OwnLeader))
            .collect();
    }
    let members = vms
        .iter()
        .filter(|vm| vm.domain == *domain && vm.name != *me);
    let members = members.map(|vm| (vm.name.clone(), PeerRole::DomainMember));
    let others = topology.domains().filter(|other| *other != domain);
    let leaders = others.flat_map(|other| topology.leaders(other).iter().cloned());
    let leaders = leaders.map(|vm| (vm, PeerRole::OtherLeader));
    members.chain(leaders).collect()
}

/// The content of one message to a peer.
#[derive(Clone, Debug)]
pub struct Update {
    /// The suspects that the peer lacks.
    pub suspects: Vec<Suspect>,
    /// The version up to which the peer is current once it has merged them.
    pub version: u64,
}

/// How far each peer is current.
#[derive(Debug, Default)]
pub struct PeerProgress {
    peers: HashMap<VmName, Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    /// The incarnation of the peer's daemon, if known.
    incarnation: Option<Incarnation>,
    /// The version up to which the peer has acknowledged updates.
    acked_version: u64,
    is_in_flight: bool,
}

impl PeerProgress {
    /// Forgets the peers that are no recipients any more.
    pub fn retain(&mut self, is_recipient: impl Fn(&VmName) -> bool) {
        self.peers.retain(|vm, _| is_recipient(vm));
    }

    /// Starts an update of a peer. Returns `None` if the peer is current or an update of it is in
    /// flight.
    pub fn start_update(
        &mut self,
        suspects: &SuspectTable,
        vm: &VmName,
        role: PeerRole,
        incarnation: Option<Incarnation>,
    ) -> Option<Update> {
        let peer = self.peers.entry(vm.clone()).or_default();
        if peer.incarnation != incarnation {
            *peer = Progress {
                incarnation,
                ..Progress::default()
            };
        }
        if peer.is_in_flight || peer.acked_version >= suspects.last_version() {
            return None;
        }
        let missing = suspects
            .entries()
            .map(|entry| (role.version_of(entry), entry));
        let mut missing: Vec<_> = missing
            .filter(|(version, _)| *version > peer.acked_version)
            .collect();
        missing.sort_unstable_by_key(|(version, _)| *version);
        let is_complete = missing.len() <= MAX_BATCH;
        missing.truncate(MAX_BATCH);
        let version = match missing.last() {
            Some((last, _)) if !is_complete => *last,
            _ => suspects.last_version(),
        };
        if missing.is_empty() {
            peer.acked_version = version;
            return None;
        }
        peer.is_in_flight = true;
        let suspects = missing
            .into_iter()
            .map(|(_, entry)| entry.suspect.clone())
            .collect();
        Some(Update { suspects, version })
    }

    /// Finishes an update of a peer, which has acknowledged it or has not answered.
    pub fn finish_update(&mut self, vm: &VmName, version: u64, is_acked: bool) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        peer.is_in_flight = false;
        if is_acked {
            peer.acked_version = peer.acked_version.max(version);
        }
    }
}

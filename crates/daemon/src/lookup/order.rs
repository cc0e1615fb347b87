//! The order in which entry VMs are named to a caller.
//!
//! The decisions give the failure domains in order. Within one, VMs are drawn by rendezvous
//! hashing over the caller's block, so that the callers of a block find the same VM and its
//! warm connections again, and only a lost VM's blocks move.

use std::net::IpAddr;

use heatherknot_types::hash::rendezvous;
use heatherknot_types::prelude::*;

use super::directory::{Directory, EntryVm, Presence};

/// Most entry VMs named in one answer.
pub const MAX_ENTRIES: usize = 4;
/// Most entry VMs of one failure domain named in one answer, so that the rest of the list
/// still helps when that domain is lost.
pub const MAX_ENTRIES_PER_DOMAIN: usize = 2;

const V4_BLOCK_BITS: u32 = 24;
const V6_BLOCK_BITS: u32 = 48;

/// Gives the address of the block that callers near `caller` share.
///
/// Callers of one block get the same order, so caches fill once for all of them.
pub fn block_of(caller: IpAddr) -> IpAddr {
    match caller {
        IpAddr::V4(v4) => {
            let mask = u32::MAX << (u32::BITS - V4_BLOCK_BITS);
            IpAddr::V4((u32::from(v4) & mask).into())
        }
        IpAddr::V6(v6) => {
            let mask = u128::MAX << (u128::BITS - V6_BLOCK_BITS);
            IpAddr::V6((u128::from(v6) & mask).into())
        }
    }
}

/// Gives the entry VMs to name to one caller block, taking `domains` in their order.
///
/// Within a domain, VMs that answered lately come before those that did not.
pub fn order<'a>(
    directory: &'a Directory,
    domains: &[DomainName],
    service: &ServiceName,
    block: IpAddr,
) -> Vec<&'a EntryVm> {
    let mut entries = Vec::with_capacity(MAX_ENTRIES);
    for domain in domains {
        append_domain(&mut entries, directory, domain, service, block);
    }
    entries
}

fn append_domain<'a>(
    entries: &mut Vec<&'a EntryVm>,
    directory: &'a Directory,
    domain: &DomainName,
    service: &ServiceName,
    block: IpAddr,
) {
    let room = MAX_ENTRIES
        .saturating_sub(entries.len())
        .min(MAX_ENTRIES_PER_DOMAIN);
    if room == 0 {
        return;
    }
    let mut vms: Vec<&EntryVm> = directory
        .in_domain(domain)
        .iter()
        .filter(|vm| vm.presence != Presence::Leaving)
        .collect();
    vms.sort_by_cached_key(|vm| (vm.presence, block_hash(service, block, vm.vm.as_str())));
    entries.extend(vms.into_iter().take(room));
}

/// Gives the bytes by which a block is told from others.
pub fn block_bytes(block: IpAddr) -> [u8; 16] {
    match block {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().octets(),
        IpAddr::V6(v6) => v6.octets(),
    }
}

fn block_hash(service: &ServiceName, block: IpAddr, candidate: &str) -> u64 {
    rendezvous(
        &[service.as_str().as_bytes(), &block_bytes(block)],
        candidate,
    )
}

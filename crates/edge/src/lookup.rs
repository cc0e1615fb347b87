//! Lookups: which VMs a caller connects to.

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::dialect::{LookupAnswer, LookupQuery};
use crate::presence::{VmEntry, live_vms};

/// Largest number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// How long callers may cache an answer. A VM in a planned shutdown keeps serving longer than that,
/// for callers that still use an older answer.
const ANSWER_TTL: Millis = Millis(2_000);

/// Answers a lookup, or returns `None` if no VM is available.
///
/// A caller gets the VMs of its own failure domain, so that no traffic crosses into another one. A
/// caller from another domain asks this VM because its own VMs did not respond. It gets VMs in
/// other domains of its region, whatever this VM believes about the caller's own domain.
pub fn look_up(cx: &EdgeContext, query: &LookupQuery) -> Option<LookupAnswer> {
    let vms = live_vms(cx);
    let own = &cx.cfg.domain;
    let domain = query.domain.as_ref().unwrap_or(own);
    let region = query.region.as_ref().unwrap_or(&cx.region);
    let groups: [&dyn Fn(&VmEntry) -> bool; 4] = [
        &|vm| vm.domain == *domain && domain == own,
        &|vm| vm.region == *region && vm.domain != *domain,
        &|vm| vm.domain == *domain,
        &|_| true,
    ];
    let chosen = groups.iter().find_map(|wanted| {
        let found: Vec<&VmEntry> = vms.iter().filter(|vm| wanted(vm)).collect();
        (!found.is_empty()).then_some(found)
    })?;
    let mut addresses: Vec<_> = chosen.iter().map(|vm| vm.requests).collect();
    if addresses.len() > MAX_ADDRESSES {
        // Each answer has another selection; otherwise the VMs left out would get no callers at
        // all.
        cx.rng.borrow_mut().shuffle(&mut addresses);
        addresses.truncate(MAX_ADDRESSES);
    }
    Some(LookupAnswer {
        addresses,
        ttl: ANSWER_TTL.min(cx.bounds.max_lookup_ttl),
    })
}

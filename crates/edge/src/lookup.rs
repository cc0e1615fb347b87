//! Look-ups: which VMs a caller connects to.

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::dialect::{LookupAnswer, LookupQuery};
use crate::presence::{VmEntry, live_vms};

/// The most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// How long an answer may be kept. A VM that stops as planned serves those that still hold an
/// older answer for longer than that.
const TTL: Millis = Millis(2_000);

/// Answers a look-up, or gives nothing while no VM can be named.
///
/// A caller gets the VMs of its own failure domain, so that nothing crosses to another one. A
/// caller of another domain asks here because its own VMs did not answer it: it gets VMs of
/// its region in other domains, whatever is believed of its own.
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
        // Each answer names others, or the VMs that are left out would get no callers at all.
        cx.rng.borrow_mut().shuffle(&mut addresses);
        addresses.truncate(MAX_ADDRESSES);
    }
    Some(LookupAnswer {
        addresses,
        ttl: TTL.min(cx.bounds.max_lookup_ttl),
    })
}

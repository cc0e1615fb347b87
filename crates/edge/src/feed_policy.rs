//! When a VM asks the store itself, by its role in the feed topology.

use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::presence;
use crate::propagation::{HEAD_ASKS_STORE_AFTER, VM_ASKS_STORE_AFTER};

/// Maximum interval between two attempts to reach the store by a leader of a domain that is not a
/// watcher of the store.
const LEADER_STORE_RETRY_INTERVAL: Millis = Millis(1_500);
/// Upper bound of that interval for all other VMs, however many there are. A VM that learns nothing
/// useful from its peers has to find the store again within an acceptable time.
const MAX_STORE_RETRY_INTERVAL: Millis = Millis(15_000);

/// Sets the policy of this VM's feed.
pub(crate) fn apply(cx: &Rc<EdgeContext>) {
    let watcher_cx = Rc::downgrade(cx);
    let retry_cx = Rc::downgrade(cx);
    cx.feed.set_watch_policy(
        move || watcher_cx.upgrade().is_none_or(|cx| is_watcher(&cx)),
        move || retry_cx.upgrade().map(|cx| store_retry_interval(&cx)),
    );
    let limit_cx = Rc::downgrade(cx);
    cx.feed.set_age_limit(move || match limit_cx.upgrade() {
        Some(cx) if is_head(&cx) => HEAD_ASKS_STORE_AFTER,
        _ => VM_ASKS_STORE_AFTER,
    });
}

/// Returns whether this VM is the head of its domain.
fn is_head(cx: &EdgeContext) -> bool {
    let topology = cx.feed_topology.borrow();
    topology.is_head(&cx.cfg.vm, &cx.cfg.domain)
}

/// Returns whether this VM is a watcher of the store. Besides the watchers of the feed topology,
/// the head of each domain is one after a start, because a domain far from the others then gets its
/// data sooner than through another VM. Leaders substitute for watchers that receive nothing.
fn is_watcher(cx: &EdgeContext) -> bool {
    let topology = cx.feed_topology.borrow();
    let me = &cx.cfg.vm;
    let is_first_read = cx.feed.is_awaiting_peers() && topology.is_head(me, &cx.cfg.domain);
    let is_substitute = cx.feed.is_substitute_watcher() && topology.is_leader(me, &cx.cfg.domain);
    cx.has_read_vm_entries.get() && (topology.is_watcher(me) || is_first_read || is_substitute)
}

/// Returns the interval before the next attempt to reach a store that does not answer, for a VM
/// that is not one of its watchers. A domain's leaders make an attempt about once a second, and all
/// other VMs together as often as one leader. It matters little which VM makes it, since a VM that
/// succeeds informs the others.
fn store_retry_interval(cx: &EdgeContext) -> Millis {
    let is_leader = cx
        .feed_topology
        .borrow()
        .is_leader(&cx.cfg.vm, &cx.cfg.domain);
    let vms = match is_leader {
        true => 1,
        false => presence::live_vms(cx).len() as u64,
    };
    let longest = LEADER_STORE_RETRY_INTERVAL
        .0
        .saturating_mul(vms)
        .min(MAX_STORE_RETRY_INTERVAL.0);
    Millis(cx.rng.borrow_mut().u64(longest / 2..=longest.max(1)))
}

//! When a VM asks the store itself, by its role in the feed topology.

use std::cell::RefCell;
use std::rc::Rc;

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::feed::Feed;
use crate::feed_topology::FeedTopology;
use crate::presence;
use crate::propagation::{
    DEPUTY_ASKS_STORE_AFTER, HEAD_ASKS_STORE_AFTER, VM_ASKS_STORE_AFTER, store_retry_interval,
};

/// Maximum interval between two attempts to reach the store by a leader of a domain that is not a
/// watcher of the store.
const LEADER_STORE_RETRY_INTERVAL: Millis = Millis(1_500);

/// The policy of a VM's feed.
pub struct FeedPolicy {
    /// The VM.
    pub vm: VmName,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Returns the present feed topology.
    pub topology: Box<dyn Fn() -> Rc<FeedTopology>>,
    /// Returns whether the VM knows the other VMs.
    pub knows_vms: Box<dyn Fn() -> bool>,
    /// Returns the number of live VMs.
    pub live_vms: Box<dyn Fn() -> usize>,
    /// Random number generator for the intervals between attempts.
    pub rng: RefCell<fastrand::Rng>,
}

impl FeedPolicy {
    /// Creates the policy of this VM.
    pub(crate) fn new(cx: &Rc<EdgeContext>) -> Self {
        let (topology_cx, ready_cx, vms_cx) = (Rc::clone(cx), Rc::clone(cx), Rc::clone(cx));
        Self {
            vm: cx.cfg.vm.clone(),
            domain: cx.cfg.domain.clone(),
            topology: Box::new(move || Rc::clone(&topology_cx.feed_topology.borrow())),
            knows_vms: Box::new(move || ready_cx.has_read_vm_entries.get()),
            live_vms: Box::new(move || presence::live_vms(&vms_cx).len()),
            rng: RefCell::new(cx.rng.borrow_mut().fork()),
        }
    }

    /// Sets the policy of a feed.
    pub fn apply(self, feed: &Rc<Feed>) {
        let policy = Rc::new(self);
        let (watcher, retry, limit) = (Rc::clone(&policy), Rc::clone(&policy), policy);
        let weak = Rc::downgrade(feed);
        feed.set_watch_policy(
            move || weak.upgrade().is_none_or(|feed| watcher.is_watcher(&feed)),
            move || Some(retry.retry_interval()),
        );
        feed.set_age_limit(move || limit.age_limit());
    }

    /// Returns whether this VM is a watcher of the store. Besides the watchers of the feed topology,
    /// the head of each domain is one after a start, because a domain far from the others then gets its
    /// data sooner than through another VM. Leaders substitute for watchers that receive nothing, and
    /// any VM for a source that relies on it.
    fn is_watcher(&self, feed: &Feed) -> bool {
        let topology = (self.topology)();
        let me = &self.vm;
        let is_first_read = feed.is_awaiting_peers() && topology.is_head(me, &self.domain);
        let is_substitute = feed.is_substitute_watcher() && topology.is_leader(me, &self.domain);
        let substitutes = is_substitute || feed.is_relied_on();
        (self.knows_vms)() && (topology.is_watcher(me) || is_first_read || substitutes)
    }

    /// Returns the age of the copy from which this VM asks the store itself.
    fn age_limit(&self) -> Millis {
        let topology = (self.topology)();
        if topology.is_head(&self.vm, &self.domain) {
            HEAD_ASKS_STORE_AFTER
        } else if topology.is_relay(&self.vm, &self.domain) {
            DEPUTY_ASKS_STORE_AFTER
        } else {
            VM_ASKS_STORE_AFTER
        }
    }

    /// Returns the interval between the starts of two attempts to reach a store that does not serve this
    /// VM, if it is not one of the watchers.
    fn retry_interval(&self) -> Millis {
        let longest = match (self.topology)().is_leader(&self.vm, &self.domain) {
            true => LEADER_STORE_RETRY_INTERVAL,
            false => store_retry_interval((self.live_vms)() as u64),
        };
        Millis(self.rng.borrow_mut().u64(longest.0 / 2..=longest.0))
    }
}

//! Selects the VMs to which a VM relays requests whose backend servers it can't reach itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::homes;
use crate::presence::VmEntry;

/// Number of VMs of each tier that a VM relays to. They share its requests by their load, and few
/// enough are used for connections to them to be reused.
pub const FANOUT: usize = 4;
/// Backoff after a VM declined a request because it reaches no server either.
const INITIAL_BACKOFF: Millis = Millis(250);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The VMs that this VM may relay requests to, and which of them declined.
#[derive(Debug, Default)]
pub struct RelayTargets {
    ranking: RefCell<Ranking>,
    declines: RefCell<HashMap<(VmName, ServiceName), Decline>>,
}

/// VMs in the order in which this VM prefers them.
#[derive(Debug, Default)]
struct Ranking {
    vms: Rc<Vec<VmEntry>>,
    /// Indices into `vms`.
    order: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Decline {
    count: u32,
    until: Millis,
}

/// What a request needs from the VM that it is relayed to.
pub struct TargetQuery<'a> {
    /// Service that runs the request.
    pub service: &'a ServiceName,
    /// The VM that relays it.
    pub own: &'a VmEntry,
    /// Returns whether the request may be sent to a VM of a region.
    pub is_allowed: &'a dyn Fn(&RegionName) -> bool,
    /// Whether VMs of the own failure domain are preferred, since much data is transferred.
    pub is_large: bool,
    /// VMs that the request was already relayed to.
    pub tried: &'a [VmName],
    /// Returns how many requests this VM has in flight at a VM.
    pub in_flight: &'a dyn Fn(&VmEntry) -> usize,
    /// Current time.
    pub now: Millis,
}

/// Distance of a VM from the one that relays, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Domain,
    Region,
    OtherRegions,
}

impl RelayTargets {
    /// Selects the VM for a request: of the first ones of the nearest tier that may serve it, the
    /// one with the fewest relayed requests for its capacity. Returns `None` if there is none.
    pub fn select(&self, vms: &Rc<Vec<VmEntry>>, query: &TargetQuery<'_>) -> Option<VmEntry> {
        self.update_ranking(vms, &query.own.name);
        let ranking = self.ranking.borrow();
        let ranked = ranking.order.iter().map(|index| &vms[*index]);
        let allowed = ranked.filter(|vm| (query.is_allowed)(&vm.region));
        let tiers = [Tier::Domain, Tier::Region, Tier::OtherRegions];
        let load = |vm: &VmEntry| ((query.in_flight)(vm) + 1) as f64 / homes::capacity(vm);
        tiers.into_iter().find_map(|tier| {
            let in_tier = allowed.clone().filter(|vm| tier_of(vm, query) == tier);
            let available = in_tier.take(FANOUT).filter(|vm| {
                !query.tried.contains(&vm.name)
                    && self.is_available(&vm.name, query.service, query.now)
            });
            available
                .min_by(|a, b| load(a).total_cmp(&load(b)))
                .cloned()
        })
    }

    /// Returns whether a VM is not known to reach no server of a service.
    pub fn is_available(&self, vm: &VmName, service: &ServiceName, now: Millis) -> bool {
        let declines = self.declines.borrow();
        let decline = declines.get(&(vm.clone(), service.clone()));
        decline.is_none_or(|decline| now >= decline.until)
    }

    /// Records that a request is about to be sent to a VM. One that declined before gets a single
    /// request until it has answered.
    pub fn record_attempt(&self, vm: &VmName, service: &ServiceName, now: Millis) {
        let mut declines = self.declines.borrow_mut();
        if let Some(decline) = declines.get_mut(&(vm.clone(), service.clone())) {
            decline.until = now + backoff(decline.count);
        }
    }

    /// Records that a VM declined because it reaches no server of the service either.
    pub fn record_decline(&self, vm: &VmName, service: &ServiceName, now: Millis) {
        let mut declines = self.declines.borrow_mut();
        let key = (vm.clone(), service.clone());
        let decline = declines.entry(key).or_insert(Decline {
            count: 0,
            until: now,
        });
        decline.until = now + backoff(decline.count);
        decline.count += 1;
    }

    /// Records that a VM answered a request that it got.
    pub fn record_answer(&self, vm: &VmName, service: &ServiceName) {
        let mut declines = self.declines.borrow_mut();
        declines.remove(&(vm.clone(), service.clone()));
    }

    fn update_ranking(&self, vms: &Rc<Vec<VmEntry>>, own: &VmName) {
        let mut ranking = self.ranking.borrow_mut();
        if Rc::ptr_eq(&ranking.vms, vms) {
            return;
        }
        let others = vms.iter().enumerate();
        let others = others.filter(|(_, vm)| vm.name != *own && vm.handed.is_some());
        let mut order: Vec<usize> = others.map(|(index, _)| index).collect();
        order.sort_by(|a, b| rank_key(&vms[*a], own).total_cmp(&rank_key(&vms[*b], own)));
        let mut declines = self.declines.borrow_mut();
        declines.retain(|(vm, _), _| vms.iter().any(|entry| entry.name == *vm));
        *ranking = Ranking {
            vms: Rc::clone(vms),
            order,
        };
    }
}

fn backoff(declines: u32) -> Millis {
    Millis(INITIAL_BACKOFF.0 << declines.min(MAX_BACKOFF_DOUBLINGS))
}

fn tier_of(vm: &VmEntry, query: &TargetQuery<'_>) -> Tier {
    if query.is_large && vm.domain == query.own.domain {
        Tier::Domain
    } else if vm.region == query.own.region {
        Tier::Region
    } else {
        Tier::OtherRegions
    }
}

/// Returns a VM's sort key in the ranking of the VM `own`, lowest first. Each VM has another
/// ranking, so that VMs that are cut off together relay to different ones.
fn rank_key(vm: &VmEntry, own: &VmName) -> f64 {
    let digest = hash::rendezvous(&[own.as_str().as_bytes()], vm.name.as_str());
    -hash::unit_interval(digest).ln() / homes::capacity(vm)
}

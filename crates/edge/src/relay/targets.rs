//! Selects the VMs to which a VM relays requests whose backend servers it can't reach itself.
//!
//! A VM learns from the answers which others reach the servers. It prefers those, and explores more
//! only until it knows enough of them to spread its requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::homes;
use crate::presence::VmEntry;

/// Number of VMs that share the requests that a VM relays. They are few enough for the connections
/// to them to be reused.
pub const FANOUT: usize = 4;
/// Maximum number of VMs of the own region and of others that one request is relayed to. A VM that
/// declines does so at once, so that each takes a round trip.
const MAX_ATTEMPTS_IN_REGION: usize = 8;
const MAX_ATTEMPTS_ELSEWHERE: usize = 4;
/// Maximum number of VMs that one request is relayed to.
pub const MAX_ATTEMPTS: usize = MAX_ATTEMPTS_IN_REGION + MAX_ATTEMPTS_ELSEWHERE;
/// Time after its last answer for which a VM is preferred to unknown ones.
const KNOWN_FOR: Millis = Millis(5_000);
/// Number of declines in a row after which no more VMs of a tier are explored for a while, because
/// probably none of them reaches a server.
const MAX_DECLINES_IN_A_ROW: u32 = 16;
/// Time for which no more VMs of the tier are explored then. One request finds out afterwards.
const EXPLORATION_PAUSE: Millis = Millis(500);
/// Backoff after the first decline of a VM.
const INITIAL_BACKOFF: Millis = Millis(250);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The VMs that this VM may relay requests to, and what they answered.
#[derive(Debug, Default)]
pub struct RelayTargets {
    ranking: RefCell<Ranking>,
    services: RefCell<HashMap<ServiceName, ServiceTargets>>,
}

/// VMs in the order in which this VM explores them.
#[derive(Debug, Default)]
struct Ranking {
    vms: Rc<Vec<VmEntry>>,
    /// Indices into `vms`.
    order: Vec<usize>,
}

/// What VMs answered to requests of one service.
#[derive(Debug, Default)]
struct ServiceTargets {
    vms: HashMap<VmName, Answers>,
    tiers: HashMap<Tier, Declines>,
}

#[derive(Debug, Default)]
struct Answers {
    answered_at: Option<Millis>,
    declines: Declines,
}

/// Declines since the last answer.
#[derive(Debug, Default)]
struct Declines {
    count: u32,
    /// Time until which no further request is sent.
    until: Millis,
}

/// Distance of a VM from the one that relays, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// VMs of the same region.
    Region,
    /// VMs of other regions.
    OtherRegions,
}

impl Tier {
    /// Returns the tier of VMs of `region` for a VM of the region `own`.
    pub fn of(region: &RegionName, own: &RegionName) -> Self {
        match region == own {
            true => Tier::Region,
            false => Tier::OtherRegions,
        }
    }

    fn max_attempts(self) -> usize {
        match self {
            Tier::Region => MAX_ATTEMPTS_IN_REGION,
            Tier::OtherRegions => MAX_ATTEMPTS_ELSEWHERE,
        }
    }
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
    /// Returns whether this VM can connect to a VM, as far as is known.
    pub is_reachable: &'a dyn Fn(&VmEntry) -> bool,
    /// Returns how many requests this VM has in flight at a VM.
    pub in_flight: &'a dyn Fn(&VmEntry) -> usize,
    /// Current time.
    pub now: Millis,
}

impl RelayTargets {
    /// Selects the VM for a request: of the nearest ones known to reach the servers, the one with
    /// the fewest relayed requests for its capacity, or another one while few are known. Returns
    /// `None` if no VM is left that might serve it.
    pub fn select(&self, vms: &Rc<Vec<VmEntry>>, query: &TargetQuery<'_>) -> Option<VmEntry> {
        self.update_ranking(vms, &query.own.name);
        let ranking = self.ranking.borrow();
        let ranked = ranking.order.iter().map(|index| &vms[*index]);
        let allowed: Vec<&VmEntry> = ranked.filter(|vm| (query.is_allowed)(&vm.region)).collect();
        let mut services = self.services.borrow_mut();
        let targets = services.entry(query.service.clone()).or_default();
        let in_domain = || {
            let near = allowed.iter().filter(|vm| vm.domain == query.own.domain);
            let near: Vec<&VmEntry> = near.copied().collect();
            targets.select_known(&near, query)
        };
        let chosen = query.is_large.then(in_domain).flatten();
        let tiers = [Tier::Region, Tier::OtherRegions];
        let by_tier = || {
            tiers
                .iter()
                .find_map(|tier| targets.select_in(*tier, &allowed, query))
        };
        chosen.or_else(by_tier).cloned()
    }

    /// Returns whether a VM is not known to reach no server of a service.
    pub fn is_available(&self, vm: &VmName, service: &ServiceName, now: Millis) -> bool {
        let services = self.services.borrow();
        let targets = services.get(service);
        targets.is_none_or(|targets| targets.is_available(vm, now))
    }

    /// Records that a request is about to be sent to a VM of `tier`. One that declined before gets a
    /// single request until it has answered.
    pub fn record_attempt(&self, vm: &VmName, tier: Tier, service: &ServiceName, now: Millis) {
        let mut services = self.services.borrow_mut();
        let Some(targets) = services.get_mut(service) else {
            return;
        };
        if let Some(answers) = targets.vms.get_mut(vm) {
            answers.declines.back_off(now);
        }
        if let Some(declines) = targets.tiers.get_mut(&tier) {
            declines.pause_exploration(now);
        }
    }

    /// Records that a VM of `tier` declined because it reaches no server of the service either.
    pub fn record_decline(&self, vm: &VmName, tier: Tier, service: &ServiceName, now: Millis) {
        let mut services = self.services.borrow_mut();
        let targets = services.entry(service.clone()).or_default();
        let answers = targets.vms.entry(vm.clone()).or_default();
        answers.answered_at = None;
        answers.declines.count += 1;
        answers.declines.back_off(now);
        let declines = targets.tiers.entry(tier).or_default();
        declines.count += 1;
        declines.pause_exploration(now);
    }

    /// Records that a VM of `tier` answered a request that it got.
    pub fn record_answer(&self, vm: &VmName, tier: Tier, service: &ServiceName, now: Millis) {
        let mut services = self.services.borrow_mut();
        let targets = services.entry(service.clone()).or_default();
        targets.tiers.remove(&tier);
        let answers = targets.vms.entry(vm.clone()).or_default();
        answers.answered_at = Some(now);
        answers.declines = Declines::default();
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
        for targets in self.services.borrow_mut().values_mut() {
            let is_present = |name: &VmName| vms.iter().any(|vm| vm.name == *name);
            targets.vms.retain(|name, _| is_present(name));
        }
        *ranking = Ranking {
            vms: Rc::clone(vms),
            order,
        };
    }
}

impl ServiceTargets {
    /// Selects a VM of one tier: an unknown one while few are known, else a known one.
    fn select_in<'a>(
        &self,
        tier: Tier,
        vms: &[&'a VmEntry],
        query: &TargetQuery<'_>,
    ) -> Option<&'a VmEntry> {
        let in_tier = vms
            .iter()
            .filter(|vm| Tier::of(&vm.region, &query.own.region) == tier);
        let in_tier: Vec<&VmEntry> = in_tier.copied().collect();
        let tried = in_tier.iter().filter(|vm| query.tried.contains(&vm.name));
        let tried = tried.count();
        let known = self.known(&in_tier, query);
        let may_explore = tried < tier.max_attempts()
            && self.may_explore(tier, query.now)
            && (known.is_empty() || (known.len() < FANOUT && tried == 0));
        let unknown = in_tier
            .into_iter()
            .filter(|vm| self.is_candidate(vm, query) && !self.is_known(&vm.name, query.now));
        let explored = may_explore.then(|| unknown.min_by_key(|vm| self.declines_of(&vm.name)));
        let explored = explored.flatten();
        explored.or_else(|| least_loaded(&known, query))
    }

    fn select_known<'a>(
        &self,
        vms: &[&'a VmEntry],
        query: &TargetQuery<'_>,
    ) -> Option<&'a VmEntry> {
        least_loaded(&self.known(vms, query), query)
    }

    /// Returns the first of `vms` that are known to reach the servers, at most [`FANOUT`].
    fn known<'a>(&self, vms: &[&'a VmEntry], query: &TargetQuery<'_>) -> Vec<&'a VmEntry> {
        let known = vms
            .iter()
            .filter(|vm| self.is_known(&vm.name, query.now) && self.is_candidate(vm, query));
        known.take(FANOUT).copied().collect()
    }

    fn is_candidate(&self, vm: &VmEntry, query: &TargetQuery<'_>) -> bool {
        !query.tried.contains(&vm.name)
            && self.is_available(&vm.name, query.now)
            && (query.is_reachable)(vm)
    }

    fn is_available(&self, vm: &VmName, now: Millis) -> bool {
        let answers = self.vms.get(vm);
        answers.is_none_or(|answers| now >= answers.declines.until)
    }

    fn is_known(&self, vm: &VmName, now: Millis) -> bool {
        let answered_at = self.vms.get(vm).and_then(|answers| answers.answered_at);
        answered_at.is_some_and(|at| now.since(at) < KNOWN_FOR)
    }

    fn declines_of(&self, vm: &VmName) -> u32 {
        self.vms.get(vm).map_or(0, |answers| answers.declines.count)
    }

    fn may_explore(&self, tier: Tier, now: Millis) -> bool {
        let declines = self.tiers.get(&tier);
        declines.is_none_or(|declines| now >= declines.until)
    }
}

impl Declines {
    /// Starts a backoff that doubles with each decline of a VM.
    fn back_off(&mut self, now: Millis) {
        if let Some(doublings) = self.count.checked_sub(1) {
            let backoff = INITIAL_BACKOFF.0 << doublings.min(MAX_BACKOFF_DOUBLINGS);
            self.until = now + Millis(backoff);
        }
    }

    /// Pauses the exploration of a tier after many declines.
    fn pause_exploration(&mut self, now: Millis) {
        if self.count >= MAX_DECLINES_IN_A_ROW {
            self.until = now + EXPLORATION_PAUSE;
        }
    }
}

fn least_loaded<'a>(vms: &[&'a VmEntry], query: &TargetQuery<'_>) -> Option<&'a VmEntry> {
    let load = |vm: &VmEntry| ((query.in_flight)(vm) + 1) as f64 / homes::capacity(vm);
    let least = vms.iter().min_by(|a, b| load(a).total_cmp(&load(b)));
    least.copied()
}

/// Returns a VM's sort key in the ranking of the VM `own`, lowest first. Each VM has another
/// ranking, so that VMs that are cut off together relay to different ones.
fn rank_key(vm: &VmEntry, own: &VmName) -> f64 {
    let digest = hash::rendezvous(&[own.as_str().as_bytes()], vm.name.as_str());
    -hash::unit_interval(digest).ln() / homes::capacity(vm)
}

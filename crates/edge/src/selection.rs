//! Selects the backend server of a request.
//!
//! A backend server answers faster for objects that it handled recently, and caches only a few of
//! them. Every VM therefore ranks the servers of an object by rendezvous hashing, without
//! coordination, and normally uses the first one. Another server is selected only where waiting at
//! the first one would take longer than processing the request elsewhere without a cached object.

use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::placement::ObjectPlacement;
use crate::service_times::ServiceTimes;
use crate::switches::{Mechanism, Switches};
use crate::upstream::Upstream;
use crate::work_profile::WorkEstimate;

/// Cost of a server's failures, as a multiple of its service time at a failure rate of 1. A failed
/// request is retried or lost, so a server that fails every request counts as four times as slow.
const FAILURE_COST: f64 = 3.0;
/// Service time assumed for a warm and for a cold server until one was measured, as a fraction of
/// the latency target. Only their order matters.
const DEFAULT_WARM_FRACTION: f64 = 0.4;
const DEFAULT_COLD_FRACTION: f64 = 1.2;
/// Weight of the additional work of a cache miss. The work also occupies a slot that other requests
/// could have used.
const MISS_WEIGHT: f64 = 3.0;

/// Utilization of the home's slots below which further copies of an object may be made. At two
/// thirds, a server with three slots has one free on average.
const MAX_COPY_UTILIZATION: f64 = 0.6;
/// Number of requests above the slots at which a server still counts as free. The reported load of
/// other VMs is an average that never quite reaches zero, so without the tolerance a hundredth of a
/// request would make a server with a free slot count as full.
const LOAD_TOLERANCE: f64 = 0.3;

/// Where an object is served, relative to the VM that received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// The VM's own failure domain.
    Domain,
    /// The VM's own region.
    Region,
    /// Any region but the VM's own.
    OtherRegions,
    /// Any region.
    AnyRegion,
}

/// Input of a selection.
pub struct SelectionParams<'a> {
    /// Hash of the object, or a random number if the request names no object.
    pub object: u64,
    /// Whether servers answer faster for objects that they handled before.
    pub sticky: bool,
    /// Region of this VM.
    pub region: &'a RegionName,
    /// Failure domain of this VM.
    pub domain: &'a DomainName,
    /// Latency target of the route.
    pub latency_target: Millis,
    /// Time left until the request's deadline.
    pub time_left: Millis,
    /// Current time.
    pub now: Millis,
    /// Whether the request is restricted to certain regions.
    pub is_region_restricted: bool,
    /// Mechanisms that are switched on.
    pub switches: Switches,
    /// First server of the object's rank as determined by the VM that handed the request over.
    pub assigned: Option<&'a UpstreamName>,
    /// Returns whether this VM is the home of a server.
    pub is_home: &'a dyn Fn(&Upstream) -> bool,
    /// Placement of objects by the home VM, if all requests for them pass through it.
    pub placement: Option<&'a ObjectPlacement>,
    /// What is known of the work of the service's requests, if load control is on.
    pub work: Option<WorkEstimate>,
}

/// A server that may receive the request, with the estimates that the selection is based on.
#[derive(Clone)]
pub struct Candidate {
    /// The server.
    pub upstream: Rc<Upstream>,
    /// Whether the server is assumed to have the object cached.
    pub is_warm: bool,
    /// Whether this VM has recently sent the object there.
    pub knows_object: bool,
    /// Whether the server is expected to have a free slot.
    pub has_free_slot: bool,
    /// Expected response time without queueing, in milliseconds.
    pub service_ms: f64,
    /// Expected response time, in milliseconds.
    pub response_ms: f64,
    /// Expected number of requests at the server, from this VM and others.
    pub load: f64,
    /// Age of the load that the server last reported.
    pub load_age: Millis,
    /// Number of this VM's own requests at the server.
    pub own_in_flight: u32,
    /// Cost of selecting the server, in milliseconds: the response time plus the penalties for
    /// failures and cache misses.
    pub cost_ms: f64,
}

/// Selects one of `candidates`. Returns `None` if there are none.
///
/// The first server of the object's rank within `locality` gets the request. Another server gets a
/// copy of the object only if it is free and the first one is so busy that even the slower uncached
/// work completes sooner. With more copies, an overload would spread every object over every
/// server; none would have its objects cached any more, and the overload would persist.
pub fn select(
    params: &SelectionParams<'_>,
    candidates: &[Rc<Upstream>],
    service_times: &ServiceTimes,
    locality: Locality,
) -> Option<Candidate> {
    let (matching, others): (Vec<_>, Vec<_>) = candidates
        .iter()
        .partition(|u| is_in_locality(params, u, locality));
    if matching.is_empty() {
        // The region has no server of the service, or none that the route allows.
        let tier = |u: &Upstream| local_region_first(params, u);
        return select_ranked(params, &others, service_times, &tier);
    }
    let best_match = select_ranked(params, &matching, service_times, &|_| 0);
    let may_use_other_regions = params.switches.is_on(Mechanism::OtherRegions);
    if !may_use_other_regions
        || best_match
            .as_ref()
            .is_some_and(|p| p.has_free_slot || p.response_ms <= params.latency_target.0 as f64)
    {
        return best_match;
    }
    // Only requests that would otherwise be refused leave their locality, and only for servers that
    // they were sent to before.
    let ranked = rank_servers(params, &others, &|u| local_region_first(params, u));
    let mut fallback = ranked
        .iter()
        .map(|u| estimate(params, u, false, service_times));
    fallback
        .find(|p| p.has_free_slot && p.is_warm)
        .or(best_match)
}

/// Returns the server that gets an object within `locality` while that server has capacity. Every
/// VM computes the same one.
pub fn first_ranked(
    params: &SelectionParams<'_>,
    candidates: &[Rc<Upstream>],
    locality: Locality,
) -> Option<Rc<Upstream>> {
    let matching = candidates
        .iter()
        .filter(|u| is_in_locality(params, u, locality));
    let best = top_ranked(params, matching, &|_| 0);
    let in_any_region = || {
        top_ranked(params, candidates.iter(), &|u| {
            local_region_first(params, u)
        })
    };
    best.or_else(in_any_region).cloned()
}

/// Returns the tier of a server. Servers of a lower tier come first, whatever their rank.
type Tier<'a> = &'a dyn Fn(&Upstream) -> u8;

fn local_region_first(params: &SelectionParams<'_>, upstream: &Upstream) -> u8 {
    u8::from(upstream.region != *params.region)
}

fn is_in_locality(params: &SelectionParams<'_>, upstream: &Upstream, locality: Locality) -> bool {
    match locality {
        Locality::Domain => upstream.domain == *params.domain,
        Locality::Region => upstream.region == *params.region,
        Locality::OtherRegions => upstream.region != *params.region,
        Locality::AnyRegion => true,
    }
}

fn select_ranked(
    params: &SelectionParams<'_>,
    servers: &[&Rc<Upstream>],
    service_times: &ServiceTimes,
    tier: Tier<'_>,
) -> Option<Candidate> {
    let ranked_first = top_ranked(params, servers.iter().copied(), tier)?;
    let chosen = &apply_placement(params, ranked_first, servers);
    let first = estimate(params, chosen, true, service_times);
    if first.has_free_slot {
        return Some(first);
    }
    let others = servers.iter().filter(|u| u.id != chosen.id);
    let others: Vec<&Rc<Upstream>> = others.copied().collect();
    // The load of the servers whose home this VM is is known exactly, so they are considered first.
    let home_first = |u: &Upstream| 2 * tier(u) + u8::from(!(params.is_home)(u));
    let ranked = rank_servers(params, &others, &home_first);
    let others = ranked
        .iter()
        .map(|u| estimate(params, u, false, service_times));
    let may_copy = first.response_ms > params.latency_target.0 as f64
        && has_copy_capacity(params, servers, service_times);
    let is_better =
        |p: &Candidate| p.cost_ms < first.cost_ms || (may_copy && (params.is_home)(&p.upstream));
    let mut free_others = others.filter(|p| p.has_free_slot);
    let alternative = free_others.find(is_better);
    if let (Some(alternative), false, Some(_)) = (&alternative, first.is_warm, params.work) {
        place_uncached(params, alternative);
    }
    Some(alternative.unwrap_or(first))
}

/// Returns the server on which the home VM of `first` placed the object; `first` itself if this VM
/// is not its home.
fn apply_placement(
    params: &SelectionParams<'_>,
    first: &Rc<Upstream>,
    servers: &[&Rc<Upstream>],
) -> Rc<Upstream> {
    match params.placement.filter(|_| (params.is_home)(first)) {
        Some(placement) => {
            let own = servers.iter().copied().filter(|u| (params.is_home)(u));
            let own: Vec<&Rc<Upstream>> = own.collect();
            placement.server_of(params.object, first, &own, params.now)
        }
        None => Rc::clone(first),
    }
}

/// Assigns an object that no server has cached to the free server that gets its first request, if
/// this VM is that server's home.
fn place_uncached(params: &SelectionParams<'_>, chosen: &Candidate) {
    if let Some(placement) = params.placement
        && (params.is_home)(&chosen.upstream)
    {
        placement.assign(params.object, &chosen.upstream.id, params.now);
    }
}

/// Returns whether the servers whose home this VM is have capacity for copies of objects.
///
/// Some servers rank first for three or four objects and others for none. Requests that such a
/// server cannot answer in time justify a copy on an idle server: the request that creates the copy
/// is late, but later ones are on time. If all servers were busy, the copies would evict other
/// objects, and every request would be a cache miss.
fn has_copy_capacity(
    params: &SelectionParams<'_>,
    servers: &[&Rc<Upstream>],
    service_times: &ServiceTimes,
) -> bool {
    let own = servers.iter().filter(|u| (params.is_home)(u));
    let other_load = typical_other_load(params, service_times);
    let (load, slots) = own.fold((0.0, 0.0), |(load, slots), u| {
        (
            load + u.load(other_load, params.now),
            slots + f64::from(u.slots.get()),
        )
    });
    load < slots * MAX_COPY_UTILIZATION
}

/// Returns the first server of an object's rank, or the server that another VM assigned if it is
/// one of `servers`.
fn top_ranked<'a>(
    params: &SelectionParams<'_>,
    mut servers: impl Iterator<Item = &'a Rc<Upstream>> + Clone,
    tier: Tier<'_>,
) -> Option<&'a Rc<Upstream>> {
    if let Some(assigned) = params.assigned
        && let Some(upstream) = servers.clone().find(|u| u.id == *assigned)
    {
        return Some(upstream);
    }
    let first = servers.next()?;
    let keyed = servers.map(|u| (tier(u), rank_key(params, u), u));
    let best = keyed.fold(
        (tier(first), rank_key(params, first), first),
        |best, next| {
            let is_before = next.0.cmp(&best.0).then(next.1.total_cmp(&best.1)).is_lt();
            if is_before { next } else { best }
        },
    );
    Some(best.2)
}

/// Sorts servers by tier and then by their rank for the object.
fn rank_servers<'a>(
    params: &SelectionParams<'_>,
    servers: &[&'a Rc<Upstream>],
    tier: Tier<'_>,
) -> Vec<&'a Rc<Upstream>> {
    let keyed = servers.iter().map(|u| (tier(u), rank_key(params, u), *u));
    let mut keyed: Vec<(u8, f64, &Rc<Upstream>)> = keyed.collect();
    keyed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    keyed.into_iter().map(|(_, _, u)| u).collect()
}

/// Returns a server's sort key in the rank of an object, lowest first. It uses rendezvous hashing
/// weighted by slots and, for unrestricted requests, by the unrestricted share. It is the same on
/// every VM.
fn rank_key(params: &SelectionParams<'_>, upstream: &Upstream) -> f64 {
    let object = params.object.to_le_bytes();
    let digest = hash::rendezvous(&[&object], upstream.id.as_str());
    let share = match params.is_region_restricted {
        true => 1.0,
        false => upstream.unrestricted_share.get(),
    };
    -hash::unit_interval(digest).ln() / (f64::from(upstream.slots.get()) * share)
}

/// Returns the typical number of requests of other VMs at a server of the service.
fn typical_other_load(params: &SelectionParams<'_>, service_times: &ServiceTimes) -> f64 {
    match params.work {
        Some(work) => work.other_load,
        None => service_times.typical_other_load(params.now),
    }
}

/// Returns the probability that a server has the object cached.
///
/// Without load control, the server to which the object is assigned counts as having it cached. A
/// home VM has seen all requests for the object, so with load control it goes by those and, for
/// other objects, by how first requests turned out lately.
fn hit_rate(
    params: &SelectionParams<'_>,
    upstream: &Upstream,
    is_target: bool,
    knows_object: bool,
) -> f64 {
    if !params.sticky {
        return 0.0;
    }
    if knows_object {
        return 1.0;
    }
    match params.work {
        Some(work) if is_target && (params.is_home)(upstream) => work.first_hit_rate,
        _ => f64::from(u8::from(is_target)),
    }
}

/// Estimates the response time and the cost of a server. `is_target` says whether the object is
/// assigned to the server, which is then assumed to have it cached.
fn estimate(
    params: &SelectionParams<'_>,
    upstream: &Rc<Upstream>,
    is_target: bool,
    service_times: &ServiceTimes,
) -> Candidate {
    let knows_object = upstream.likely_caches(params.object, params.now);
    let hit_rate = hit_rate(params, upstream, is_target, knows_object);
    let is_warm = hit_rate >= 0.5;
    let target = params.latency_target.0 as f64;
    let known_slot_ms = params.work.and_then(|work| work.slot_ms);
    let default_warm_ms = known_slot_ms.unwrap_or(target * DEFAULT_WARM_FRACTION);
    let default_cold_ms = (target * DEFAULT_COLD_FRACTION).max(known_slot_ms.unwrap_or(0.0));
    let warm_ms = service_times.expected_ms(&upstream.region, true, default_warm_ms);
    let cold_ms = || service_times.expected_ms(&upstream.region, false, default_cold_ms);
    let expected_ms = match hit_rate {
        1.0 => warm_ms,
        _ => hit_rate * warm_ms + (1.0 - hit_rate) * cold_ms(),
    };
    let slots = f64::from(upstream.slots.get());
    let is_on = |mechanism| params.switches.is_on(mechanism);
    let load = match is_on(Mechanism::ToldLoad) {
        true => upstream.load(typical_other_load(params, service_times), params.now),
        false => f64::from(upstream.in_flight()),
    };
    let slowness = match is_on(Mechanism::Slowness) {
        true => upstream.slowness(params.now),
        false => 1.0,
    };
    let failure_rate = match is_on(Mechanism::Failing) {
        true => upstream.failure_rate(params.now),
        false => 0.0,
    };
    let miss_weight = match is_on(Mechanism::ColdCost) {
        true => MISS_WEIGHT,
        false => 1.0,
    };
    let machine_factor = match params.work.is_some() && is_on(Mechanism::MachineSpeed) {
        true => upstream.machine.factor(params.now),
        false => 1.0,
    };
    let slowness = slowness * machine_factor;
    let slot_ms = known_slot_ms.unwrap_or(warm_ms);
    let excess = load + 1.0 - slots - LOAD_TOLERANCE;
    let wait_ms = excess.max(0.0) / slots * slot_ms * slowness;
    let service_ms = expected_ms * slowness;
    let miss_ms = (expected_ms - warm_ms).max(0.0) * (miss_weight - 1.0);
    Candidate {
        is_warm,
        knows_object,
        has_free_slot: excess <= 0.0,
        service_ms,
        response_ms: service_ms + wait_ms,
        load,
        load_age: upstream.load_age(params.now),
        own_in_flight: upstream.in_flight(),
        cost_ms: service_ms * (1.0 + FAILURE_COST * failure_rate) + wait_ms + miss_ms,
        upstream: Rc::clone(upstream),
    }
}

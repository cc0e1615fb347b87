//! Which backend server gets a request, or none.
//!
//! Servers are faster at objects that they handled lately, and keep few of them. So every
//! VM ranks the servers for an object alike, without a message, by rendezvous hashing, and
//! takes the one that is expected to answer first: the first of the rank while it has room,
//! another one where waiting there would take longer than doing the work afresh elsewhere.

use std::rc::Rc;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::placement::ObjectPlacement;
use crate::service_times::ServiceTimes;
use crate::switches::{Mechanism, Switches};
use crate::upstream::Upstream;

/// The part of a failing server's usual time that its failures are taken to cost. A failed
/// request is sent again or lost, so a server that fails all of them counts as four times
/// as slow.
const FAILURE_COST: f64 = 3.0;
/// The time for an object that a server keeps, as a part of the latency target, until one was
/// seen; and for one that it does not keep. They only say that the second takes longer.
const DEFAULT_WARM_TIME: f64 = 0.4;
const DEFAULT_COLD_TIME: f64 = 1.2;
/// How many times the extra work for an object that a server does not keep counts. The work
/// takes a slot from other requests, beside the time that it takes itself.
const MISS_WEIGHT: f64 = 3.0;

/// The part of the slots of a home's servers that may be busy for further copies to be made. At
/// two thirds a server of three slots has one free in the mean.
const MAX_COPY_UTILIZATION: f64 = 0.6;
/// The requests of others beyond the slots that are taken for none. What is told of them is an
/// average, and a hundredth of a request would make a server with a free slot count as full.
const LOAD_TOLERANCE: f64 = 0.3;

/// Where an object is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// In the VM's own failure domain.
    Domain,
    /// In the VM's own region.
    Region,
    /// In other regions.
    OtherRegions,
    /// In any region.
    AnyRegion,
}

/// What a choice is made for.
pub struct SelectionParams<'a> {
    /// The object, or any number where the route has none.
    pub object: u64,
    /// Whether servers are faster at objects that they know.
    pub sticky: bool,
    /// The VM's own region.
    pub region: &'a RegionName,
    /// The VM's own failure domain.
    pub domain: &'a DomainName,
    /// The time within which an answer is worth most.
    pub latency_target: Millis,
    /// The time that is left for the request.
    pub time_left: Millis,
    /// Now.
    pub now: Millis,
    /// Whether it may run in some regions only.
    pub is_region_bound: bool,
    /// Which mechanisms are on.
    pub switches: Switches,
    /// The server that another VM has found to be the first of the rank.
    pub assigned: Option<&'a UpstreamName>,
    /// Says whether this VM is the home of a server.
    pub is_home: &'a dyn Fn(&Upstream) -> bool,
    /// Where the homes of servers put objects, while all requests for them come there.
    pub placement: Option<&'a ObjectPlacement>,
}

/// A server that may get the request, as it is expected to do.
#[derive(Clone)]
pub struct Candidate {
    /// The server.
    pub upstream: Rc<Upstream>,
    /// Whether it is taken to keep the object.
    pub is_warm: bool,
    /// Whether a slot is expected to be free.
    pub has_free_slot: bool,
    /// The expected time to its answer, in milliseconds, were it free.
    pub service_ms: f64,
    /// The expected time to its answer, in milliseconds.
    pub response_ms: f64,
    /// The requests that it is expected to have, of this VM and of others.
    pub load: f64,
    /// How old what it told of its load is.
    pub load_age: Millis,
    /// This VM's own requests at it.
    pub own_in_flight: u32,
    /// What taking it costs, in milliseconds: the time, and what others lose.
    pub cost_ms: f64,
}

/// Chooses among `candidates`; gives nothing where there are none.
///
/// An object is served at its `place`. There the first server of its rank gets it. Another one
/// gets a copy only where it is free and the first one is so busy that even the work without a
/// copy is done sooner there. With more copies, an overload spreads every object over every
/// server, none of which then keeps any, and the overload stays.
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
        // A region without servers of the service, or without one that the route allows.
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
    // Only what would otherwise be refused leaves the regions that it is meant for, and only for
    // servers that it was sent to before.
    let ranked = rank_servers(params, &others, &|u| local_region_first(params, u));
    let mut fallback = ranked
        .iter()
        .map(|u| estimate(params, u, false, service_times));
    fallback
        .find(|p| p.has_free_slot && p.is_warm)
        .or(best_match)
}

/// Gives the server of `candidates` that gets an object at its `place` where it has room, as all
/// VMs work it out alike.
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

/// Which servers come before others, whatever their rank: those with the least number.
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
    // The load of servers whose home this VM is is known exactly, so they are asked first.
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
    Some(alternative.unwrap_or(first))
}

/// Gives where the home of the first server of an object's rank puts the object.
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

/// Says whether the servers whose home this VM is have room for copies of objects, the one whose
/// requests would come late left out.
///
/// The first server of a rank may get three or four objects while others get none. What it can't
/// answer in time is then worth a copy at a server that is idle: the request that makes it comes
/// late, the ones after it come in time. Where all servers are busy the copies would push
/// other objects out, and every request would be work afresh.
fn has_copy_capacity(
    params: &SelectionParams<'_>,
    servers: &[&Rc<Upstream>],
    service_times: &ServiceTimes,
) -> bool {
    let own = servers.iter().filter(|u| (params.is_home)(u));
    let other_load = service_times.typical_other_load(params.now);
    let (load, slots) = own.fold((0.0, 0.0), |(load, slots), u| {
        (
            load + u.load(other_load, params.now),
            slots + f64::from(u.slots.get()),
        )
    });
    load < slots * MAX_COPY_UTILIZATION
}

/// Gives the first server of an object's rank: the one that another VM named, where it is among
/// them.
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

/// Ranks servers for an object.
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

/// Gives a server's place in the rank of an object, by weighted rendezvous hashing alike on every
/// VM: the least comes first.
fn rank_key(params: &SelectionParams<'_>, upstream: &Upstream) -> f64 {
    let object = params.object.to_le_bytes();
    let digest = hash::rendezvous(&[&object], upstream.id.as_str());
    let share = match params.is_region_bound {
        true => 1.0,
        false => upstream.unbound_share.get(),
    };
    -hash::unit_interval(digest).ln() / (f64::from(upstream.slots.get()) * share)
}

fn estimate(
    params: &SelectionParams<'_>,
    upstream: &Rc<Upstream>,
    is_target: bool,
    service_times: &ServiceTimes,
) -> Candidate {
    let is_warm = params.sticky && (is_target || upstream.likely_caches(params.object, params.now));
    let target = params.latency_target.0 as f64;
    let warm_ms = service_times.expected_ms(&upstream.region, true, target * DEFAULT_WARM_TIME);
    let expected_ms = match is_warm {
        true => warm_ms,
        false => service_times.expected_ms(&upstream.region, false, target * DEFAULT_COLD_TIME),
    };
    let slots = f64::from(upstream.slots.get());
    let is_on = |mechanism| params.switches.is_on(mechanism);
    let load = match is_on(Mechanism::ToldLoad) {
        true => upstream.load(service_times.typical_other_load(params.now), params.now),
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
    let excess = load + 1.0 - slots - LOAD_TOLERANCE;
    let wait_ms = excess.max(0.0) / slots * warm_ms * slowness;
    let service_ms = expected_ms * slowness;
    let miss_ms = (expected_ms - warm_ms).max(0.0) * (miss_weight - 1.0);
    Candidate {
        is_warm,
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

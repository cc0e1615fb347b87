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
const FAILING_COST: f64 = 3.0;
/// The time for an object that a server keeps, as a part of the latency target, until one was
/// seen; and for one that it does not keep. They only say that the second takes longer.
const UNKNOWN_WARM: f64 = 0.4;
const UNKNOWN_COLD: f64 = 1.2;
/// How many times the extra work for an object that a server does not keep counts. The work
/// takes a slot from other requests, beside the time that it takes itself.
const COLD_COST: f64 = 3.0;

/// The part of the slots of a home's servers that may be busy for further copies to be made. At
/// two thirds a server of three slots has one free in the mean.
const ROOM: f64 = 0.6;
/// The requests of others beyond the slots that are taken for none. What is told of them is an
/// average, and a hundredth of a request would make a server with a free slot count as full.
const NEGLIGIBLE: f64 = 0.3;

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
    pub cost: f64,
}

/// Chooses among `candidates`; gives nothing where there are none.
///
/// An object is served at its `place`. There the first server of its rank gets it. Another one
/// gets a copy only where it is free and the first one is so busy that even the work without a
/// copy is done sooner there. With more copies, an overload spreads every object over every
/// server, none of which then keeps any, and the overload stays.
pub fn select(
    wish: &SelectionParams<'_>,
    candidates: &[Rc<Upstream>],
    pace: &ServiceTimes,
    place: Locality,
) -> Option<Candidate> {
    let (there, others): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|u| is_there(wish, u, place));
    if there.is_empty() {
        // A region without servers of the service, or without one that the route allows.
        let order = |u: &Upstream| near_first(wish, u);
        return choose_ranked(wish, &others, pace, &order);
    }
    let here = choose_ranked(wish, &there, pace, &|_| 0);
    let may_leave = wish.switches.is_on(Mechanism::OtherRegions);
    if !may_leave
        || here
            .as_ref()
            .is_some_and(|p| p.has_free_slot || p.response_ms <= wish.latency_target.0 as f64)
    {
        return here;
    }
    // Only what would otherwise be refused leaves the regions that it is meant for, and only for
    // servers that it was sent to before.
    let ranked = ranked(wish, &others, &|u| near_first(wish, u));
    let mut elsewhere = ranked.iter().map(|u| prospect(wish, u, false, pace));
    elsewhere.find(|p| p.has_free_slot && p.is_warm).or(here)
}

/// Gives the server of `candidates` that gets an object at its `place` where it has room, as all
/// VMs work it out alike.
pub fn first_ranked(
    wish: &SelectionParams<'_>,
    candidates: &[Rc<Upstream>],
    place: Locality,
) -> Option<Rc<Upstream>> {
    let there = candidates.iter().filter(|u| is_there(wish, u, place));
    let best = first_of_rank(wish, there, &|_| 0);
    let anywhere = || first_of_rank(wish, candidates.iter(), &|u| near_first(wish, u));
    best.or_else(anywhere).cloned()
}

/// Which servers come before others, whatever their rank: those with the least number.
type Order<'a> = &'a dyn Fn(&Upstream) -> u8;

fn near_first(wish: &SelectionParams<'_>, upstream: &Upstream) -> u8 {
    u8::from(upstream.region != *wish.region)
}

fn is_there(wish: &SelectionParams<'_>, upstream: &Upstream, place: Locality) -> bool {
    match place {
        Locality::Domain => upstream.domain == *wish.domain,
        Locality::Region => upstream.region == *wish.region,
        Locality::OtherRegions => upstream.region != *wish.region,
        Locality::AnyRegion => true,
    }
}

fn choose_ranked(
    wish: &SelectionParams<'_>,
    servers: &[&Rc<Upstream>],
    pace: &ServiceTimes,
    order: Order<'_>,
) -> Option<Candidate> {
    let ranked_first = first_of_rank(wish, servers.iter().copied(), order)?;
    let chosen = &put_evenly(wish, ranked_first, servers);
    let first = prospect(wish, chosen, true, pace);
    if first.has_free_slot {
        return Some(first);
    }
    let others = servers.iter().filter(|u| u.id != chosen.id);
    let others: Vec<&Rc<Upstream>> = others.copied().collect();
    // The load of servers whose home this VM is is known exactly, so they are asked first.
    let known_first = |u: &Upstream| 2 * order(u) + u8::from(!(wish.is_home)(u));
    let ranked = ranked(wish, &others, &known_first);
    let others = ranked.iter().map(|u| prospect(wish, u, false, pace));
    let may_copy =
        first.response_ms > wish.latency_target.0 as f64 && has_room(wish, servers, pace);
    let is_better =
        |p: &Candidate| p.cost < first.cost || (may_copy && (wish.is_home)(&p.upstream));
    let mut spares = others.filter(|p| p.has_free_slot);
    let spare = spares.find(is_better);
    Some(spare.unwrap_or(first))
}

/// Gives where the home of the first server of an object's rank puts the object.
fn put_evenly(
    wish: &SelectionParams<'_>,
    first: &Rc<Upstream>,
    servers: &[&Rc<Upstream>],
) -> Rc<Upstream> {
    match wish.placement.filter(|_| (wish.is_home)(first)) {
        Some(spread) => {
            let own = servers.iter().copied().filter(|u| (wish.is_home)(u));
            let own: Vec<&Rc<Upstream>> = own.collect();
            spread.server_of(wish.object, first, &own, wish.now)
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
fn has_room(wish: &SelectionParams<'_>, servers: &[&Rc<Upstream>], pace: &ServiceTimes) -> bool {
    let own = servers.iter().filter(|u| (wish.is_home)(u));
    let usual = pace.usual_others(wish.now);
    let (load, slots) = own.fold((0.0, 0.0), |(load, slots), u| {
        (
            load + u.load(usual, wish.now),
            slots + f64::from(u.slots.get()),
        )
    });
    load < slots * ROOM
}

/// Gives the first server of an object's rank: the one that another VM named, where it is among
/// them.
fn first_of_rank<'a>(
    wish: &SelectionParams<'_>,
    mut servers: impl Iterator<Item = &'a Rc<Upstream>> + Clone,
    order: Order<'_>,
) -> Option<&'a Rc<Upstream>> {
    if let Some(named) = wish.assigned
        && let Some(upstream) = servers.clone().find(|u| u.id == *named)
    {
        return Some(upstream);
    }
    let first = servers.next()?;
    let keyed = servers.map(|u| (order(u), place_in_rank(wish, u), u));
    let best = keyed.fold(
        (order(first), place_in_rank(wish, first), first),
        |best, next| {
            let is_before = next.0.cmp(&best.0).then(next.1.total_cmp(&best.1)).is_lt();
            if is_before { next } else { best }
        },
    );
    Some(best.2)
}

/// Ranks servers for an object.
fn ranked<'a>(
    wish: &SelectionParams<'_>,
    servers: &[&'a Rc<Upstream>],
    order: Order<'_>,
) -> Vec<&'a Rc<Upstream>> {
    let placed = servers
        .iter()
        .map(|u| (order(u), place_in_rank(wish, u), *u));
    let mut placed: Vec<(u8, f64, &Rc<Upstream>)> = placed.collect();
    placed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    placed.into_iter().map(|(_, _, u)| u).collect()
}

/// Gives a server's place in the rank of an object, by weighted rendezvous hashing alike on every
/// VM: the least comes first.
fn place_in_rank(wish: &SelectionParams<'_>, upstream: &Upstream) -> f64 {
    let object = wish.object.to_le_bytes();
    let drawn = hash::rendezvous(&[&object], upstream.id.as_str());
    let open = match wish.is_region_bound {
        true => 1.0,
        false => upstream.open_part.get(),
    };
    -hash::unit_interval(drawn).ln() / (f64::from(upstream.slots.get()) * open)
}

fn prospect(
    wish: &SelectionParams<'_>,
    upstream: &Rc<Upstream>,
    is_first: bool,
    pace: &ServiceTimes,
) -> Candidate {
    let warm = wish.sticky && (is_first || upstream.likely_caches(wish.object, wish.now));
    let target = wish.latency_target.0 as f64;
    let often = pace.expected(&upstream.region, true, target * UNKNOWN_WARM);
    let usual = match warm {
        true => often,
        false => pace.expected(&upstream.region, false, target * UNKNOWN_COLD),
    };
    let slots = f64::from(upstream.slots.get());
    let has = |mechanism| wish.switches.is_on(mechanism);
    let load = match has(Mechanism::ToldLoad) {
        true => upstream.load(pace.usual_others(wish.now), wish.now),
        false => f64::from(upstream.in_flight()),
    };
    let slowness = match has(Mechanism::Slowness) {
        true => upstream.slowness(wish.now),
        false => 1.0,
    };
    let failing = match has(Mechanism::Failing) {
        true => upstream.failing(wish.now),
        false => 0.0,
    };
    let cold_cost = match has(Mechanism::ColdCost) {
        true => COLD_COST,
        false => 1.0,
    };
    let ahead = load + 1.0 - slots - NEGLIGIBLE;
    let wait = ahead.max(0.0) / slots * often * slowness;
    let work = usual * slowness;
    let extra = (usual - often).max(0.0) * (cold_cost - 1.0);
    Candidate {
        is_warm: warm,
        has_free_slot: ahead <= 0.0,
        service_ms: work,
        response_ms: work + wait,
        load,
        load_age: upstream.load_age(wish.now),
        own_in_flight: upstream.in_flight(),
        cost: work * (1.0 + FAILING_COST * failing) + wait + extra,
        upstream: Rc::clone(upstream),
    }
}

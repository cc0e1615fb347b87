//! Moves the thresholds of all services and routes by what servers and VMs there are.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;

use crate::accounts::Accounts;
use crate::catalog::Catalog;
use crate::context::EdgeContext;
use crate::locality::Carried;
use crate::presence;
use crate::spillover::Room;
use crate::switches::Mechanism;
use crate::unbound_share::parts_left;
use crate::upstream::Upstream;
use crate::world::RoutingState;

/// Moves each threshold once.
pub(crate) fn run(cx: &EdgeContext) {
    let now = cx.now();
    let catalog = cx.world.borrow().catalog().cloned();
    let Some(catalog) = catalog else {
        return;
    };
    for spec in catalog.services() {
        tell_sent(cx, &spec.name, now);
        step_parts(cx, &catalog, &spec.name, now);
    }
    let has = |mechanism| cx.switches.is_on(mechanism);
    for spec in catalog.services().filter(|_| has(Mechanism::Spill)) {
        let state = cx.service(&spec.name);
        state.spill.step(room(cx, &spec.name, now), now);
    }
    let here = presence::live_vms(cx);
    let vms_here = here.iter().filter(|vm| vm.domain == cx.cfg.domain).count();
    for route in catalog.routes() {
        let carried = Carried {
            large: route.large_answers || route.large_bodies,
            // With no VM here no object is asked for often enough to stay in the domain.
            vms_here: match has(Mechanism::OwnDomain) {
                true => vms_here,
                false => 0,
            },
        };
        cx.route(&route.name).step(carried, now);
    }
    let mut routes = cx.routes.borrow_mut();
    routes.retain(|name, _| catalog.has_route(name));
}

/// Tells where requests for a service were sent, and where its threshold stands.
fn tell_sent(cx: &EdgeContext, service: &ServiceName, now: Millis) {
    let state = cx.service(service);
    if let Some(summary) = state.sent_by_region.take_summary(now) {
        info!(service:% = service, requests = summary.requests, sent = summary.sent.as_str(),
            under_way = summary.under_way.as_str(), part_away = state.spill.part(),
            span_ms = summary.span.0; "requests sent to regions");
    }
}

/// Moves the parts of a service's regions that are left to requests which may run anywhere.
fn step_parts(cx: &EdgeContext, catalog: &Catalog, service: &ServiceName, now: Millis) {
    let bound = catalog
        .accounts()
        .map_or(&[][..], Accounts::restricted_shares);
    let bound = match cx.switches.is_on(Mechanism::GiveWay) {
        true => bound,
        false => &[],
    };
    let parts = &cx.service(service).region_shares;
    if bound.is_empty() && parts.are_whole() {
        return;
    }
    let world = cx.world.borrow();
    let upstreams = world.upstreams(service);
    let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
    for upstream in usable(&world, &upstreams, now) {
        *slots.entry(upstream.region.clone()).or_default() += f64::from(upstream.slots.get());
    }
    parts.step(&parts_left(&slots, bound), now);
    for upstream in upstreams.iter() {
        upstream.open_part.set(parts.of(&upstream.region));
    }
}

fn usable<'a>(
    world: &'a RoutingState,
    upstreams: &'a [Rc<Upstream>],
    now: Millis,
) -> impl Iterator<Item = &'a Rc<Upstream>> {
    upstreams
        .iter()
        .filter(move |u| u.accepts_requests() && !world.is_evacuated(&u.domain) && !u.is_cold(now))
}

fn room(cx: &EdgeContext, service: &ServiceName, now: Millis) -> Room {
    let world = cx.world.borrow();
    let regions: BTreeSet<&RegionName> = cx.cfg.domains.values().collect();
    let mut room = Room {
        regions: regions.len(),
        way: cx.distances.round_trip(),
        ..Room::default()
    };
    for upstream in usable(&world, &world.upstreams(service), now) {
        let slots = f64::from(upstream.slots.get()) * upstream.open_part.get();
        match upstream.region == cx.region {
            true => room.own += slots,
            false => room.elsewhere += slots,
        }
    }
    room
}

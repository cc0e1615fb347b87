//! Moves the thresholds of all services and routes by what servers and VMs there are.

use std::collections::BTreeSet;

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::presence;
use crate::reach::Distance;
use crate::spill::Room;
use crate::switches::Mechanism;
use crate::upstream::Upstream;

/// Moves each threshold once.
pub(crate) fn run(cx: &EdgeContext) {
    let now = cx.now();
    let catalog = cx.world.borrow().catalog().cloned();
    let Some(catalog) = catalog else {
        return;
    };
    let has = |mechanism| cx.switches.has(mechanism);
    for spec in catalog.services().filter(|_| has(Mechanism::Spill)) {
        let state = cx.service(&spec.name);
        state.spill.step(room(cx, &spec.name, now), now);
    }
    let here = presence::alive(cx);
    let vms_here = here.iter().filter(|vm| vm.domain == cx.cfg.domain).count();
    for route in catalog.routes() {
        let distance = Distance {
            // As far as the whole target: nothing is served everywhere.
            round_trip: match has(Mechanism::Everywhere) {
                true => cx.distances.round_trip(),
                false => Some(route.latency_target),
            },
            target: route.latency_target,
            large: route.large_answers || route.large_bodies,
            // With no VM here no object is asked for often enough to stay in the domain.
            vms_here: match has(Mechanism::OwnDomain) {
                true => vms_here,
                false => 0,
            },
        };
        cx.route(&route.name).step(distance, now);
    }
    let mut routes = cx.routes.borrow_mut();
    routes.retain(|name, _| catalog.has_route(name));
}

fn room(cx: &EdgeContext, service: &ServiceName, now: Millis) -> Room {
    let world = cx.world.borrow();
    let usable =
        |u: &Upstream| u.takes_requests() && !world.is_evacuated(&u.domain) && !u.is_cold(now);
    let regions: BTreeSet<&RegionName> = cx.cfg.domains.values().collect();
    let mut room = Room {
        regions: regions.len(),
        ..Room::default()
    };
    for upstream in world.upstreams(service).iter().filter(|u| usable(u)) {
        let slots = f64::from(upstream.slots.get());
        match upstream.region == cx.region {
            true => room.own += slots,
            false => room.elsewhere += slots,
        }
    }
    room
}

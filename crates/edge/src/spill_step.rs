//! Moves the thresholds of all services by what servers there are.

use std::collections::BTreeSet;

use heatherknot_types::prelude::*;

use crate::context::EdgeContext;
use crate::spill::Room;
use crate::upstream::Upstream;

/// Moves the threshold of each service once.
pub(crate) fn run(cx: &EdgeContext) {
    let now = cx.now();
    let catalog = cx.world.borrow().catalog().cloned();
    let Some(catalog) = catalog else {
        return;
    };
    for spec in catalog.services() {
        let state = cx.service(&spec.name);
        state.spill.step(room(cx, &spec.name, now), now);
    }
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

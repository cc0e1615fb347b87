//! Periodically updates where objects are served: the spillover thresholds and unrestricted shares
//! of all services and the localities of all routes, from the known servers and VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use heatherknot_types::prelude::*;
use log::info;

use crate::accounts::Accounts;
use crate::catalog::Catalog;
use crate::context::EdgeContext;
use crate::locality::TransferProfile;
use crate::presence;
use crate::routing_state::RoutingState;
use crate::spillover::SlotCounts;
use crate::switches::Mechanism;
use crate::unrestricted_share::target_shares;
use crate::upstream::Upstream;

/// Updates every threshold, share and locality once.
pub(crate) fn run(cx: &EdgeContext) {
    let now = cx.now();
    let catalog = cx.routing_state.borrow().catalog().cloned();
    let Some(catalog) = catalog else {
        return;
    };
    for spec in catalog.services() {
        log_sent(cx, &spec.name, now);
        update_unrestricted_shares(cx, &catalog, &spec.name, now);
    }
    let is_on = |mechanism| cx.switches.is_on(mechanism);
    for spec in catalog.services().filter(|_| is_on(Mechanism::Spill)) {
        let state = cx.service(&spec.name);
        state
            .spillover
            .update(slot_counts(cx, &spec.name, now), now);
    }
    let live_vms = presence::live_vms(cx);
    let local_vms = live_vms
        .iter()
        .filter(|vm| vm.domain == cx.cfg.domain)
        .count();
    for route in catalog.routes() {
        let profile = TransferProfile {
            expects_large: route.large_answers || route.large_bodies,
            // With zero VMs, no object's request rate is high enough to stay in the domain.
            local_vms: match is_on(Mechanism::OwnDomain) {
                true => local_vms,
                false => 0,
            },
        };
        cx.route(&route.name).update(profile, now);
    }
    let mut routes = cx.routes.borrow_mut();
    routes.retain(|name, _| catalog.has_route(name));
    for state in cx.services.borrow().values() {
        state.work.retain_routes(|name| catalog.has_route(name));
    }
}

/// Logs to which regions requests for a service were sent, and its spillover threshold.
fn log_sent(cx: &EdgeContext, service: &ServiceName, now: Millis) {
    let state = cx.service(service);
    if let Some(summary) = state.sent_by_region.take_summary(now) {
        info!(service:% = service, requests = summary.requests, sent = summary.sent.as_str(),
            under_way = summary.in_flight.as_str(), part_away = state.spillover.remote_fraction(),
            span_ms = summary.span.0; "requests sent to regions");
    }
}

/// Updates the share of each region's slots that is left to unrestricted requests.
fn update_unrestricted_shares(
    cx: &EdgeContext,
    catalog: &Catalog,
    service: &ServiceName,
    now: Millis,
) {
    let restricted = catalog
        .accounts()
        .map_or(&[][..], Accounts::restricted_shares);
    let restricted = match cx.switches.is_on(Mechanism::GiveWay) {
        true => restricted,
        false => &[],
    };
    let shares = &cx.service(service).unrestricted_shares;
    if restricted.is_empty() && shares.are_all_full() {
        return;
    }
    let routing_state = cx.routing_state.borrow();
    let upstreams = routing_state.upstreams(service);
    let mut slots: BTreeMap<RegionName, f64> = BTreeMap::new();
    for upstream in usable_servers(&routing_state, &upstreams, now) {
        *slots.entry(upstream.region.clone()).or_default() += f64::from(upstream.slots.get());
    }
    shares.update(&target_shares(&slots, restricted), now);
    for upstream in upstreams.iter() {
        upstream
            .unrestricted_share
            .set(shares.share(&upstream.region));
    }
}

fn usable_servers<'a>(
    routing_state: &'a RoutingState,
    upstreams: &'a [Rc<Upstream>],
    now: Millis,
) -> impl Iterator<Item = &'a Rc<Upstream>> {
    upstreams.iter().filter(move |u| {
        u.accepts_requests() && !routing_state.is_evacuated(&u.domain) && !u.is_cold(now)
    })
}

fn slot_counts(cx: &EdgeContext, service: &ServiceName, now: Millis) -> SlotCounts {
    let routing_state = cx.routing_state.borrow();
    let regions: BTreeSet<&RegionName> = cx.cfg.domains.values().collect();
    let mut slot_counts = SlotCounts {
        region_count: regions.len(),
        round_trip: cx.round_trips.longest(),
        ..SlotCounts::default()
    };
    for upstream in usable_servers(&routing_state, &routing_state.upstreams(service), now) {
        let slots = f64::from(upstream.slots.get()) * upstream.unrestricted_share.get();
        match upstream.region == cx.region {
            true => slot_counts.local += slots,
            false => slot_counts.remote += slots,
        }
    }
    slot_counts
}

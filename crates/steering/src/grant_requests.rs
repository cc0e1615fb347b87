//! Requests grants from other failure domains, and answers their requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::issuer::{Reserve, ScopeName};
use crate::messages::{GrantReply, GrantRequest, PlaceRequest, VmReport};
use crate::peer::rendezvous_winner;
use crate::steering::Steering;
use crate::warm_up::WarmUp;

/// Rate below which no grant is requested, in requests per second.
const MIN_REQUEST_RATE: f64 = 0.2;
/// Lower bound of the latency used to estimate requests in flight, in seconds.
const MIN_LATENCY_SECS: f64 = 0.05;
/// Factor between the requests in flight asked for and those expected from the usual latency.
const IN_FLIGHT_HEADROOM: f64 = 2.0;
/// How long a VM that did not answer is avoided.
const AVOID_UNRESPONSIVE: Millis = Millis(3_000);

/// Load that this VM would send to one place without the limits of its grants.
#[derive(Clone, Copy, Debug, Default)]
struct DesiredLoad {
    /// Requests per second.
    rate: f64,
    /// Requests in flight.
    in_flight: f64,
}

/// Capacity to request at one place.
struct PlaceDemand {
    place: PlaceName,
    rate: u32,
    in_flight: u32,
}

impl Steering {
    /// Returns the grant requests to send now, at most one for each other failure domain, each
    /// with its destination VM. A request that would change nothing is omitted.
    pub fn request_grants(&mut self, now: Millis) -> Vec<(VmName, GrantRequest)> {
        let names = self.plan.domains.keys();
        let others: Vec<DomainName> = names
            .filter(|d| **d != self.identity.domain)
            .cloned()
            .collect();
        let desired = self.desired_by_place();
        let mut requests = Vec::new();
        for domain in &others {
            let requested_at = self.last_request.get(domain).copied();
            if requested_at.is_some_and(|at| now.since(at) < self.tuning.ask_interval) {
                continue;
            }
            requests.extend(self.request_from_domain(domain, &desired, now));
        }
        requests
    }

    /// Returns the load that all services together would send to each place without the limits of
    /// the grants.
    fn desired_by_place(&self) -> BTreeMap<PlaceName, DesiredLoad> {
        let mut places: BTreeMap<PlaceName, DesiredLoad> = BTreeMap::new();
        for state in self.services.values() {
            let latency_secs = (state.latency_ms / 1_000.0).max(MIN_LATENCY_SECS);
            for (place, rate) in state.desired.iter().filter(|(_, rate)| *rate > 0.0) {
                if !places.contains_key(place) {
                    places.insert(place.clone(), DesiredLoad::default());
                }
                let sum = places.get_mut(place).expect("inserted above");
                sum.rate += rate;
                sum.in_flight += rate * latency_secs;
            }
        }
        places
    }

    fn request_from_domain(
        &mut self,
        domain: &DomainName,
        desired: &BTreeMap<PlaceName, DesiredLoad>,
        now: Millis,
    ) -> Option<(VmName, GrantRequest)> {
        let issuer = self.select_issuer(domain)?;
        let demands = self.demand_in(domain, desired, now);
        if !demands.iter().any(|d| self.should_request(d, &issuer, now)) {
            return None;
        }
        let ask = self.holder.start_request(domain, &issuer, now);
        let mut wants: Vec<PlaceRequest> = Vec::with_capacity(demands.len());
        for d in &demands {
            if d.rate > 0 || self.holder.live_grant(&d.place, now).is_some() {
                wants.push(
                    self.holder
                        .place_request(&d.place, &issuer, d.rate, d.in_flight),
                );
            }
        }
        self.last_request.insert(domain.clone(), now);
        let req = GrantRequest {
            ask,
            holder: self.identity.vm.clone(),
            holder_incarnation: self.identity.incarnation,
            domain: self.identity.domain.clone(),
            issuer_incarnation: self.holder.incarnation_of(&issuer),
            wants,
        };
        Some((issuer, req))
    }

    /// Returns the VM of `domain` to request grants from: the winner of a rendezvous hash, which
    /// spreads the requesting VMs over the issuers, preferring VMs that recently answered.
    fn select_issuer(&self, domain: &DomainName) -> Option<VmName> {
        let peers = self.peers.get(domain)?;
        let usable = || peers.iter().filter(|p| p.usable).map(|p| &p.vm);
        let answering = usable().filter(|vm| !self.avoided_until.contains_key(*vm));
        let key = self.identity.vm.as_str();
        rendezvous_winner(key, answering)
            .or_else(|| rendezvous_winner(key, usable()))
            .cloned()
    }

    fn demand_in(
        &mut self,
        domain: &DomainName,
        desired: &BTreeMap<PlaceName, DesiredLoad>,
        now: Millis,
    ) -> Vec<PlaceDemand> {
        let plan = Arc::clone(&self.plan);
        let mut demands = Vec::new();
        for (place, _) in plan.places.iter().filter(|(_, p)| p.domain == *domain) {
            let desired = desired.get(place).copied().unwrap_or_default();
            // Callers with cached answers arrive regardless of this VM's current preference.
            let rate = desired.rate.max(self.committed_rate(place, now));
            demands.push(self.demand_at(place, rate, desired.in_flight));
        }
        demands
    }

    fn demand_at(&self, place: &PlaceName, rate: f64, in_flight: f64) -> PlaceDemand {
        let mut demand = PlaceDemand {
            place: place.clone(),
            rate: 0,
            in_flight: 0,
        };
        if rate >= MIN_REQUEST_RATE {
            let headroom = f64::from(self.tuning.ask_headroom_permille) / 1_000.0;
            demand.rate = (rate * headroom).ceil() as u32;
            demand.in_flight = (in_flight * IN_FLIGHT_HEADROOM).ceil() as u32 + 2;
        }
        demand
    }

    /// Returns whether a request for one place would change anything: more is needed, much more is
    /// held than needed, the grant is past half of its term, or the issuer has changed.
    fn should_request(&self, demand: &PlaceDemand, issuer: &VmName, now: Millis) -> bool {
        let Some(held) = self.holder.live_grant(&demand.place, now) else {
            return demand.rate > 0;
        };
        let renew = held.until.since(now) < Millis(self.tuning.term.0 / 2);
        let more = demand.rate > held.rate || demand.in_flight > held.in_flight;
        let excess = demand.rate == 0 || u64::from(demand.rate) * 3 < u64::from(held.rate) * 2;
        let moved = held.issuer != *issuer;
        (renew && demand.rate > 0) || more || excess || moved
    }

    /// Answers a grant request. The caller must have authenticated the VM that the request names.
    pub fn on_grant_request(&mut self, req: &GrantRequest, now: Millis) -> GrantReply {
        let unknown_region = RegionName::new("");
        let from = self.region_of(&req.domain).cloned();
        let reserves: Vec<(PlaceName, Option<Reserve>)> = self
            .places
            .keys()
            .map(|p| (p.clone(), self.reserve_at(p, now)))
            .collect();
        let reserve = |place: &PlaceName| {
            let found = reserves.iter().find(|(p, _)| p == place);
            // A VM of an unknown failure domain gets no grant.
            found.and_then(|(_, r)| *r).filter(|_| from.is_some())
        };
        let region = from.as_ref().unwrap_or(&unknown_region);
        let grants = self.issuer.lend(req, region, &reserve, now);
        let asked = req
            .wants
            .iter()
            .filter(|d| self.places.contains_key(&d.place));
        let places = asked.map(|d| self.place_report(&d.place, now)).collect();
        self.report_seq += 1;
        GrantReply {
            ask: req.ask,
            holder_incarnation: req.holder_incarnation,
            issuer: self.identity.vm.clone(),
            issuer_incarnation: self.identity.incarnation,
            term: self.tuning.term,
            grants,
            report_seq: self.report_seq,
            places,
        }
    }

    /// Returns the capacity to withhold at a place of this failure domain. `None` if the place
    /// lends nothing because it, its region or this VM is draining, it is unhealthy, or it has no
    /// usable backend server.
    fn reserve_at(&self, place: &PlaceName, now: Millis) -> Option<Reserve> {
        if self.draining(place) || self.vm_draining() || !self.reports.usable(place) {
            return None;
        }
        if self.local_health(place, now) == 0 {
            return None;
        }
        let state = self.places.get(place)?;
        let name = ScopeName::Place(place.clone());
        let usable = self.issuer.usable_in(&name);
        let local = self.issuer.local_in(&name, now);
        let factor = f64::from(self.tuning.local_reserve_permille) / 1_000.0;
        let rate = (state.local_demand.peak() * factor).ceil() as u32;
        let in_flight = (f64::from(local.in_flight) * factor).ceil() as u32;
        let warmed_rate: f64 = state.warm_up.values().map(WarmUp::warmed_rate).sum();
        Some(Reserve {
            local: Cap {
                per_second: rate.min(usable.per_second),
                in_flight: in_flight.min(usable.in_flight),
            },
            warm_rate: (warmed_rate + self.largest_step(place)) as u32 + 1,
        })
    }

    fn largest_step(&self, place: &PlaceName) -> f64 {
        let here = |s: &&heatherknot_types::plan::ServicePlan| {
            s.upstreams.iter().any(|u| u.place == *place)
        };
        let services = self.plan.services.values().filter(here);
        services
            .map(|s| self.growth_step(s, place))
            .fold(0.0, f64::max)
    }

    /// Applies the reply to a grant request and returns whether it was accepted.
    pub fn on_grant_reply(&mut self, reply: &GrantReply, now: Millis) -> bool {
        let peers = self.peers.iter();
        let mut known = peers.flat_map(|(d, vms)| vms.iter().map(move |p| (d, p)));
        let found = known.find(|(_, p)| p.vm == reply.issuer);
        let Some(domain) = found.map(|(d, _)| d.clone()) else {
            return false;
        };
        if !self.holder.accept_reply(&domain, reply, now) {
            return false;
        }
        self.avoided_until.remove(&reply.issuer);
        for grant in &reply.grants {
            let given = (grant.rate, grant.in_flight, now);
            self.last_granted.insert(grant.place.clone(), given);
        }
        let report = VmReport {
            vm: reply.issuer.clone(),
            domain,
            incarnation: reply.issuer_incarnation,
            seq: reply.report_seq,
            places: reply.places.clone(),
        };
        self.reports.record(&report, now);
        true
    }

    /// Records that `vm` did not answer a grant request; another VM is asked next.
    pub fn on_grant_request_failed(&mut self, vm: &VmName, now: Millis) {
        self.avoided_until
            .insert(vm.clone(), now + AVOID_UNRESPONSIVE);
        let peers = self.peers.values().flatten();
        let domain = peers
            .filter(|p| p.vm == *vm)
            .map(|p| p.domain.clone())
            .next();
        if let Some(domain) = domain {
            self.holder.abandon_request(&domain);
        }
    }
}

//! Asking other failure domains for grants, and answering their requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::plan::Cap;
use heatherknot_types::prelude::*;

use crate::issuer::{Reserve, ScopeName};
use crate::messages::{GrantReply, GrantRequest, VmReport, Want};
use crate::pairing::winner;
use crate::steering::Steering;
use crate::warmth::Warmth;

/// Requests a second below which a place isn't worth a grant.
const LEAST_RATE: f64 = 0.2;
/// The shortest time for which a request is reckoned to be in flight, in seconds.
const LEAST_LATENCY_SECS: f64 = 0.05;
/// Requests in flight asked for, as a multiple of what the usual latency makes likely.
const IN_FLIGHT_ROOM: f64 = 2.0;
/// How long a VM that didn't answer is passed over.
const AVOID_FOR: Millis = Millis(3_000);

/// What this VM would send to one place if it were allowed to.
#[derive(Clone, Copy, Debug, Default)]
struct Desired {
    /// Requests a second.
    rate: f64,
    /// Requests in flight.
    in_flight: f64,
}

/// What this VM wants of one place.
struct Wanted {
    place: PlaceName,
    rate: u32,
    in_flight: u32,
}

impl Steering {
    /// Gives the requests for grants to send now, at most one for each other failure domain,
    /// each with the VM to send it to. Nothing is asked that would change nothing.
    pub fn request_grants(&mut self, now: Millis) -> Vec<(VmName, GrantRequest)> {
        let names = self.plan.domains.keys();
        let others: Vec<DomainName> = names.filter(|d| **d != self.me.domain).cloned().collect();
        let desired = self.desired_by_place();
        let mut asks = Vec::new();
        for domain in &others {
            let last = self.last_ask.get(domain).copied();
            if last.is_some_and(|at| now.since(at) < self.tuning.ask_interval) {
                continue;
            }
            asks.extend(self.ask_domain(domain, &desired, now));
        }
        asks
    }

    /// Gives what all services together would send to each place if they were allowed to.
    fn desired_by_place(&self) -> BTreeMap<PlaceName, Desired> {
        let mut places: BTreeMap<PlaceName, Desired> = BTreeMap::new();
        for state in self.services.values() {
            let latency_secs = (state.latency_ms / 1_000.0).max(LEAST_LATENCY_SECS);
            for (place, rate) in state.desired.iter().filter(|(_, rate)| *rate > 0.0) {
                if !places.contains_key(place) {
                    places.insert(place.clone(), Desired::default());
                }
                let sum = places.get_mut(place).expect("inserted above");
                sum.rate += rate;
                sum.in_flight += rate * latency_secs;
            }
        }
        places
    }

    fn ask_domain(
        &mut self,
        domain: &DomainName,
        desired: &BTreeMap<PlaceName, Desired>,
        now: Millis,
    ) -> Option<(VmName, GrantRequest)> {
        let issuer = self.issuer_in(domain)?;
        let wanted = self.wanted_of(domain, desired, now);
        if !wanted.iter().any(|w| self.worth_asking(w, &issuer, now)) {
            return None;
        }
        let ask = self.holder.note_ask(domain, &issuer, now);
        let mut wants: Vec<Want> = Vec::with_capacity(wanted.len());
        for w in &wanted {
            if w.rate > 0 || self.holder.live(&w.place, now).is_some() {
                wants.push(self.holder.want(&w.place, &issuer, w.rate, w.in_flight));
            }
        }
        self.last_ask.insert(domain.clone(), now);
        let req = GrantRequest {
            ask,
            holder: self.me.vm.clone(),
            holder_incarnation: self.me.incarnation,
            domain: self.me.domain.clone(),
            issuer_incarnation: self.holder.incarnation_of(&issuer),
            wants,
        };
        Some((issuer, req))
    }

    /// Gives the VM of `domain` that this VM asks: the winner of a rendezvous hash, so that
    /// the sources spread over the VMs, without those that lately gave no answer.
    fn issuer_in(&self, domain: &DomainName) -> Option<VmName> {
        let peers = self.peers.get(domain)?;
        let usable = || peers.iter().filter(|p| p.usable).map(|p| &p.vm);
        let answering = usable().filter(|vm| !self.avoided.contains_key(*vm));
        let key = self.me.vm.as_str();
        winner(key, answering)
            .or_else(|| winner(key, usable()))
            .cloned()
    }

    fn wanted_of(
        &mut self,
        domain: &DomainName,
        desired: &BTreeMap<PlaceName, Desired>,
        now: Millis,
    ) -> Vec<Wanted> {
        let plan = Arc::clone(&self.plan);
        let mut wanted = Vec::new();
        for (place, _) in plan.places.iter().filter(|(_, p)| p.domain == *domain) {
            let desired = desired.get(place).copied().unwrap_or_default();
            // Callers with cached answers come whatever this VM would now prefer.
            let rate = desired.rate.max(self.committed(place, now));
            wanted.push(self.wanted_at(place, rate, desired.in_flight));
        }
        wanted
    }

    fn wanted_at(&self, place: &PlaceName, rate: f64, in_flight: f64) -> Wanted {
        let mut wanted = Wanted {
            place: place.clone(),
            rate: 0,
            in_flight: 0,
        };
        if rate >= LEAST_RATE {
            let headroom = f64::from(self.tuning.ask_headroom_permille) / 1_000.0;
            wanted.rate = (rate * headroom).ceil() as u32;
            wanted.in_flight = (in_flight * IN_FLIGHT_ROOM).ceil() as u32 + 2;
        }
        wanted
    }

    /// Says whether asking about one place would change anything: it needs more, holds much
    /// more than it needs, or its grant is halfway to its end.
    fn worth_asking(&self, wanted: &Wanted, issuer: &VmName, now: Millis) -> bool {
        let Some(held) = self.holder.live(&wanted.place, now) else {
            return wanted.rate > 0;
        };
        let renew = held.until.since(now) < Millis(self.tuning.term.0 / 2);
        let more = wanted.rate > held.rate || wanted.in_flight > held.in_flight;
        let idle = wanted.rate == 0 || u64::from(wanted.rate) * 3 < u64::from(held.rate) * 2;
        let moved = held.issuer != *issuer;
        (renew && wanted.rate > 0) || more || idle || moved
    }

    /// Answers a request for grants. The owner must know by other means that the request comes
    /// from the VM that it names.
    pub fn on_grant_request(&mut self, req: &GrantRequest, now: Millis) -> GrantReply {
        let nowhere = RegionName::new("");
        let from = self.region_of(&req.domain).cloned();
        let reserves: Vec<(PlaceName, Option<Reserve>)> = self
            .places
            .keys()
            .map(|p| (p.clone(), self.reserve_at(p, now)))
            .collect();
        let reserve = |place: &PlaceName| {
            let found = reserves.iter().find(|(p, _)| p == place);
            // A VM of a failure domain that the settings don't name gets nothing.
            found.and_then(|(_, r)| *r).filter(|_| from.is_some())
        };
        let region = from.as_ref().unwrap_or(&nowhere);
        let grants = self.issuer.lend(req, region, &reserve, now);
        let asked = req
            .wants
            .iter()
            .filter(|w| self.places.contains_key(&w.place));
        let places = asked.map(|w| self.place_report(&w.place, now)).collect();
        self.report_seq += 1;
        GrantReply {
            ask: req.ask,
            holder_incarnation: req.holder_incarnation,
            issuer: self.me.vm.clone(),
            issuer_incarnation: self.me.incarnation,
            term: self.tuning.term,
            grants,
            report_seq: self.report_seq,
            places,
        }
    }

    /// Gives what to keep back at a place of this failure domain, or none where it lends
    /// nothing because it, its region or this VM is drained, or all of it fails.
    fn reserve_at(&self, place: &PlaceName, now: Millis) -> Option<Reserve> {
        if self.draining(place) || self.leaving() || !self.reports.usable(place) {
            return None;
        }
        if self.health_here(place, now) == 0 {
            return None;
        }
        let state = self.places.get(place)?;
        let name = ScopeName::Place(place.clone());
        let usable = self.issuer.usable_in(&name);
        let local = self.issuer.local_in(&name, now);
        let factor = f64::from(self.tuning.local_reserve_permille) / 1_000.0;
        let rate = (state.local_demand.peak() * factor).ceil() as u32;
        let in_flight = (f64::from(local.in_flight) * factor).ceil() as u32;
        let level: f64 = state.warmth.values().map(Warmth::level).sum();
        Some(Reserve {
            local: Cap {
                per_second: rate.min(usable.per_second),
                in_flight: in_flight.min(usable.in_flight),
            },
            warm_rate: (level + self.largest_step(place)) as u32 + 1,
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

    /// Takes in the answer to a request for grants, and says whether it was of use.
    pub fn on_grant_reply(&mut self, reply: &GrantReply, now: Millis) -> bool {
        let peers = self.peers.iter();
        let mut known = peers.flat_map(|(d, vms)| vms.iter().map(move |p| (d, p)));
        let found = known.find(|(_, p)| p.vm == reply.issuer);
        let Some(domain) = found.map(|(d, _)| d.clone()) else {
            return false;
        };
        if !self.holder.take(&domain, reply, now) {
            return false;
        }
        self.avoided.remove(&reply.issuer);
        for grant in &reply.grants {
            let given = (grant.rate, grant.in_flight, now);
            self.granted.insert(grant.place.clone(), given);
        }
        let report = VmReport {
            vm: reply.issuer.clone(),
            domain,
            incarnation: reply.issuer_incarnation,
            seq: reply.report_seq,
            places: reply.places.clone(),
        };
        self.reports.take(&report, now);
        true
    }

    /// Notes that `vm` did not answer a request for grants; another VM is asked next.
    pub fn on_grant_request_failed(&mut self, vm: &VmName, now: Millis) {
        self.avoided.insert(vm.clone(), now + AVOID_FOR);
        let peers = self.peers.values().flatten();
        let domain = peers
            .filter(|p| p.vm == *vm)
            .map(|p| p.domain.clone())
            .next();
        if let Some(domain) = domain {
            self.holder.forget_ask(&domain);
        }
    }
}

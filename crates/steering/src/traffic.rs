//! Computes each service's traffic split from demand, grants, reports and health, and answers
//! look-ups from it.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::hash::{rendezvous, unit_interval};
use heatherknot_types::plan::ServicePlan;
use heatherknot_types::prelude::*;

use crate::allowance::min_cap;
use crate::issuer::{ScopeName, sub_caps};
use crate::lookup::{Choice, LookupAnswer};
use crate::placement::{AvailablePlace, PlaceShare, ServiceDemand, Target, assign};
use crate::steering::{ServiceState, Steering};

/// How long no traffic must be planned for a draining place before it receives no more requests.
const DRAIN_SETTLE: Millis = Millis(3_000);
/// Rates at or below this count as zero, in requests per second.
const NEGLIGIBLE_RATE: f64 = 0.01;
/// Rate assumed per cached look-up answer until one is measured, in requests per second.
const DEFAULT_RATE_PER_ANSWER: f64 = 0.2;
/// Minimum number of live answers naming local places before the rate per answer is measured.
const MIN_ANSWERS: u32 = 1;
/// Weight of a new sample in the moving average of the rate per answer.
const RATE_PER_ANSWER_GAIN: f64 = 0.1;
/// Demand assumed for a service that has none, in requests per second.
const MIN_DEMAND: f64 = 0.1;
/// Utilization assumed for a place without reports.
const UNKNOWN_UTILIZATION: f64 = 0.5;
/// Rate requested from a place without reports, in requests per second.
const INITIAL_REQUEST: f64 = 5.0;
/// Fraction of an issuer's lendable rate that one holder plans with.
const LENDABLE_FRACTION: f64 = 0.5;
/// Factor over the last granted rate that a holder may request after it was granted less than it
/// asked for.
const REQUEST_GROWTH: f64 = 1.25;
/// Shortest time to live of a look-up answer.
const MIN_TTL: Millis = Millis(500);

/// The places of the plan as this VM can use them.
struct AvailablePlaces {
    index: BTreeMap<PlaceName, usize>,
    /// Limits under the grants held now.
    current: Vec<AvailablePlace>,
    /// Limits under the grants that could be obtained.
    desired: Vec<AvailablePlace>,
}

impl Steering {
    /// Recomputes the traffic splits of all services. `span` is the time since the last call.
    pub(crate) fn update_splits(&mut self, span: Millis, now: Millis) {
        self.measure_answers(now);
        let plan = Arc::clone(&self.plan);
        let places = self.available_places(now);
        let mut demands = Vec::with_capacity(plan.services.len());
        for (name, service) in &plan.services {
            demands.push(self.service_demand(name, service, &places, now));
        }
        let desired = assign(&demands, &places.desired);
        let possible = assign(&demands, &places.current);
        self.track_drained(&demands, &places, &possible, now);
        for (at, name) in plan.services.keys().enumerate() {
            let committed_rate = self.committed_by_place(name, now);
            let Some(state) = self.services.get_mut(name) else {
                continue;
            };
            let demand = &demands[at];
            let targets = targets_of(demand, &places.current, &possible[at]);
            state.split.move_toward(&targets, &self.tuning, span);
            state.desired = rates_by_place(demand, &places.desired, &desired[at]);
            update_relay(state, demand.demand, &committed_rate);
        }
    }

    /// Records since when no traffic is planned for each draining place.
    fn track_drained(
        &mut self,
        demands: &[ServiceDemand],
        places: &AvailablePlaces,
        possible: &[Vec<f64>],
        now: Millis,
    ) {
        let mut totals = vec![0.0; places.current.len()];
        for (demand, rates) in demands.iter().zip(possible) {
            for (&place, rate) in demand.candidates.iter().zip(rates) {
                totals[place] += rate;
            }
        }
        for (place, total) in places.current.iter().zip(totals) {
            if place.draining && total <= NEGLIGIBLE_RATE {
                self.drained_since.entry(place.place.clone()).or_insert(now);
            } else {
                self.drained_since.remove(&place.place);
            }
        }
    }

    /// Returns whether this VM's traffic to the draining `place` has had room elsewhere for
    /// [`DRAIN_SETTLE`].
    ///
    /// Guards against a drain that never ends: the grants held elsewhere vary by a few requests
    /// per second, and requests they briefly did not cover returned to the draining place, one at
    /// a time, until the operator gave up. Once all traffic has had room elsewhere for a while,
    /// requests wait in the queue through such moments.
    fn is_drained(&self, place: &PlaceName, now: Millis) -> bool {
        let since = self.drained_since.get(place);
        self.draining(place) && since.is_some_and(|at| now.since(*at) >= DRAIN_SETTLE)
    }

    fn service_demand(
        &mut self,
        name: &ServiceName,
        service: &ServicePlan,
        places: &AvailablePlaces,
        now: Millis,
    ) -> ServiceDemand {
        let here = self.services.get(name).map_or(0.0, |s| s.demand.rate());
        let away: f64 = self.committed_by_place(name, now).values().sum();
        let mut candidates = Vec::new();
        let mut max_rates = Vec::new();
        for upstream in service.upstreams.iter().filter(|u| !u.draining) {
            if let Some(&at) = places.index.get(&upstream.place)
                && !candidates.contains(&at)
                && self.serves(name, &upstream.place, now)
            {
                candidates.push(at);
                max_rates.push(self.max_rate_by_slots(name, &upstream.place, now));
            }
        }
        ServiceDemand {
            demand: (here + away).max(MIN_DEMAND),
            latency_weight: f64::from(service.latency_weight_permille) / 1_000.0,
            candidates,
            max_rates,
        }
    }

    /// Returns the rate, in requests per second, that this VM's part of a service's slots can
    /// serve at a place of this failure domain. The slots of other failure domains are reflected
    /// in their grants.
    fn max_rate_by_slots(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> f64 {
        let service_time_ms = self
            .services
            .get(service)
            .map_or(0.0, |s| s.service_time_ms);
        if !self.is_local(place) || service_time_ms <= 0.0 {
            return f64::INFINITY;
        }
        let here = self.upstreams.of(service).iter();
        let here = here.filter(|u| u.plan().place == *place && u.usable(now));
        let slots: u32 = here.map(|u| u.slots(&self.tuning, now)).sum();
        f64::from(slots) * f64::from(self.part) / service_time_ms
    }

    /// Returns whether `service` can be served at `place` as far as this VM knows.
    fn serves(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> bool {
        let here = !self.is_local(place) || self.upstreams.any_usable(service, place, now);
        here && self.reports.usable(place) && self.reports.serves(service, place, now)
    }

    fn available_places(&mut self, now: Millis) -> AvailablePlaces {
        let plan = Arc::clone(&self.plan);
        let mut places = AvailablePlaces {
            index: BTreeMap::new(),
            current: Vec::with_capacity(plan.places.len()),
            desired: Vec::with_capacity(plan.places.len()),
        };
        for place in plan.places.keys() {
            places.index.insert(place.clone(), places.current.len());
            let (possible, desired) = if self.is_local(place) {
                self.local_place(place, now)
            } else {
                self.remote_place(place, now)
            };
            places.current.push(possible);
            places.desired.push(desired);
        }
        places
    }

    fn local_place(&mut self, place: &PlaceName, now: Millis) -> (AvailablePlace, AvailablePlace) {
        let name = ScopeName::Place(place.clone());
        let usable = self.issuer.usable_in(&name);
        let left = sub_caps(usable, self.issuer.lent_in(&name, None, now));
        let region = self.issuer.usable_in(&ScopeName::Region);
        let region_left = sub_caps(region, self.issuer.lent_in(&ScopeName::Region, None, now));
        let used = f64::from(self.issuer.used_in(&name, now).per_second);
        let local = f64::from(self.issuer.local_in(&name, now).per_second);
        let limit = f64::from(min_cap(left, region_left).per_second);
        let place = AvailablePlace {
            place: place.clone(),
            delay_ms: 0.0,
            limit: if self.is_drained(place, now) {
                0.0
            } else {
                limit
            },
            capacity: f64::from(usable.per_second),
            other_load: (used - local).max(0.0),
            draining: self.draining(place),
        };
        (place.clone(), place)
    }

    fn remote_place(&mut self, place: &PlaceName, now: Millis) -> (AvailablePlace, AvailablePlace) {
        let domain = self.plan.places.get(place).map(|p| p.domain.clone());
        let delay = domain.map_or(Millis(0), |d| self.delay_to(&d));
        let held = self.holder.live_grant(place, now);
        let rate = held.map_or(0.0, |h| f64::from(h.rate));
        let sent = held.map_or(0.0, |h| f64::from(h.sent(now)));
        let summary = self.reports.summary(place, now);
        let (capacity, other_load) = match &summary {
            Some(s) => (s.allowance, (s.rate - sent).max(0.0)),
            None => (
                2.0 * rate.max(INITIAL_REQUEST),
                UNKNOWN_UTILIZATION * 2.0 * rate.max(INITIAL_REQUEST),
            ),
        };
        let lendable = summary.map_or(INITIAL_REQUEST, |s| s.lendable * LENDABLE_FRACTION);
        let possible = AvailablePlace {
            place: place.clone(),
            delay_ms: delay.0 as f64,
            limit: if self.is_drained(place, now) {
                0.0
            } else {
                rate
            },
            capacity,
            other_load,
            draining: self.draining(place),
        };
        let mut desired = possible.clone();
        desired.limit = self.requestable_rate(place, rate + lendable, now);
        (possible, desired)
    }

    /// Returns the rate worth requesting from `place`: slightly above the last grant where that
    /// was recent, and zero while the place drains or is unhealthy.
    fn requestable_rate(&self, place: &PlaceName, hoped: f64, now: Millis) -> f64 {
        if self.draining(place) || !self.reports.usable(place) {
            return 0.0;
        }
        match self.last_granted.get(place) {
            Some((rate, _, at)) if now.since(*at) < self.tuning.term => {
                hoped.min((f64::from(*rate) * REQUEST_GROWTH).max(1.0) + INITIAL_REQUEST)
            }
            _ => hoped,
        }
    }

    /// Returns the rate that callers with cached look-up answers can send to `place`, in requests
    /// per second.
    pub(crate) fn committed_rate(&mut self, place: &PlaceName, now: Millis) -> f64 {
        let live = self.answers.at_place(place, now);
        let rate =
            |(service, n): &(ServiceName, u32)| f64::from(*n) * self.rate_per_answer(service);
        live.iter().map(rate).sum()
    }

    /// Returns the committed rate of one service by place, for places of other failure domains.
    fn committed_by_place(
        &mut self,
        service: &ServiceName,
        now: Millis,
    ) -> BTreeMap<PlaceName, f64> {
        let rate_per_answer = self.rate_per_answer(service);
        let domain = &self.identity.domain;
        let plan = &self.plan;
        let other = |place: &PlaceName| plan.places.get(place).is_some_and(|p| p.domain != *domain);
        let live = self.answers.of_service(service, now);
        live.into_iter()
            .filter(|(place, _)| other(place))
            .map(|(place, n)| (place, f64::from(n) * rate_per_answer))
            .collect()
    }

    fn rate_per_answer(&self, service: &ServiceName) -> f64 {
        let measured = self
            .services
            .get(service)
            .map_or(0.0, |s| s.rate_per_answer);
        if measured > 0.0 {
            measured
        } else {
            DEFAULT_RATE_PER_ANSWER
        }
    }

    /// Measures the request rate that one look-up answer causes, from the answers that name local
    /// places.
    fn measure_answers(&mut self, now: Millis) {
        let plan = Arc::clone(&self.plan);
        for (name, service) in &plan.services {
            let mut places: Vec<&PlaceName> = service.upstreams.iter().map(|u| &u.place).collect();
            places.sort();
            places.dedup();
            let local = places.into_iter().filter(|p| self.places.contains_key(*p));
            let live: u32 = local.map(|p| self.answers.live(name, p, now)).sum();
            let Some(state) = self.services.get_mut(name) else {
                continue;
            };
            if live >= MIN_ANSWERS {
                let seen = state.demand.rate() / f64::from(live);
                state.rate_per_answer += (seen - state.rate_per_answer) * RATE_PER_ANSWER_GAIN;
            }
        }
    }

    /// Answers a look-up and counts the answer as load until it expires. An answer never outlives
    /// the grant it relies on, and the live answers never exceed the granted rate.
    ///
    /// Places are ranked by weighted rendezvous hashing over `block`, the caller's client block:
    /// callers of the same block are sent to the same place, and a change of a place's share moves
    /// only the blocks it affects.
    pub fn on_lookup(
        &mut self,
        service: &ServiceName,
        block: &[u8],
        now: Millis,
    ) -> Option<LookupAnswer> {
        let plan = Arc::clone(&self.plan);
        let ttl = plan.services.get(service)?.lookup_ttl;
        let ranked = self.ranked_places(service, block);
        let rate_per_answer = self.rate_per_answer(service);
        let mut answer = LookupAnswer {
            choices: Vec::new(),
            ttl,
        };
        for place in &ranked {
            self.add_choice(&mut answer, place, rate_per_answer, now);
        }
        let best = answer.choices.first()?.place.clone();
        self.answers.add(service, &best, now + answer.ttl);
        Some(answer)
    }

    /// Returns the places of `service` in rendezvous order for a client block. A look-up names
    /// them in this order as far as grants allow.
    pub fn ranked_places(&self, service: &ServiceName, block: &[u8]) -> Vec<PlaceName> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let mut ranked: Vec<(f64, PlaceName)> = state
            .split
            .shares
            .iter()
            .filter(|share| share.share > 0.0)
            .map(|share| (rendezvous_score(service, block, share), share.place.clone()))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        ranked.into_iter().map(|(_, place)| place).collect()
    }

    fn add_choice(&mut self, answer: &mut LookupAnswer, place: &PlaceName, rate: f64, now: Millis) {
        let Some(domain) = self.plan.places.get(place).map(|p| p.domain.clone()) else {
            return;
        };
        let mut choice = Choice {
            place: place.clone(),
            domain,
            vm: None,
            grant: None,
        };
        if !self.is_local(place) {
            let committed_rate = self.committed_rate(place, now);
            let Some(held) = self.holder.live_grant(place, now) else {
                return;
            };
            let left = held.until.since(now);
            if committed_rate + rate > f64::from(held.rate) || left < MIN_TTL {
                return;
            }
            answer.ttl = answer.ttl.min(left);
            choice.vm = Some(held.issuer.clone());
            choice.grant = self.holder.token(place);
        }
        answer.choices.push(choice);
    }
}

/// Returns the weighted rendezvous score of a place for a block. The probability that a place
/// scores highest equals its share.
fn rendezvous_score(service: &ServiceName, block: &[u8], share: &PlaceShare) -> f64 {
    let key = [service.as_str().as_bytes(), block];
    let unit = unit_interval(rendezvous(&key, share.place.as_str()));
    -share.share / unit.ln()
}

fn targets_of(demand: &ServiceDemand, places: &[AvailablePlace], assigned: &[f64]) -> Vec<Target> {
    let candidates = demand.candidates.iter().zip(assigned);
    let target = |(&at, &rate): (&usize, &f64)| Target {
        place: places[at].place.clone(),
        share: rate / demand.demand,
        max_share: places[at].limit / demand.demand,
    };
    candidates.map(target).collect()
}

fn rates_by_place(
    demand: &ServiceDemand,
    places: &[AvailablePlace],
    assigned: &[f64],
) -> Vec<(PlaceName, f64)> {
    let candidates = demand.candidates.iter().zip(assigned);
    let named = candidates.map(|(&at, &rate)| (places[at].place.clone(), rate));
    named.collect()
}

/// Computes the rate left to relay to each place after the load of callers with cached answers.
fn update_relay(state: &mut ServiceState, demand: f64, committed_rate: &BTreeMap<PlaceName, f64>) {
    let left = |p: &crate::placement::PlaceShare| {
        let away = committed_rate.get(&p.place).copied().unwrap_or(0.0);
        (p.place.clone(), (p.share * demand - away).max(0.0))
    };
    state.relay = state.split.shares.iter().map(left).collect();
}

//! Working out the spread of every service from demand, grants, reports and health.

use std::collections::BTreeMap;
use std::sync::Arc;

use heatherknot_types::hash::{rendezvous, unit_interval};
use heatherknot_types::plan::ServicePlan;
use heatherknot_types::prelude::*;

use crate::allowance::min_cap;
use crate::issuer::{ScopeName, minus};
use crate::lookup::{Choice, LookupAnswer};
use crate::placement::{Need, Part, Room, Target, assign};
use crate::steering::{ServiceState, Steering};

/// How long nothing must be meant for a place that drains before it takes nothing more.
const EMPTY_FOR: Millis = Millis(3_000);
/// Requests a second that count as none.
const NO_RATE: f64 = 0.01;
/// Requests a second that one cached answer is reckoned to bring before it is measured.
const FIRST_PER_ANSWER: f64 = 0.2;
/// Live answers that name a place here which are enough to measure by.
const ENOUGH_ANSWERS: u32 = 1;
/// How much of a new measurement goes into what one answer brings.
const PER_ANSWER_GAIN: f64 = 0.1;
/// The demand that a service without any is spread for, in requests a second.
const LEAST_DEMAND: f64 = 0.1;
/// How full a place of which nothing is known is taken to be.
const UNKNOWN_FULL: f64 = 0.5;
/// What is asked of a place of which nothing is known, in requests a second.
const FIRST_ASK: f64 = 5.0;
/// The part of what an issuer could lend that one source reckons with.
const LENDABLE_PART: f64 = 0.5;
/// How much more than it got a source goes on asking for when it got less than it wanted.
const ASK_AGAIN: f64 = 1.25;
/// The shortest time to live of an answer.
const LEAST_TTL: Millis = Millis(500);

/// What the rooms of the places look like.
struct Rooms {
    at: BTreeMap<PlaceName, usize>,
    /// Under the grants held now.
    now: Vec<Room>,
    /// Under the grants that might be had.
    desired: Vec<Room>,
}

impl Steering {
    /// Works out all spreads anew.
    pub(crate) fn spread(&mut self, span: Millis, now: Millis) {
        self.measure_answers(now);
        let plan = Arc::clone(&self.plan);
        let rooms = self.rooms(now);
        let mut needs = Vec::with_capacity(plan.services.len());
        for (name, service) in &plan.services {
            needs.push(self.need(name, service, &rooms, now));
        }
        let desired = assign(&needs, &rooms.desired);
        let possible = assign(&needs, &rooms.now);
        self.note_emptied(&needs, &rooms, &possible, now);
        for (at, name) in plan.services.keys().enumerate() {
            let committed = self.committed_by(name, now);
            let Some(state) = self.services.get_mut(name) else {
                continue;
            };
            let need = &needs[at];
            let targets = targets_of(need, &rooms.now, &possible[at]);
            state.spread.follow(&targets, &self.tuning, span);
            state.desired = paired(need, &rooms.desired, &desired[at]);
            set_relay(state, need.demand, &committed);
        }
    }

    /// Notes since when nothing is meant to go to each place that drains.
    fn note_emptied(&mut self, needs: &[Need], rooms: &Rooms, possible: &[Vec<f64>], now: Millis) {
        let mut totals = vec![0.0; rooms.now.len()];
        for (need, rates) in needs.iter().zip(possible) {
            for (&room, rate) in need.candidates.iter().zip(rates) {
                totals[room] += rate;
            }
        }
        for (room, total) in rooms.now.iter().zip(totals) {
            if room.draining && total <= NO_RATE {
                self.emptied.entry(room.place.clone()).or_insert(now);
            } else {
                self.emptied.remove(&room.place);
            }
        }
    }

    /// Says whether a drain has emptied `place` for good, as far as this VM sends there.
    ///
    /// Guards against a drain that never ends: the grants that this VM holds elsewhere go up
    /// and down by a few requests a second, and what they don't cover for a moment came back
    /// to the place that drains, single requests until the operator gave up. Once all of the
    /// traffic has had room elsewhere for a while, such moments are waited out in line.
    fn is_emptied(&self, place: &PlaceName, now: Millis) -> bool {
        let since = self.emptied.get(place);
        self.draining(place) && since.is_some_and(|at| now.since(*at) >= EMPTY_FOR)
    }

    fn need(
        &mut self,
        name: &ServiceName,
        service: &ServicePlan,
        rooms: &Rooms,
        now: Millis,
    ) -> Need {
        let here = self.services.get(name).map_or(0.0, |s| s.demand.rate());
        let away: f64 = self.committed_by(name, now).values().sum();
        let mut candidates = Vec::new();
        let mut most = Vec::new();
        for upstream in service.upstreams.iter().filter(|u| !u.draining) {
            if let Some(&at) = rooms.at.get(&upstream.place)
                && !candidates.contains(&at)
                && self.serves(name, &upstream.place, now)
            {
                candidates.push(at);
                most.push(self.most_by_slots(name, &upstream.place, now));
            }
        }
        Need {
            demand: (here + away).max(LEAST_DEMAND),
            latency_weight: f64::from(service.latency_weight_permille) / 1_000.0,
            candidates,
            most,
        }
    }

    /// Gives the requests a second that this VM's part of a service's slots can take at a
    /// place of this failure domain. What others' slots can take shows in their grants.
    fn most_by_slots(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> f64 {
        let run_ms = self.services.get(service).map_or(0.0, |s| s.run_ms);
        if !self.is_ours(place) || run_ms <= 0.0 {
            return f64::INFINITY;
        }
        let here = self.upstreams.of(service).iter();
        let here = here.filter(|u| u.plan().place == *place && u.usable(now));
        let slots: u32 = here.map(|u| u.slots(&self.tuning, now)).sum();
        f64::from(slots) * f64::from(self.part) / run_ms
    }

    /// Says whether `service` can be served at `place` as far as this VM knows.
    fn serves(&self, service: &ServiceName, place: &PlaceName, now: Millis) -> bool {
        let here = !self.is_ours(place) || self.upstreams.any_usable(service, place, now);
        here && self.reports.usable(place) && self.reports.serves(service, place, now)
    }

    fn rooms(&mut self, now: Millis) -> Rooms {
        let plan = Arc::clone(&self.plan);
        let mut rooms = Rooms {
            at: BTreeMap::new(),
            now: Vec::with_capacity(plan.places.len()),
            desired: Vec::with_capacity(plan.places.len()),
        };
        for place in plan.places.keys() {
            rooms.at.insert(place.clone(), rooms.now.len());
            let (possible, desired) = if self.is_ours(place) {
                self.own_rooms(place, now)
            } else {
                self.other_rooms(place, now)
            };
            rooms.now.push(possible);
            rooms.desired.push(desired);
        }
        rooms
    }

    fn own_rooms(&mut self, place: &PlaceName, now: Millis) -> (Room, Room) {
        let name = ScopeName::Place(place.clone());
        let usable = self.issuer.usable_in(&name);
        let left = minus(usable, self.issuer.lent_in(&name, None, now));
        let region = self.issuer.usable_in(&ScopeName::Region);
        let region_left = minus(region, self.issuer.lent_in(&ScopeName::Region, None, now));
        let used = f64::from(self.issuer.used_in(&name, now).per_second);
        let local = f64::from(self.issuer.local_in(&name, now).per_second);
        let limit = f64::from(min_cap(left, region_left).per_second);
        let room = Room {
            place: place.clone(),
            delay_ms: 0.0,
            limit: if self.is_emptied(place, now) {
                0.0
            } else {
                limit
            },
            capacity: f64::from(usable.per_second),
            others: (used - local).max(0.0),
            draining: self.draining(place),
        };
        (room.clone(), room)
    }

    fn other_rooms(&mut self, place: &PlaceName, now: Millis) -> (Room, Room) {
        let domain = self.plan.places.get(place).map(|p| p.domain.clone());
        let delay = domain.map_or(Millis(0), |d| self.delay_to(&d));
        let held = self.holder.live(place, now);
        let rate = held.map_or(0.0, |h| f64::from(h.rate));
        let sent = held.map_or(0.0, |h| f64::from(h.sent(now)));
        let summary = self.reports.summary(place, now);
        let (capacity, others) = match &summary {
            Some(s) => (s.allowance, (s.rate - sent).max(0.0)),
            None => (
                2.0 * rate.max(FIRST_ASK),
                UNKNOWN_FULL * 2.0 * rate.max(FIRST_ASK),
            ),
        };
        let lendable = summary.map_or(FIRST_ASK, |s| s.lendable * LENDABLE_PART);
        let possible = Room {
            place: place.clone(),
            delay_ms: delay.0 as f64,
            limit: if self.is_emptied(place, now) {
                0.0
            } else {
                rate
            },
            capacity,
            others,
            draining: self.draining(place),
        };
        let mut desired = possible.clone();
        desired.limit = self.reachable(place, rate + lendable, now);
        (possible, desired)
    }

    /// Gives what this VM may hope to get at `place`: no more than a little above what it got
    /// where that was lately less than it asked for, and nothing where it drains or is ill.
    fn reachable(&self, place: &PlaceName, hoped: f64, now: Millis) -> f64 {
        if self.draining(place) || !self.reports.usable(place) {
            return 0.0;
        }
        match self.granted.get(place) {
            Some((rate, _, at)) if now.since(*at) < self.tuning.term => {
                hoped.min((f64::from(*rate) * ASK_AGAIN).max(1.0) + FIRST_ASK)
            }
            _ => hoped,
        }
    }

    /// Gives the requests a second that callers with cached answers can bring to `place`.
    pub(crate) fn committed(&mut self, place: &PlaceName, now: Millis) -> f64 {
        let live = self.answers.at_place(place, now);
        let rate = |(service, n): &(ServiceName, u32)| f64::from(*n) * self.per_answer(service);
        live.iter().map(rate).sum()
    }

    /// Gives the same for one service, by place of other failure domains.
    fn committed_by(&mut self, service: &ServiceName, now: Millis) -> BTreeMap<PlaceName, f64> {
        let per_answer = self.per_answer(service);
        let domain = &self.me.domain;
        let plan = &self.plan;
        let other = |place: &PlaceName| plan.places.get(place).is_some_and(|p| p.domain != *domain);
        let live = self.answers.of_service(service, now);
        live.into_iter()
            .filter(|(place, _)| other(place))
            .map(|(place, n)| (place, f64::from(n) * per_answer))
            .collect()
    }

    fn per_answer(&self, service: &ServiceName) -> f64 {
        let measured = self.services.get(service).map_or(0.0, |s| s.per_answer);
        if measured > 0.0 {
            measured
        } else {
            FIRST_PER_ANSWER
        }
    }

    /// Learns from the callers that were sent to places here what one answer brings.
    fn measure_answers(&mut self, now: Millis) {
        let plan = Arc::clone(&self.plan);
        for (name, service) in &plan.services {
            let mut places: Vec<&PlaceName> = service.upstreams.iter().map(|u| &u.place).collect();
            places.sort();
            places.dedup();
            let ours = places.into_iter().filter(|p| self.places.contains_key(*p));
            let live: u32 = ours.map(|p| self.answers.live(name, p, now)).sum();
            let Some(state) = self.services.get_mut(name) else {
                continue;
            };
            if live >= ENOUGH_ANSWERS {
                let seen = state.demand.rate() / f64::from(live);
                state.per_answer += (seen - state.per_answer) * PER_ANSWER_GAIN;
            }
        }
    }

    /// Answers a look-up, and counts the answer as load until it expires: no answer stands on
    /// a grant longer than the grant, nor on more than the grant allows.
    ///
    /// Places are drawn by weighted rendezvous hashing over `block`, the callers' block: the
    /// callers of one block go the same way, and when the part of a place changes only the
    /// blocks that the change concerns move.
    pub fn on_lookup(
        &mut self,
        service: &ServiceName,
        block: &[u8],
        now: Millis,
    ) -> Option<LookupAnswer> {
        let plan = Arc::clone(&self.plan);
        let ttl = plan.services.get(service)?.lookup_ttl;
        let drawn = self.ranked_places(service, block);
        let per_answer = self.per_answer(service);
        let mut answer = LookupAnswer {
            choices: Vec::new(),
            ttl,
        };
        for place in &drawn {
            self.add_choice(&mut answer, place, per_answer, now);
        }
        let best = answer.choices.first()?.place.clone();
        self.answers.add(service, &best, now + answer.ttl);
        Some(answer)
    }

    /// Gives the places of `service` in the order in which they are drawn for a callers'
    /// block. A look-up names them in this order, as far as grants allow.
    pub fn ranked_places(&self, service: &ServiceName, block: &[u8]) -> Vec<PlaceName> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let mut drawn: Vec<(f64, PlaceName)> = state
            .spread
            .parts
            .iter()
            .filter(|part| part.part > 0.0)
            .map(|part| (draw(service, block, part), part.place.clone()))
            .collect();
        drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        drawn.into_iter().map(|(_, place)| place).collect()
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
        if !self.is_ours(place) {
            let committed = self.committed(place, now);
            let Some(held) = self.holder.live(place, now) else {
                return;
            };
            let left = held.until.since(now);
            if committed + rate > f64::from(held.rate) || left < LEAST_TTL {
                return;
            }
            answer.ttl = answer.ttl.min(left);
            choice.vm = Some(held.issuer.clone());
            choice.grant = self.holder.token(place);
        }
        answer.choices.push(choice);
    }
}

/// Scores a place for a block: the chance that a place scores highest is its part.
fn draw(service: &ServiceName, block: &[u8], part: &Part) -> f64 {
    let key = [service.as_str().as_bytes(), block];
    let unit = unit_interval(rendezvous(&key, part.place.as_str()));
    -part.part / unit.ln()
}

fn targets_of(need: &Need, rooms: &[Room], assigned: &[f64]) -> Vec<Target> {
    let candidates = need.candidates.iter().zip(assigned);
    let target = |(&at, &rate): (&usize, &f64)| Target {
        place: rooms[at].place.clone(),
        part: rate / need.demand,
        most: rooms[at].limit / need.demand,
    };
    candidates.map(target).collect()
}

fn paired(need: &Need, rooms: &[Room], assigned: &[f64]) -> Vec<(PlaceName, f64)> {
    let candidates = need.candidates.iter().zip(assigned);
    let named = candidates.map(|(&at, &rate)| (rooms[at].place.clone(), rate));
    named.collect()
}

/// Works out what is left to relay at each place once callers with cached answers have come.
fn set_relay(state: &mut ServiceState, demand: f64, committed: &BTreeMap<PlaceName, f64>) {
    let left = |p: &crate::placement::Part| {
        let away = committed.get(&p.place).copied().unwrap_or(0.0);
        (p.place.clone(), (p.part * demand - away).max(0.0))
    };
    state.relay = state.spread.parts.iter().map(left).collect();
}

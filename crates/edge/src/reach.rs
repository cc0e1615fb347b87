//! How far away a route's objects may be served.
//!
//! One copy of an object in the whole system keeps servers warm best: callers that move to
//! another region find their objects warm, and every server can take its part of the load.
//! It costs the way there, in time and in bytes. So requests with little to carry are served
//! anywhere where the way is short beside the latency target, others in the caller's region, and
//! those with large bodies or answers in the caller's own failure domain where each object is
//! asked for often enough there to stay warm.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::choose::Place;
use crate::ewma::Ewma;
use crate::spill::Spill;
use crate::switches::{Mechanism, Switches};
use crate::window::Window;

/// The longest way to another region and back, as a part of the latency target, for objects
/// that are served anywhere. What is left must do for the work and some waiting.
///
/// Of 0.15, 0.2, 0.25 and 0.45 the first two serve callers best where the work without a kept
/// object takes about the target (0.702, 0.704, 0.691, 0.671 of worth, means of three seeds). Where
/// it takes half as long again and servers are few, 0.25 does better than 0.2 (0.559 and 0.547,
/// five seeds) and 0.15 worse yet.
const SHORT_WAY: f64 = 0.2;
/// Bytes of a request's body and its answer together from which they count as large: their
/// transfer then costs more than the work that a second copy of the object takes.
const LARGE: f64 = 32_000.0;
/// Requests a second for one object in one domain from which it stays warm there.
const OFTEN: f64 = 0.25;
/// How much of a route's objects changes its reach in a second at most. Callers' requests may
/// not be moved from one region to another all at once.
const MOST_A_SECOND: f64 = 0.04;
/// The weight of one request in the usual size.
const SIZE_PART: f64 = 0.1;
/// The span over which requests are counted.
const RATE_SPAN: Millis = Millis(10_000);
/// Objects that are counted of one route; with more, each is asked for seldom.
const MAX_OBJECTS: usize = 4_096;

/// Where an object is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// In the caller's failure domain.
    Domain,
    /// In the caller's region, or in others where the region's own servers are too few.
    Region,
    /// By one server of the whole system.
    Everywhere,
}

/// What is learned of one route.
#[derive(Debug)]
pub struct RouteReach {
    size: Ewma,
    requests: RefCell<Window>,
    objects: RefCell<HashSet<u64>>,
    regional: Cell<Option<f64>>,
    in_domain: Cell<f64>,
    moved: Cell<Millis>,
    /// Whether a request has gone by it.
    is_used: Cell<bool>,
    /// Whether its requests carry much.
    is_large: Cell<bool>,
}

impl Default for RouteReach {
    fn default() -> Self {
        Self {
            size: Ewma::default(),
            requests: RefCell::new(Window::new(RATE_SPAN)),
            objects: RefCell::default(),
            regional: Cell::new(None),
            in_domain: Cell::new(0.0),
            moved: Cell::new(Millis(0)),
            is_used: Cell::new(false),
            is_large: Cell::new(false),
        }
    }
}

/// What the reach of a route follows from, beside its requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct Distance {
    /// The time to another region and back, where it is known.
    pub round_trip: Option<Millis>,
    /// The latency target.
    pub target: Millis,
    /// Whether the bodies or the answers are known to be large before one was seen.
    pub large: bool,
    /// The VMs of this domain, which share its callers.
    pub vms_here: usize,
}

impl RouteReach {
    /// Takes in a request for an object.
    pub fn note_request(&self, object: u64, now: Millis) {
        self.requests.borrow_mut().add(now, 1.0);
        let mut objects = self.objects.borrow_mut();
        if objects.len() < MAX_OBJECTS {
            objects.insert(object);
        }
    }

    /// Takes in the bytes of a request's body and its answer together. Both take the same way: a
    /// body of 60 KB whose answer has 1.5 KB costs as much far off as an answer of that size.
    pub fn note_bytes(&self, bytes: u64) {
        self.size.add(bytes as f64, SIZE_PART);
    }

    /// Gives where an object is served.
    pub fn of(&self, object: u64) -> Reach {
        self.is_used.set(true);
        let draw = |salt| hash::unit_interval(hash::rendezvous(&[&object.to_le_bytes()], salt));
        if draw("domain") < self.in_domain.get() {
            return Reach::Domain;
        }
        match draw("region") < self.regional.get().unwrap_or(1.0) {
            true => Reach::Region,
            false => Reach::Everywhere,
        }
    }

    /// Says whether its requests carry much.
    pub fn is_large(&self) -> bool {
        self.is_large.get()
    }

    /// Says whether other regions may serve its objects for want of room in the own one.
    pub fn may_leave(&self, switches: Switches) -> bool {
        !self.is_large.get() || !switches.has(Mechanism::LargeStays)
    }

    /// Gives where an object is served, if `spill` sends a part of its service's objects away.
    ///
    /// What carries much stays: where a region's servers are too few, others are sent away in its
    /// stead. Bytes between regions, a quarter to a third of the prices of a day with uploads of
    /// 60 KB, fell by 40 to 55 %; worth 0.010 on days with trouble, means of three seeds.
    pub fn place(&self, object: u64, spill: &Spill, switches: Switches) -> Place {
        match self.of(object) {
            Reach::Domain => Place::Domain,
            Reach::Region if self.may_leave(switches) && spill.is_away(object) => Place::Away,
            Reach::Region => Place::Region,
            Reach::Everywhere => Place::Everywhere,
        }
    }

    /// Moves the route's reach for the time since it was moved last.
    ///
    /// Until the first request goes by it, it is where it should be at once: the first measurement
    /// of a way, made while everything starts, may be too long by a quarter, and objects would be
    /// moved from where that had put them for the next 25 s.
    pub fn step(&self, distance: Distance, now: Millis) {
        let elapsed = now.since(self.moved.replace(now)).as_secs_f64().min(1.0);
        let most = MOST_A_SECOND * elapsed;
        let large = match self.size.get() {
            Some(size) => size >= LARGE,
            None => distance.large,
        };
        self.is_large.set(large);
        let Some(round_trip) = distance.round_trip else {
            return;
        };
        let is_far = round_trip.0 as f64 > distance.target.0 as f64 * SHORT_WAY;
        let goal = if is_far || large { 1.0 } else { 0.0 };
        let next = match self.regional.get() {
            Some(part) if self.is_used.get() => part + (goal - part).clamp(-most, most),
            _ => goal,
        };
        self.regional.set(Some(next));
        let stays = large && next >= 1.0 && self.rate_here(distance.vms_here, now) >= OFTEN;
        let step = if stays { most } else { -most };
        self.in_domain
            .set((self.in_domain.get() + step).clamp(0.0, 1.0));
    }

    /// Gives the requests a second for one object in this domain.
    fn rate_here(&self, vms: usize, now: Millis) -> f64 {
        let objects = self.objects.borrow().len();
        if objects == 0 || objects >= MAX_OBJECTS {
            return 0.0;
        }
        let rate = self.requests.borrow_mut().total(now) / RATE_SPAN.as_secs_f64();
        rate * vms as f64 / objects as f64
    }
}

//! How far away a route's objects may be served.
//!
//! An object is served in the region of its callers, and in others only as far as the region's own
//! servers are too few. One copy in the whole system would save work that each region does afresh,
//! but two requests in three would then be under way to another region, beside room in their own.
//! Objects with large bodies or answers are served in the caller's own failure domain where each is
//! asked for often enough there to stay warm.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;

use heatherknot_types::hash;
use heatherknot_types::prelude::*;

use crate::ewma::Ewma;
use crate::selection::Locality;
use crate::spillover::Spillover;
use crate::switches::{Mechanism, Switches};
use crate::window::SlidingWindow;

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
}

/// What is learned of one route.
#[derive(Debug)]
pub struct RouteLocality {
    size: Ewma,
    requests: RefCell<SlidingWindow>,
    objects: RefCell<HashSet<u64>>,
    in_domain: Cell<f64>,
    moved: Cell<Millis>,
    /// Whether its requests carry much.
    is_large: Cell<bool>,
}

impl Default for RouteLocality {
    fn default() -> Self {
        Self {
            size: Ewma::default(),
            requests: RefCell::new(SlidingWindow::new(RATE_SPAN)),
            objects: RefCell::default(),
            in_domain: Cell::new(0.0),
            moved: Cell::new(Millis(0)),
            is_large: Cell::new(false),
        }
    }
}

/// What the reach of a route follows from, beside its requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct Carried {
    /// Whether the bodies or the answers are known to be large before one was seen.
    pub large: bool,
    /// The VMs of this domain, which share its callers.
    pub vms_here: usize,
}

impl RouteLocality {
    /// Takes in a request for an object.
    pub fn record_request(&self, object: u64, now: Millis) {
        self.requests.borrow_mut().add(now, 1.0);
        let mut objects = self.objects.borrow_mut();
        if objects.len() < MAX_OBJECTS {
            objects.insert(object);
        }
    }

    /// Takes in the bytes of a request's body and its answer together. Both take the same way: a
    /// body of 60 KB whose answer has 1.5 KB costs as much far off as an answer of that size.
    pub fn record_bytes(&self, bytes: u64) {
        self.size.add(bytes as f64, SIZE_PART);
    }

    /// Gives where an object is served.
    pub fn of(&self, object: u64) -> Reach {
        let draw = hash::rendezvous(&[&object.to_le_bytes()], "domain");
        match hash::unit_interval(draw) < self.in_domain.get() {
            true => Reach::Domain,
            false => Reach::Region,
        }
    }

    /// Says whether its requests carry much.
    pub fn has_large_transfers(&self) -> bool {
        self.is_large.get()
    }

    /// Says whether other regions may serve its objects for want of room in the own one.
    pub fn may_spill_over(&self, switches: Switches) -> bool {
        !self.is_large.get() || !switches.is_on(Mechanism::LargeStays)
    }

    /// Gives where an object is served, if `spill` sends a part of its service's objects away.
    ///
    /// What carries much stays: where a region's servers are too few, others are sent away in its
    /// stead. Bytes between regions, a quarter to a third of the prices of a day with uploads of
    /// 60 KB, fell by 40 to 55 %; worth 0.010 on days with trouble, means of three seeds.
    pub fn locality_of(&self, object: u64, spill: &Spillover, switches: Switches) -> Locality {
        match self.of(object) {
            Reach::Domain => Locality::Domain,
            Reach::Region if self.may_spill_over(switches) && spill.is_away(object) => {
                Locality::OtherRegions
            }
            Reach::Region => Locality::Region,
        }
    }

    /// Moves the route's reach for the time since it was moved last.
    pub fn step(&self, carried: Carried, now: Millis) {
        let elapsed = now.since(self.moved.replace(now)).as_secs_f64().min(1.0);
        let most = MOST_A_SECOND * elapsed;
        let large = match self.size.get() {
            Some(size) => size >= LARGE,
            None => carried.large,
        };
        self.is_large.set(large);
        let stays = large && self.rate_here(carried.vms_here, now) >= OFTEN;
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

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
const LARGE_TRANSFER: f64 = 32_000.0;
/// Requests a second for one object in one domain from which it stays warm there.
const MIN_OBJECT_RATE: f64 = 0.25;
/// How much of a route's objects changes its reach in a second at most. Callers' requests may
/// not be moved from one region to another all at once.
const MAX_STEP_PER_SECOND: f64 = 0.04;
/// The weight of one request in the usual size.
const SIZE_WEIGHT: f64 = 0.1;
/// The span over which requests are counted.
const RATE_SPAN: Millis = Millis(10_000);
/// Objects that are counted of one route; with more, each is asked for seldom.
const MAX_COUNTED_OBJECTS: usize = 4_096;

/// Where an object is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    domain_fraction: Cell<f64>,
    updated_at: Cell<Millis>,
    /// Whether its requests carry much.
    is_large: Cell<bool>,
}

impl Default for RouteLocality {
    fn default() -> Self {
        Self {
            size: Ewma::default(),
            requests: RefCell::new(SlidingWindow::new(RATE_SPAN)),
            objects: RefCell::default(),
            domain_fraction: Cell::new(0.0),
            updated_at: Cell::new(Millis(0)),
            is_large: Cell::new(false),
        }
    }
}

/// What the reach of a route follows from, beside its requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct TransferProfile {
    /// Whether the bodies or the answers are known to be large before one was seen.
    pub expects_large: bool,
    /// The VMs of this domain, which share its callers.
    pub local_vms: usize,
}

impl RouteLocality {
    /// Takes in a request for an object.
    pub fn record_request(&self, object: u64, now: Millis) {
        self.requests.borrow_mut().add(now, 1.0);
        let mut objects = self.objects.borrow_mut();
        if objects.len() < MAX_COUNTED_OBJECTS {
            objects.insert(object);
        }
    }

    /// Takes in the bytes of a request's body and its answer together. Both take the same way: a
    /// body of 60 KB whose answer has 1.5 KB costs as much far off as an answer of that size.
    pub fn record_bytes(&self, bytes: u64) {
        self.size.add(bytes as f64, SIZE_WEIGHT);
    }

    /// Gives where an object is served.
    pub fn scope_of(&self, object: u64) -> Scope {
        let digest = hash::rendezvous(&[&object.to_le_bytes()], "domain");
        match hash::unit_interval(digest) < self.domain_fraction.get() {
            true => Scope::Domain,
            false => Scope::Region,
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
    pub fn locality_of(&self, object: u64, spillover: &Spillover, switches: Switches) -> Locality {
        match self.scope_of(object) {
            Scope::Domain => Locality::Domain,
            Scope::Region if self.may_spill_over(switches) && spillover.is_remote(object) => {
                Locality::OtherRegions
            }
            Scope::Region => Locality::Region,
        }
    }

    /// Moves the route's reach for the time since it was moved last.
    pub fn update(&self, profile: TransferProfile, now: Millis) {
        let elapsed = now
            .since(self.updated_at.replace(now))
            .as_secs_f64()
            .min(1.0);
        let max_step = MAX_STEP_PER_SECOND * elapsed;
        let is_large = match self.size.get() {
            Some(size) => size >= LARGE_TRANSFER,
            None => profile.expects_large,
        };
        self.is_large.set(is_large);
        let belongs_in_domain =
            is_large && self.object_rate(profile.local_vms, now) >= MIN_OBJECT_RATE;
        let step = if belongs_in_domain {
            max_step
        } else {
            -max_step
        };
        self.domain_fraction
            .set((self.domain_fraction.get() + step).clamp(0.0, 1.0));
    }

    /// Gives the requests a second for one object in this domain.
    fn object_rate(&self, local_vms: usize, now: Millis) -> f64 {
        let objects = self.objects.borrow().len();
        if objects == 0 || objects >= MAX_COUNTED_OBJECTS {
            return 0.0;
        }
        let rate = self.requests.borrow_mut().total(now) / RATE_SPAN.as_secs_f64();
        rate * local_vms as f64 / objects as f64
    }
}

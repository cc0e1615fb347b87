//! How long the requests of a service occupy a slot, learned by this VM from their responses.
//!
//! Routes of one service may differ in their work by orders of magnitude, and a request for an object
//! that the server doesn't have cached takes several times as long as others. Estimates that mix
//! them make a long queue look short. Service times are therefore kept by route, waits are estimated
//! by the mean time in a slot, and whether a server has an object cached that this VM has not sent
//! there is estimated from how such requests turned out lately.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_types::prelude::*;

use crate::ewma::Ewma;
use crate::quantile::Quantile;
use crate::service_times::ServiceTimes;

/// Weight of one response in the mean time in a slot.
const SLOT_TIME_WEIGHT: f64 = 0.03;
/// Weight of one first request for an object at a server in the rate of cache hits among them.
const FIRST_HIT_WEIGHT: f64 = 0.1;
/// Fraction of the latency target below which a response counts as a cache hit until the typical
/// time of the route is known.
const DEFAULT_HIT_FRACTION: f64 = 0.7;
/// Quantile of the response times that is taken as the time without queueing.
const TYPICAL_QUANTILE: f64 = 0.25;
/// Shortest time that is recorded. An estimate of zero could not grow any more, and a ratio to it is
/// not a number.
const MIN_TIME: Millis = Millis(1);
/// Maximum number of routes per service with times of their own.
const MAX_ROUTES: usize = 1_024;

/// What this VM knows of the work of one service's requests.
#[derive(Debug, Default)]
pub struct WorkProfile {
    by_route: RefCell<HashMap<Arc<str>, Rc<ServiceTimes>>>,
    /// Typical response times by route, wherever the requests were served.
    responses: RefCell<HashMap<Arc<str>, Quantile>>,
    slot_time: Ewma,
    first_hits: Ewma,
}

/// Estimates that a selection uses beside the service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Mean time for which a request occupies a slot, in milliseconds, if known.
    pub slot_ms: Option<f64>,
    /// Probability that a server has an object cached that this VM has not sent there.
    pub first_hit_rate: f64,
    /// Typical number of requests of other VMs at a server, whatever their route.
    pub other_load: f64,
}

/// A finished request that had found a free slot.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRun<'a> {
    /// Region of the backend server.
    pub region: &'a RegionName,
    /// Whether servers cache what the route's requests need.
    pub is_sticky: bool,
    /// Whether this VM had sent the object to the server before.
    pub knew_object: bool,
    /// Response time, divided by the speed factor that the machine stated.
    pub took: Millis,
    /// Latency target of the route.
    pub latency_target: Millis,
}

/// What a finished request showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunFinding {
    /// Time relative to the typical one, if that is known.
    pub slowness: Option<f64>,
    /// For the first request for an object at a server, whether the object turned out cached.
    pub first_was_cached: Option<bool>,
}

impl WorkProfile {
    /// Returns the service times of a route.
    pub fn times(&self, route: &Arc<str>) -> Rc<ServiceTimes> {
        let mut by_route = self.by_route.borrow_mut();
        if by_route.len() >= MAX_ROUTES && !by_route.contains_key(route) {
            by_route.clear();
        }
        Rc::clone(by_route.entry(Arc::clone(route)).or_default())
    }

    /// Returns the mean time for which a request occupies a slot, in milliseconds, if known.
    pub fn slot_ms(&self) -> Option<f64> {
        self.slot_time.get()
    }

    /// Returns the estimates for a selection.
    pub fn estimate(&self, other_load: f64) -> WorkEstimate {
        WorkEstimate {
            slot_ms: self.slot_time.get(),
            first_hit_rate: self.first_hits.get().unwrap_or(1.0),
            other_load,
        }
    }

    /// Records a response time of a route, including those of other VMs. Returns the typical one, in
    /// milliseconds.
    pub fn record_response(&self, route: &Arc<str>, took: Millis) -> f64 {
        let took_ms = took.max(MIN_TIME).0 as f64;
        let mut responses = self.responses.borrow_mut();
        if responses.len() >= MAX_ROUTES && !responses.contains_key(route) {
            responses.clear();
        }
        let new = || Quantile::new(TYPICAL_QUANTILE);
        let typical = responses.entry(Arc::clone(route)).or_insert_with(new);
        typical.add(took_ms);
        typical.get().unwrap_or(took_ms)
    }

    /// Records a finished request. Returns what it showed.
    ///
    /// Requests of a route that is not sticky take the same time wherever they run, and say nothing
    /// about what servers have cached.
    pub fn record(&self, route: &Arc<str>, run: &FinishedRun<'_>) -> RunFinding {
        let times = self.times(route);
        let took = run.took.max(MIN_TIME);
        let slowness = times.slowness(run.region, run.knew_object, took);
        self.slot_time.add(took.0 as f64, SLOT_TIME_WEIGHT);
        if !run.is_sticky {
            times.record_run(run.region, true, took);
            times.record_run(run.region, false, took);
            return RunFinding {
                slowness,
                first_was_cached: None,
            };
        }
        let default_limit_ms = run.latency_target.0 as f64 * DEFAULT_HIT_FRACTION;
        let is_hit = run.knew_object || times.looks_cached(run.region, took, default_limit_ms);
        let first_was_cached = (!run.knew_object).then_some(is_hit);
        if first_was_cached.is_some() {
            self.first_hits
                .add(f64::from(u8::from(is_hit)), FIRST_HIT_WEIGHT);
        }
        times.record_run(run.region, is_hit, took);
        RunFinding {
            slowness,
            first_was_cached,
        }
    }

    /// Forgets the routes for which `is_current` is false.
    pub fn retain_routes(&self, is_current: impl Fn(&str) -> bool) {
        self.by_route
            .borrow_mut()
            .retain(|route, _| is_current(route));
        self.responses
            .borrow_mut()
            .retain(|route, _| is_current(route));
    }
}

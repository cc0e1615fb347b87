//! Response times of the backend servers of one service, learned from their responses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, decay};
use crate::quantile::Quantile;

/// Quantile of the warm response times that counts as the typical one. Under load most responses
/// include time in the server's queue. The estimate must be of the service time alone, or waits
/// would be counted twice and every request would be refused for being late.
const WARM_QUANTILE: f64 = 0.25;
/// The same for cold response times.
const COLD_QUANTILE: f64 = 0.5;
/// Weight of one report in the typical load by other VMs.
const OTHER_LOAD_WEIGHT: f64 = 0.1;
/// Time without reports after which the typical load by other VMs counts half.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(500);
/// Multiple of the typical warm time from which a response counts as cold.
const COLD_RATIO: f64 = 2.0;

/// Times of one service from sending a request to the end of its response, in milliseconds.
///
/// They are kept by region of the backend server, so that they include the network round trip.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    by_region: RefCell<HashMap<RegionName, TimeQuantiles>>,
    overall: TimeQuantiles,
    other_load: Ewma,
    other_load_at: Cell<Millis>,
}

#[derive(Debug)]
struct TimeQuantiles {
    warm: Quantile,
    cold: Quantile,
}

impl Default for TimeQuantiles {
    fn default() -> Self {
        Self {
            warm: Quantile::new(WARM_QUANTILE),
            cold: Quantile::new(COLD_QUANTILE),
        }
    }
}

impl TimeQuantiles {
    fn quantile(&self, warm: bool) -> &Quantile {
        if warm { &self.warm } else { &self.cold }
    }
}

impl ServiceTimes {
    /// Records that a server in `region` with a free slot took `took` for an object that it was
    /// known to have cached, or not.
    ///
    /// Other VMs may have requested an object from the server that this VM does not know to be
    /// cached. A time below `COLD_RATIO` times the typical warm time is therefore recorded as warm.
    /// The time for an object that the server has evicted in the meantime is recorded as warm, too.
    pub fn record(&self, region: &RegionName, was_cached: bool, took: Millis) {
        let took = took.0 as f64;
        let typical = self.overall.warm.get();
        let warm = was_cached || typical.is_none_or(|typical| took < typical * COLD_RATIO);
        self.overall.quantile(warm).add(took);
        let mut by_region = self.by_region.borrow_mut();
        let times = by_region.entry(region.clone()).or_default();
        times.quantile(warm).add(took);
    }

    /// Records that a request took `took`, which found its object cached or not.
    pub fn record_run(&self, region: &RegionName, was_hit: bool, took: Millis) {
        let took = took.0 as f64;
        self.overall.quantile(was_hit).add(took);
        let mut by_region = self.by_region.borrow_mut();
        let times = by_region.entry(region.clone()).or_default();
        times.quantile(was_hit).add(took);
    }

    /// Returns whether a response time is that of a cached object. Until the typical warm time is
    /// known, it is if it is shorter than `default_limit_ms`.
    pub fn looks_cached(&self, region: &RegionName, took: Millis, default_limit_ms: f64) -> bool {
        let by_region = self.by_region.borrow();
        let warm = by_region.get(region).and_then(|times| times.warm.get());
        let limit = warm.map_or(default_limit_ms, |warm| warm * COLD_RATIO);
        (took.0 as f64) < limit
    }

    /// Records the number of requests of other VMs at a server.
    pub fn record_other_load(&self, other_load: f64, now: Millis) {
        self.other_load_at.set(now);
        self.other_load.add(other_load, OTHER_LOAD_WEIGHT);
    }

    /// Returns the typical number of requests of other VMs at a server. It decays while no server
    /// reports anything. Otherwise a VM that refuses every request would never learn that it need
    /// not.
    pub fn typical_other_load(&self, now: Millis) -> f64 {
        let age = now.since(self.other_load_at.get());
        self.other_load.get().unwrap_or(0.0) * decay(age, OTHER_LOAD_HALF_LIFE)
    }

    /// Returns the ratio of a response time to the typical one, if that is known. If it is
    /// uncertain whether the object was cached, the closer of the warm and the cold time is used.
    pub fn slowness(&self, region: &RegionName, was_cached: bool, took: Millis) -> Option<f64> {
        let by_region = self.by_region.borrow();
        let times = by_region.get(region)?;
        let took = took.0 as f64;
        let warm = times.warm.get()?;
        if was_cached || took < warm * COLD_RATIO {
            return Some(took / warm);
        }
        times.cold.get().map(|cold| (took / cold).max(1.0))
    }

    /// Returns the expected response time of a server in `region` with a free slot, in
    /// milliseconds, or `default_ms` if nothing comparable was recorded.
    pub fn expected_ms(&self, region: &RegionName, warm: bool, default_ms: f64) -> f64 {
        let by_region = self.by_region.borrow();
        let quantiles = by_region.get(region);
        quantiles
            .and_then(|times| times.quantile(warm).get())
            .or_else(|| self.overall.quantile(warm).get())
            .unwrap_or(default_ms)
    }
}

//! How long the backend servers of one service take, learned from their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use heatherknot_types::prelude::*;

use crate::ewma::{Ewma, decay};
use crate::quantile::Quantile;

/// The quantile of the times with a kept object that counts as usual. Under load most answers
/// have waited in their server's queue; what is wanted is the time of the work alone, or each
/// wait would be counted twice and everything be refused for being late.
const WARM_QUANTILE: f64 = 0.25;
/// The same for the work without a kept object.
const COLD_QUANTILE: f64 = 0.5;
/// The weight of one answer in the usual load by other VMs.
const OTHER_LOAD_WEIGHT: f64 = 0.1;
/// The time without an answer after which that load counts for half.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(500);
/// How many times the usual time with a kept object a time is taken for one without.
const COLD_RATIO: f64 = 2.0;

/// Times of one service, from sending a request to its whole answer, in milliseconds.
///
/// They are kept by the backend server's region, so that the way there is part of them.
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
    /// Takes in that a free server in `region` took `took` for an object that it was known
    /// to keep, or not known to keep.
    ///
    /// Other VMs may have sent it the object meanwhile, and it may have dropped the object
    /// for others, so a time that is far off the usual one counts for the other kind.
    pub fn record(&self, region: &RegionName, was_cached: bool, took: Millis) {
        let took = took.0 as f64;
        let typical = self.overall.warm.get();
        let warm = was_cached || typical.is_none_or(|typical| took < typical * COLD_RATIO);
        self.overall.quantile(warm).add(took);
        let mut by_region = self.by_region.borrow_mut();
        let times = by_region.entry(region.clone()).or_default();
        times.quantile(warm).add(took);
    }

    /// Takes in how many requests of other VMs a server has.
    pub fn record_other_load(&self, other_load: f64, now: Millis) {
        self.other_load_at.set(now);
        self.other_load.add(other_load, OTHER_LOAD_WEIGHT);
    }

    /// Gives how many requests of other VMs a server usually has. It fades while no server
    /// tells anything, or a VM that refuses everything would never learn that it need not.
    pub fn typical_other_load(&self, now: Millis) -> f64 {
        let age = now.since(self.other_load_at.get());
        self.other_load.get().unwrap_or(0.0) * decay(age, OTHER_LOAD_HALF_LIFE)
    }

    /// Gives how many times as long as usual an answer took, where that is known. One for an
    /// object that the server may not have kept is compared with the kind that it is nearer.
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

    /// Gives the expected time at a free server in `region`, or `unknown` where nothing like
    /// it was seen.
    pub fn expected_ms(&self, region: &RegionName, warm: bool, default_ms: f64) -> f64 {
        let by_region = self.by_region.borrow();
        let quantiles = by_region.get(region);
        quantiles
            .and_then(|times| times.quantile(warm).get())
            .or_else(|| self.overall.quantile(warm).get())
            .unwrap_or(default_ms)
    }
}

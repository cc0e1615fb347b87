//! How long the backend servers of one service take, learned from their answers.

use std::cell::RefCell;
use std::collections::HashMap;

use heatherknot_types::prelude::*;

use crate::ewma::Ewma;

/// The weight of one answer.
const SAMPLE_PART: f64 = 0.1;

/// Times of one service, from sending a request to its whole answer, in milliseconds.
///
/// They are kept by the backend server's region, so that the way there is part of them.
#[derive(Debug, Default)]
pub struct Pace {
    by_region: RefCell<HashMap<RegionName, Times>>,
    overall: Times,
}

#[derive(Debug, Default)]
struct Times {
    warm: Ewma,
    cold: Ewma,
}

impl Times {
    fn of(&self, warm: bool) -> &Ewma {
        if warm { &self.warm } else { &self.cold }
    }
}

impl Pace {
    /// Takes in that a free server in `region` took `took` for an object that it kept, or
    /// did not keep.
    pub fn note(&self, region: &RegionName, warm: bool, took: Millis) {
        let took = took.0 as f64;
        self.overall.of(warm).add(took, SAMPLE_PART);
        let mut by_region = self.by_region.borrow_mut();
        let times = by_region.entry(region.clone()).or_default();
        times.of(warm).add(took, SAMPLE_PART);
    }

    /// Gives the expected time at a free server in `region`, or `unknown` where nothing like
    /// it was seen.
    pub fn expected(&self, region: &RegionName, warm: bool, unknown: f64) -> f64 {
        let by_region = self.by_region.borrow();
        let here = by_region.get(region);
        here.and_then(|times| times.of(warm).get())
            .or_else(|| self.overall.of(warm).get())
            .or_else(|| self.overall.of(!warm).get())
            .unwrap_or(unknown)
    }
}

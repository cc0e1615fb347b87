//! In which regions a VM has its callers' requests run, as the log tells it.
//!
//! Requests that move from one region to another find caches cold and links thin. Whether they
//! moved because of a decision, or only arrive later from far away, can't be seen from single
//! requests: what tells it is how many were sent to each region, how many of them are under way, and
//! where the thresholds stood.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

use heatherknot_types::prelude::*;

/// The time between two lines about a service. It is the span in which callers' requests may not
/// move between regions all at once.
const SUMMARY_INTERVAL: Millis = Millis(2_000);

/// The requests for one service that this VM sent to each region, those that another VM handed to it
/// left out.
#[derive(Debug, Default)]
pub struct RegionCounts {
    summarized_at: Cell<Millis>,
    regions: RefCell<BTreeMap<RegionName, Rc<Counts>>>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Requests since the last line.
    sent: Cell<u32>,
    /// Requests without an answer yet.
    in_flight: Cell<u32>,
}

/// A request that is under way to a region, or waits there.
#[derive(Debug)]
pub struct RequestInFlight {
    counts: Rc<Counts>,
}

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        let in_flight = &self.counts.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
    }
}

impl RegionCounts {
    /// Counts a request that is sent to `region`. It is under way for as long as the returned guard
    /// lives.
    pub fn start_request(&self, region: &RegionName) -> RequestInFlight {
        let mut regions = self.regions.borrow_mut();
        let counts = Rc::clone(regions.entry(region.clone()).or_default());
        counts.sent.set(counts.sent.get() + 1);
        counts.in_flight.set(counts.in_flight.get() + 1);
        RequestInFlight { counts }
    }

    /// Gives what was sent to each region since the last summary, where one is due and anything was
    /// sent or is under way.
    pub fn take_summary(&self, now: Millis) -> Option<Summary> {
        let span = now.since(self.summarized_at.get());
        if span < SUMMARY_INTERVAL {
            return None;
        }
        self.summarized_at.set(now);
        let mut summary = Summary {
            span,
            ..Summary::default()
        };
        let mut is_idle = true;
        for (region, counts) in self.regions.borrow().iter() {
            let (sent, in_flight) = (counts.sent.replace(0), counts.in_flight.get());
            is_idle &= sent == 0 && in_flight == 0;
            summary.requests += sent;
            append_count(&mut summary.sent, region, sent);
            append_count(&mut summary.in_flight, region, in_flight);
        }
        (!is_idle).then_some(summary)
    }
}

/// What was sent to each region in a span of time, as a log line tells it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The span.
    pub span: Millis,
    /// The requests that were sent.
    pub requests: u32,
    /// Those sent to each region, as `region=number`.
    pub sent: String,
    /// Those under way to each region, as `region=number`.
    pub in_flight: String,
}

fn append_count(text: &mut String, region: &RegionName, count: u32) {
    let space = if text.is_empty() { "" } else { " " };
    // Writing to a string can't fail.
    let _ = write!(text, "{space}{region}={count}");
}

//! Counts requests by the region to which a VM sends them, for the log.
//!
//! Requests that move to another region find cold caches and slow links. Single requests do not
//! show whether they moved because of a decision or merely arrive later from a remote region. The
//! number sent to each region, the number in flight and the spillover threshold do.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

use heatherknot_types::prelude::*;

/// Interval between two log lines about a service. Within this interval requests must not move
/// between regions all at once.
const SUMMARY_INTERVAL: Millis = Millis(2_000);

/// Requests for one service that this VM sent to each region, without those that another VM handed
/// over to it.
#[derive(Debug, Default)]
pub struct RegionCounts {
    summarized_at: Cell<Millis>,
    regions: RefCell<BTreeMap<RegionName, Rc<Counts>>>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Requests since the last summary.
    sent: Cell<u32>,
    /// Requests without a response so far.
    in_flight: Cell<u32>,
}

/// A request that is in transit to a region or being processed there. It counts as in flight until
/// dropped.
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
    /// Counts a request sent to `region`, which is in flight until the returned guard is dropped.
    pub fn start_request(&self, region: &RegionName) -> RequestInFlight {
        let mut regions = self.regions.borrow_mut();
        let counts = Rc::clone(regions.entry(region.clone()).or_default());
        counts.sent.set(counts.sent.get() + 1);
        counts.in_flight.set(counts.in_flight.get() + 1);
        RequestInFlight { counts }
    }

    /// Returns the requests sent to each region since the last summary, if the interval has passed
    /// and any request was sent or is in flight.
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

/// Requests sent to each region during an interval, formatted for the log.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Length of the interval.
    pub span: Millis,
    /// Number of requests sent.
    pub requests: u32,
    /// Requests sent to each region, as `region=number`.
    pub sent: String,
    /// Requests in flight to each region, as `region=number`.
    pub in_flight: String,
}

fn append_count(text: &mut String, region: &RegionName, count: u32) {
    let space = if text.is_empty() { "" } else { " " };
    // Writing to a string cannot fail.
    let _ = write!(text, "{space}{region}={count}");
}

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
const SPAN: Millis = Millis(2_000);

/// The requests for one service that this VM sent to each region, those that another VM handed to it
/// left out.
#[derive(Debug, Default)]
pub struct RegionCounts {
    told: Cell<Millis>,
    regions: RefCell<BTreeMap<RegionName, Rc<Counts>>>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Requests since the last line.
    sent: Cell<u32>,
    /// Requests without an answer yet.
    under_way: Cell<u32>,
}

/// A request that is under way to a region, or waits there.
#[derive(Debug)]
pub struct UnderWay {
    counts: Rc<Counts>,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let under_way = &self.counts.under_way;
        under_way.set(under_way.get().saturating_sub(1));
    }
}

impl RegionCounts {
    /// Counts a request that is sent to `region`. It is under way for as long as the returned guard
    /// lives.
    pub fn start_request(&self, region: &RegionName) -> UnderWay {
        let mut regions = self.regions.borrow_mut();
        let counts = Rc::clone(regions.entry(region.clone()).or_default());
        counts.sent.set(counts.sent.get() + 1);
        counts.under_way.set(counts.under_way.get() + 1);
        UnderWay { counts }
    }

    /// Gives what was sent to each region since the last summary, where one is due and anything was
    /// sent or is under way.
    pub fn take_summary(&self, now: Millis) -> Option<Summary> {
        let span = now.since(self.told.get());
        if span < SPAN {
            return None;
        }
        self.told.set(now);
        let mut summary = Summary {
            span,
            ..Summary::default()
        };
        let mut is_quiet = true;
        for (region, counts) in self.regions.borrow().iter() {
            let (sent, under_way) = (counts.sent.replace(0), counts.under_way.get());
            is_quiet &= sent == 0 && under_way == 0;
            summary.requests += sent;
            add(&mut summary.sent, region, sent);
            add(&mut summary.under_way, region, under_way);
        }
        (!is_quiet).then_some(summary)
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
    pub under_way: String,
}

fn add(text: &mut String, region: &RegionName, number: u32) {
    let space = if text.is_empty() { "" } else { " " };
    // Writing to a string can't fail.
    let _ = write!(text, "{space}{region}={number}");
}

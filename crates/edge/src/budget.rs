//! Retry budget of a service, shared by all VMs.
//!
//! A retry is load that the callers did not ask for. If many backend servers fail at once,
//! unlimited retries bring down the remaining ones. The part of the budget that is proportional to
//! the requests needs no coordination: each VM applies it to its own requests. The fixed part is
//! divided by the number of VMs that may exist, so the sum stays below the bound no matter which of
//! them are in contact.

use heatherknot_types::prelude::*;

use crate::settings::Bounds;
use crate::window::SlidingWindow;

/// Fraction of the bound that is used. The rest covers requests whose first send has left the
/// window while their retries are still in it.
const USED_FRACTION: f64 = 0.8;

/// One VM's share of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
    ratio: f64,
    slack: f64,
}

impl RetryBudget {
    /// Creates a budget under `bounds`.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            requests: SlidingWindow::new(bounds.retry_window),
            retries: SlidingWindow::new(bounds.retry_window),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.add(now, 1.0);
    }

    /// Takes one retry if the budget allows it. `vms` is the number of VMs that may be sending.
    pub fn try_take(&mut self, now: Millis, vms: usize) -> bool {
        let own_slack = self.slack / vms.max(1) as f64;
        let limit = USED_FRACTION * (self.ratio * self.requests.total(now) + own_slack);
        if self.retries.total(now) + 1.0 > limit {
            return false;
        }
        self.retries.add(now, 1.0);
        true
    }
}

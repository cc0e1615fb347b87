//! The budget of further sends that all VMs share for one service.
//!
//! A send beyond a request's first one is load that the callers did not ask for. Where
//! many backend servers fail at once, unbounded further sends bring down those that are
//! left. The part that grows with the requests needs no agreement: each VM keeps it against
//! its own requests. The fixed part is divided by the VMs that there may be, so the sum
//! stays under the bound whichever of them are in touch.

use heatherknot_types::prelude::*;

use crate::settings::Bounds;
use crate::window::SlidingWindow;

/// The part of the bound that is used. The rest covers requests whose first send fell out
/// of the window while their further sends are still in it.
const USED_PART: f64 = 0.8;

/// One VM's part of a service's budget.
#[derive(Debug)]
pub struct RetryBudget {
    requests: SlidingWindow,
    further: SlidingWindow,
    ratio: f64,
    slack: f64,
}

impl RetryBudget {
    /// Makes a budget under `bounds`.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            requests: SlidingWindow::new(bounds.retry_window),
            further: SlidingWindow::new(bounds.retry_window),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.add(now, 1.0);
    }

    /// Takes one further send, where the budget has it; `vms` is the number of VMs that may
    /// be sending.
    pub fn try_take(&mut self, now: Millis, vms: usize) -> bool {
        let own_slack = self.slack / vms.max(1) as f64;
        let most = USED_PART * (self.ratio * self.requests.total(now) + own_slack);
        if self.further.total(now) + 1.0 > most {
            return false;
        }
        self.further.add(now, 1.0);
        true
    }
}

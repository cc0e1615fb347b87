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

/// Whether a retry may be made, and which part of the budget pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryGrant {
    /// The part that is proportional to the requests.
    Proportional,
    /// The fixed part.
    Fixed,
    /// The budget is used up.
    Denied,
}

impl RetryGrant {
    /// Returns whether the retry may be made.
    pub fn is_granted(self) -> bool {
        self != RetryGrant::Denied
    }

    /// Returns the value of the metrics label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RetryGrant::Proportional => "proportional",
            RetryGrant::Fixed => "fixed",
            RetryGrant::Denied => "denied",
        }
    }
}

/// Use of a retry budget since it was last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUse {
    /// Requests counted.
    pub requests: u64,
    /// Retries from the proportional part.
    pub proportional: u64,
    /// Retries from the fixed part.
    pub fixed: u64,
    /// Retries denied.
    pub denied: u64,
}

/// One VM's share of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
    ratio: f64,
    slack: f64,
    unreported: RetryUse,
}

impl RetryBudget {
    /// Creates a budget under `bounds`.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            requests: SlidingWindow::new(bounds.retry_window),
            retries: SlidingWindow::new(bounds.retry_window),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            unreported: RetryUse::default(),
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.add(now, 1.0);
        self.unreported.requests += 1;
    }

    /// Takes one retry if the budget allows it. `vms` is the number of VMs that may be sending.
    pub fn try_take(&mut self, now: Millis, vms: usize) -> RetryGrant {
        let grant = self.grant(now, vms);
        match grant {
            RetryGrant::Proportional => self.unreported.proportional += 1,
            RetryGrant::Fixed => self.unreported.fixed += 1,
            RetryGrant::Denied => self.unreported.denied += 1,
        }
        grant
    }

    fn grant(&mut self, now: Millis, vms: usize) -> RetryGrant {
        let own_slack = self.slack / vms.max(1) as f64;
        let proportional = USED_FRACTION * self.ratio * self.requests.total(now);
        let used = self.retries.total(now) + 1.0;
        if used > proportional + USED_FRACTION * own_slack {
            return RetryGrant::Denied;
        }
        self.retries.add(now, 1.0);
        match used <= proportional {
            true => RetryGrant::Proportional,
            false => RetryGrant::Fixed,
        }
    }

    /// Returns the use since the previous call.
    pub fn take_use(&mut self) -> RetryUse {
        std::mem::take(&mut self.unreported)
    }
}

//! Retry budget of a service, shared by all VMs.
//!
//! A retry is load that the callers did not ask for. If many backend servers fail at once,
//! unlimited retries bring down the remaining ones. The budget needs no coordination: each request
//! deposits part of a retry at the VM that sends it, and a retry is paid from the deposits of its own
//! VM. A deposit expires, is spent once, and ends with its process, so the bound on the sum over all
//! VMs holds wherever callers move and whichever VMs start.
//!
//! The retries of a window are paid by requests of that window and of at most one window before it. A
//! deposit of half the allowed ratio therefore keeps them within the ratio of the requests in one
//! window or in the other, whichever has more.
//!
//! The fixed part of the budget is divided by the number of VMs that may exist, so the sum stays below
//! the bound no matter which of them are in contact.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

use crate::settings::Bounds;
use crate::window::SlidingWindow;

/// Fraction of the allowed ratio that a request deposits.
const DEPOSITED_FRACTION: f64 = 0.5;
/// Fraction of the window that is left for the time between a request's start and its deposit, and
/// between the grant of a retry and its arrival.
const TRANSIT_FRACTION: f64 = 0.2;
/// Number of buckets by which the age of deposits is known.
const BUCKETS: u64 = 20;

/// Whether a retry may be made, and which part of the budget pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryGrant {
    /// The deposits of requests.
    Proportional,
    /// The fixed part, at least partly.
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
    /// Retries paid by deposits of requests.
    pub proportional: u64,
    /// Retries paid by the fixed part, at least partly.
    pub fixed: u64,
    /// Retries denied.
    pub denied: u64,
}

/// One VM's share of a service's retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    deposits: Deposits,
    fixed_used: SlidingWindow,
    fixed_from: Millis,
    slack: f64,
    unreported: RetryUse,
}

impl RetryBudget {
    /// Creates a budget under `bounds` for a run of the daemon that started at `started`.
    ///
    /// The fixed part is not available at first, since the previous run of this VM may have used it.
    pub fn new(bounds: &Bounds, started: Millis) -> Self {
        let window = bounds.retry_window.0 as f64;
        let fixed_window = Millis((window * (1.0 + TRANSIT_FRACTION)) as u64);
        Self {
            deposits: Deposits {
                per_retry: 1.0 / (bounds.retry_ratio * DEPOSITED_FRACTION),
                lifetime: Millis((window * (1.0 - TRANSIT_FRACTION)) as u64),
                buckets: VecDeque::new(),
            },
            fixed_used: SlidingWindow::new(fixed_window),
            fixed_from: started + fixed_window,
            slack: bounds.retry_slack,
            unreported: RetryUse::default(),
        }
    }

    /// Counts a request for the service. Each request is counted by one VM, which may spend its
    /// deposit.
    pub fn record_request(&mut self, now: Millis) {
        self.deposits.add(now);
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
        let paid = self.deposits.total(now) / self.deposits.per_retry;
        if paid >= 1.0 {
            self.deposits.spend_retry();
            return RetryGrant::Proportional;
        }
        let own_slack = self.slack / vms.max(1) as f64;
        let missing = 1.0 - paid;
        if now < self.fixed_from || self.fixed_used.total(now) + missing > own_slack {
            return RetryGrant::Denied;
        }
        self.deposits.buckets.clear();
        self.fixed_used.add(now, missing);
        RetryGrant::Fixed
    }

    /// Returns the use since the previous call.
    pub fn take_use(&mut self) -> RetryUse {
        std::mem::take(&mut self.unreported)
    }
}

/// Deposits of requests, oldest first, in buckets by their age.
#[derive(Debug)]
struct Deposits {
    /// Number of requests whose deposits pay for one retry.
    per_retry: f64,
    lifetime: Millis,
    /// Start of each bucket, and the number of requests whose deposits are left.
    buckets: VecDeque<(Millis, f64)>,
}

impl Deposits {
    fn add(&mut self, now: Millis) {
        self.expire(now);
        let width = (self.lifetime.0 / BUCKETS).max(1);
        match self.buckets.back_mut() {
            Some((start, left)) if now.since(*start).0 < width => *left += 1.0,
            _ => self.buckets.push_back((now, 1.0)),
        }
    }

    fn total(&mut self, now: Millis) -> f64 {
        self.expire(now);
        self.buckets.iter().map(|(_, left)| left).sum()
    }

    /// Takes the deposits that pay for one retry, first those that expire first.
    fn spend_retry(&mut self) {
        let mut due = self.per_retry;
        while due > 0.0
            && let Some((_, left)) = self.buckets.front_mut()
        {
            let taken = left.min(due);
            *left -= taken;
            due -= taken;
            if *left <= 0.0 {
                self.buckets.pop_front();
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((start, _)) = self.buckets.front()
            && now.since(*start) > self.lifetime
        {
            self.buckets.pop_front();
        }
    }
}

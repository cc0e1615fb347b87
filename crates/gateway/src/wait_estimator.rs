//! Estimates queueing delays from how long requests of a service hold their slots.

use std::cell::RefCell;
use std::collections::HashMap;

use heatherknot_types::prelude::*;

/// Weight of a new sample in the exponentially weighted moving average.
const SMOOTHING: f64 = 0.1;

/// The average time in progress of the requests of every service.
#[derive(Debug, Default)]
pub(crate) struct WaitEstimator {
    smoothed_ms: RefCell<HashMap<ServiceName, f64>>,
}

impl WaitEstimator {
    /// Records that a request of `service` was in progress for `span`.
    pub(crate) fn record(&self, service: &ServiceName, span: Millis) {
        let span = span.0 as f64;
        let mut smoothed = self.smoothed_ms.borrow_mut();
        match smoothed.get_mut(service) {
            Some(smoothed) => *smoothed += (span - *smoothed) * SMOOTHING,
            None => {
                smoothed.insert(service.clone(), span);
            }
        }
    }

    /// Returns the expected wait behind `ahead` requests for one of `slots` slots, or zero if no
    /// request has been recorded or there are no slots.
    pub(crate) fn estimate_wait(
        &self,
        service: &ServiceName,
        ahead: usize,
        slots: usize,
    ) -> Millis {
        let smoothed = self.smoothed_ms.borrow().get(service).copied();
        match (smoothed, slots) {
            (None, _) | (_, 0) => Millis::default(),
            (Some(smoothed), slots) => {
                Millis((smoothed * (ahead + 1) as f64 / slots as f64) as u64)
            }
        }
    }
}

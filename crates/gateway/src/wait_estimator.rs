//! How long requests of a service usually hold their slots, to tell how long a queue takes.

use std::cell::RefCell;
use std::collections::HashMap;

use heatherknot_types::prelude::*;

/// How much of a new span goes into the smoothed one.
const SMOOTHING: f64 = 0.1;

/// The usual spans of every service.
#[derive(Debug, Default)]
pub(crate) struct WaitEstimator {
    smoothed_ms: RefCell<HashMap<ServiceName, f64>>,
}

impl WaitEstimator {
    /// Notes that a request of `service` was in progress for `span`.
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

    /// Gives the likely wait behind `ahead` requests for one of `slots`, or zero where nothing is
    /// known.
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

//! The retry budget of one service at one place.

use heatherknot_types::prelude::*;

/// Time in which the counts decay by half, in seconds.
const HALF_LIFE_SECS: f64 = 10.0;

/// Retries allowed regardless of the budget, so that a service with little traffic can retry.
const FREE_RETRIES: f64 = 1.0;

/// Decaying counts of first tries and retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    tries: f64,
    retries: f64,
    last: Millis,
    overloaded_until: Millis,
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_first_try(&mut self, now: Millis) {
        self.decay(now);
        self.tries += 1.0;
    }

    /// Takes a retry from the budget and returns whether one was available. Retries are limited to
    /// `permille` thousandths of the first tries. None is available while the place is overloaded,
    /// since each would only delay a first try.
    pub fn take(&mut self, permille: u16, now: Millis) -> bool {
        self.decay(now);
        let budget = self.tries * f64::from(permille) / 1_000.0 + FREE_RETRIES;
        if permille == 0 || now < self.overloaded_until || self.retries + 1.0 > budget {
            return false;
        }
        self.retries += 1.0;
        true
    }

    /// Blocks retries until `until`, after the place refused or shed a request for lack of
    /// capacity.
    pub fn set_overloaded(&mut self, until: Millis) {
        self.overloaded_until = self.overloaded_until.max(until);
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.last).as_secs_f64();
        self.last = now;
        let keep = 0.5_f64.powf(span / HALF_LIFE_SECS);
        self.tries *= keep;
        self.retries *= keep;
    }
}

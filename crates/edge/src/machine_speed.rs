//! Speed of the machine that a backend server shares with others, as the server states it.

use std::cell::Cell;

use heatherknot_types::prelude::*;

use crate::ewma::decay;

/// Time after which a stated speed counts half. What else runs on a machine changes several times
/// per second.
const HALF_LIFE: Millis = Millis(400);
/// Range of factors that are believed. Work that a machine delays by more has in effect stopped.
const FACTOR_RANGE: (f64, f64) = (0.25, 10.0);
/// Position of the speed among the comma-separated figures of a load header, after the requests
/// running, the requests waiting and the slots.
const SPEED_FIELD: usize = 3;

/// Parses the speed in a load header: how long work takes on the machine, as a multiple of the usual
/// time. The header states it in percent. Returns `None` if the server states none.
pub fn parse_factor(text: &str) -> Option<f64> {
    let percent: f64 = text.split(',').nth(SPEED_FIELD)?.trim().parse().ok()?;
    (percent.is_finite() && percent > 0.0)
        .then(|| (percent / 100.0).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
}

/// The latest stated speed of one machine.
#[derive(Debug)]
pub struct MachineSpeed {
    factor: Cell<f64>,
    stated_at: Cell<Millis>,
}

impl Default for MachineSpeed {
    fn default() -> Self {
        Self {
            factor: Cell::new(1.0),
            stated_at: Cell::new(Millis(0)),
        }
    }
}

impl MachineSpeed {
    /// Records a stated factor.
    pub fn record(&self, factor: f64, now: Millis) {
        self.factor.set(factor);
        self.stated_at.set(now);
    }

    /// Returns how long work is expected to take on the machine, as a multiple of the usual time.
    pub fn factor(&self, now: Millis) -> f64 {
        let age = now.since(self.stated_at.get());
        1.0 + (self.factor.get() - 1.0) * decay(age, HALF_LIFE)
    }

    /// Returns the factor as stated, without regard to its age.
    pub fn last_stated(&self) -> f64 {
        self.factor.get()
    }
}

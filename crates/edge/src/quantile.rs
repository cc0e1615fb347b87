//! Streaming estimate of a quantile.

use std::cell::Cell;

/// Maximum change by one sample, relative to the current value.
const STEP: f64 = 0.1;

/// Estimates a quantile in constant memory. Each sample below the estimate lowers it a little and
/// each one above raises it, in the ratio that keeps the fraction `level` of the samples below.
/// Older samples lose their influence.
#[derive(Debug)]
pub struct Quantile {
    level: f64,
    value: Cell<Option<f64>>,
}

impl Quantile {
    /// Creates an estimate of the quantile at `level`, from 0 to 1.
    pub fn new(level: f64) -> Self {
        Self {
            level,
            value: Cell::new(None),
        }
    }

    /// Adds a sample.
    pub fn add(&self, sample: f64) {
        let next = match self.value.get() {
            None => sample,
            Some(value) if sample < value => {
                (value * (1.0 - STEP * (1.0 - self.level))).max(sample)
            }
            Some(value) => (value * (1.0 + STEP * self.level)).min(sample),
        };
        self.value.set(Some(next));
    }

    /// Returns the estimate, or `None` without samples.
    pub fn get(&self) -> Option<f64> {
        self.value.get()
    }
}

//! Exponentially weighted moving averages.

use std::cell::Cell;

use heatherknot_types::prelude::*;

/// An exponentially weighted moving average.
#[derive(Debug, Default)]
pub struct Ewma {
    value: Cell<Option<f64>>,
}

impl Ewma {
    /// Adds a sample with a weight from 0 to 1.
    pub fn add(&self, sample: f64, weight: f64) {
        let next = match self.value.get() {
            Some(value) => value + weight * (sample - value),
            None => sample,
        };
        self.value.set(Some(next));
    }

    /// Returns the average, or `None` without samples.
    pub fn get(&self) -> Option<f64> {
        self.value.get()
    }

    /// Discards all samples.
    pub fn clear(&self) {
        self.value.set(None);
    }
}

/// Returns the weight of an observation of age `age`, decaying from 1 to 0.
pub fn decay(age: Millis, half_life: Millis) -> f64 {
    0.5_f64.powf(age.0 as f64 / half_life.0 as f64)
}

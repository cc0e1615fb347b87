//! Averages that follow what was seen lately.

use std::cell::Cell;

use heatherknot_types::prelude::*;

/// An average in which each sample counts for a fixed part and older ones for ever less.
#[derive(Debug, Default)]
pub struct Ewma {
    value: Cell<Option<f64>>,
}

impl Ewma {
    /// Takes in a sample that counts for `part`, from 0 to 1.
    pub fn add(&self, sample: f64, weight: f64) {
        let next = match self.value.get() {
            Some(value) => value + weight * (sample - value),
            None => sample,
        };
        self.value.set(Some(next));
    }

    /// Gives the average, where there was a sample.
    pub fn get(&self) -> Option<f64> {
        self.value.get()
    }

    /// Forgets every sample.
    pub fn clear(&self) {
        self.value.set(None);
    }
}

/// Gives what is left of something seen `age` ago, from one to zero.
pub fn decay(age: Millis, half_life: Millis) -> f64 {
    0.5_f64.powf(age.0 as f64 / half_life.0 as f64)
}

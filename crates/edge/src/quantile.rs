//! A quantile that follows what was seen lately.

use std::cell::Cell;

/// How far one sample moves the quantile, as a part of its value.
const STEP: f64 = 0.1;

/// A quantile of the samples, in constant memory: each sample below it moves it down a
/// little, each one above it up, in the ratio that keeps `part` of them below.
#[derive(Debug)]
pub struct Quantile {
    level: f64,
    value: Cell<Option<f64>>,
}

impl Quantile {
    /// Makes the quantile below which `part` of the samples lie, from 0 to 1.
    pub fn new(level: f64) -> Self {
        Self {
            level,
            value: Cell::new(None),
        }
    }

    /// Takes in a sample.
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

    /// Gives the quantile, where there was a sample.
    pub fn get(&self) -> Option<f64> {
        self.value.get()
    }
}

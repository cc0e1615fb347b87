//! Measures smoothed event rates and their recent peaks.

use heatherknot_types::prelude::*;

/// The rate of an event, smoothed over about two seconds, and its decaying peak.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    counted: u32,
    last: Millis,
    rate: f64,
    peak: f64,
    started: bool,
}

/// Time constant of the smoothing, in seconds.
const SMOOTHING_SECS: f64 = 2.0;

impl RateMeter {
    /// Counts `n` events.
    pub fn add(&mut self, n: u32) {
        self.counted = self.counted.saturating_add(n);
    }

    /// Updates the rate to `now`. The peak decays to 1/e within `memory`.
    pub fn tick(&mut self, now: Millis, memory: Millis) {
        if !self.started {
            self.started = true;
            self.last = now;
            return;
        }
        let span = now.since(self.last).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        self.last = now;
        let seen = f64::from(self.counted) / span;
        self.counted = 0;
        let keep = (-span / SMOOTHING_SECS).exp();
        self.rate = self.rate * keep + seen * (1.0 - keep);
        let decayed = self.peak * (-span / memory.as_secs_f64().max(0.001)).exp();
        self.peak = decayed.max(self.rate);
    }

    /// Returns the smoothed rate in events per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the decaying peak of the smoothed rate in events per second.
    pub fn peak(&self) -> f64 {
        self.peak
    }
}

//! Counts over a sliding span of time.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

/// The parts that a window is cut into; the count is exact to one of them.
const BUCKETS: u64 = 20;

/// Counts events of the last `span`, never fewer than there were.
#[derive(Debug)]
pub struct SlidingWindow {
    span: Millis,
    buckets: VecDeque<(u64, f64)>,
    total: f64,
}

impl SlidingWindow {
    /// Makes a window of `span`.
    pub fn new(span: Millis) -> Self {
        Self {
            span,
            buckets: VecDeque::new(),
            total: 0.0,
        }
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.expire(now);
        let bucket = now.0 / self.width();
        match self.buckets.back_mut() {
            Some((number, sum)) if *number == bucket => *sum += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
        self.total += amount;
    }

    /// Gives the amount of the last span.
    pub fn total(&mut self, now: Millis) -> f64 {
        self.expire(now);
        self.total
    }

    fn width(&self) -> u64 {
        (self.span.0 / BUCKETS).max(1)
    }

    fn expire(&mut self, now: Millis) {
        let oldest = (now.0 / self.width()).saturating_sub(BUCKETS);
        while let Some(&(number, sum)) = self.buckets.front()
            && number < oldest
        {
            self.total -= sum;
            self.buckets.pop_front();
        }
        if self.buckets.is_empty() {
            self.total = 0.0;
        }
    }
}

//! Counting over a sliding time window.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

/// Number of buckets per window. The total is exact to one bucket.
const BUCKETS: u64 = 20;

/// Sums amounts over the last `span`. The sum may include up to one bucket more, but never less.
#[derive(Debug)]
pub struct SlidingWindow {
    span: Millis,
    buckets: VecDeque<(u64, f64)>,
    total: f64,
}

impl SlidingWindow {
    /// Creates a window of length `span`.
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

    /// Returns the sum over the last span.
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

//! The objects that many requests are for.

use std::collections::HashMap;

/// Number of counters. Every object with a larger part of the requests than one in this many is
/// found.
const COUNTERS: usize = 64;
/// Requests for an object below which it does not count as popular.
const MIN_REQUESTS: u64 = 4;
/// Part of all requests from which an object counts as popular.
const MIN_SHARE: f64 = 0.05;

/// Finds popular objects in bounded memory, with the algorithm of Misra and Gries.
#[derive(Clone, Debug, Default)]
pub struct PopularObjects {
    requests: u64,
    counters: HashMap<u64, u64>,
}

impl PopularObjects {
    /// Counts a request for an object, given by its hash.
    pub fn record(&mut self, object: u64) {
        self.requests += 1;
        if let Some(count) = self.counters.get_mut(&object) {
            *count += 1;
        } else if self.counters.len() < COUNTERS {
            self.counters.insert(object, 1);
        } else {
            self.counters.retain(|_, count| {
                *count -= 1;
                *count > 0
            });
        }
    }

    /// Returns whether an object is popular.
    pub fn contains(&self, object: u64) -> bool {
        let count = self.counters.get(&object).copied().unwrap_or(0);
        count >= MIN_REQUESTS && count as f64 >= MIN_SHARE * self.requests as f64
    }
}

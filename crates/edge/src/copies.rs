//! How many further copies of objects may be made.
//!
//! A server that holds too many objects by chance is relieved by a second copy of one of them
//! elsewhere, which costs its work without a kept object once. Made without bound, copies push
//! each other out of the servers' memories, and all work is done afresh.

use std::cell::Cell;

/// Copies for each request. One request in twenty without a kept object costs less than a
/// sixth of the servers' time, at three to four times the work.
const PER_REQUEST: f64 = 0.05;
/// Copies that may be made at once after a quiet time.
const MOST: f64 = 3.0;

/// One VM's allowance of further copies for a service.
#[derive(Debug, Default)]
pub struct Copies {
    left: Cell<f64>,
}

impl Copies {
    /// Counts a request.
    pub fn request(&self) {
        self.left.set((self.left.get() + PER_REQUEST).min(MOST));
    }

    /// Says whether a copy may be made.
    pub fn may(&self) -> bool {
        self.left.get() >= 1.0
    }

    /// Takes a copy from the allowance.
    pub fn made(&self) {
        self.left.set((self.left.get() - 1.0).max(0.0));
    }
}

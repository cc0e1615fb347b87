//! Moments in the past that several VMs learn of at different times.

use heatherknot_types::prelude::*;

/// A moment in the past, known by its age.
///
/// It is stored as an age instead of a time, because the clock of a process that has started since
/// does not reach back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastMoment {
    noted_at: Millis,
    /// Its age at `noted_at`.
    age_then: Millis,
}

impl PastMoment {
    /// Creates a moment that is `now`.
    pub fn new(now: Millis) -> Self {
        Self::with_age(Millis(0), now)
    }

    /// Creates a moment whose age is `age` at `now`.
    pub fn with_age(age: Millis, now: Millis) -> Self {
        Self {
            noted_at: now,
            age_then: age,
        }
    }

    /// Returns the age at `now`.
    pub fn age(self, now: Millis) -> Millis {
        self.age_then + now.since(self.noted_at)
    }

    /// Applies the age that a peer knows. Whoever has learned of the moment first knows the greatest
    /// age.
    pub fn learn(&mut self, age: Millis, now: Millis) {
        if age > self.age(now) {
            *self = Self {
                noted_at: now,
                age_then: age,
            };
        }
    }
}

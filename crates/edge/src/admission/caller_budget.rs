//! Tells callers that return after a refusal from new ones by the time that they have left.
//!
//! A caller that was refused waits for the time it was told, up to a third of the time it has, and
//! returns with the rest. Neither identifiers nor connections connect its two attempts.

use std::cell::Cell;

use heatherknot_types::prelude::*;

/// Fraction of the longest time budget of a route's callers below which a request counts as a
/// return. Callers that wait for as long as they are asked to have two thirds left.
const RETURN_FRACTION: f64 = 0.75;
/// Half of the span over which the longest time budget is determined.
const HALF_SPAN: Millis = Millis(5_000);

/// The longest time budget of a route's callers within the last five to ten seconds.
#[derive(Debug, Default)]
pub struct CallerBudget {
    since: Cell<Millis>,
    previous: Cell<Millis>,
    current: Cell<Millis>,
}

impl CallerBudget {
    /// Records the time that a caller has left. Returns whether the caller has probably been refused
    /// before.
    pub fn record(&self, left: Millis, now: Millis) -> bool {
        let age = now.since(self.since.get());
        if age >= HALF_SPAN {
            let is_recent = age < Millis(2 * HALF_SPAN.0);
            self.previous.set(match is_recent {
                true => self.current.get(),
                false => Millis(0),
            });
            self.current.set(Millis(0));
            self.since.set(now);
        }
        self.current.set(self.current.get().max(left));
        let longest = self.previous.get().max(self.current.get());
        (left.0 as f64) < longest.0 as f64 * RETURN_FRACTION
    }
}

//! Spreads the retries of callers whose requests were refused because of request limits.

use heatherknot_types::prelude::*;

/// Assigns each refused caller a time to retry.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    last: Millis,
}

impl ReturnSchedule {
    /// Returns the delay after which the next caller may retry: at least `earliest`, and
    /// `interval_ms` milliseconds after the caller before it. A caller can't wait for longer than
    /// `longest`; those without a time until then are spread over its second half by `draw`, which
    /// is uniformly distributed between 0 and 1.
    pub fn next(
        &mut self,
        earliest: Millis,
        longest: Millis,
        interval_ms: f64,
        draw: f64,
        now: Millis,
    ) -> Millis {
        let interval = Millis(interval_ms.min(longest.0 as f64) as u64);
        let slot = (self.last + interval).max(now + earliest);
        if slot <= now + longest {
            self.last = slot;
            return slot.since(now);
        }
        Millis((longest.0 as f64 * (0.5 + 0.5 * draw)) as u64)
    }
}

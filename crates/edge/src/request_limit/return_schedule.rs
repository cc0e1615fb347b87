//! Spreads the retries of callers whose requests were refused because of request limits.

use heatherknot_types::prelude::*;

/// Fraction of the longest wait from which on callers are spread that get no time of their own.
const SPREAD_FROM: f64 = 0.5;

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
        without_reservation(longest, SPREAD_FROM, draw)
    }
}

/// Returns the first time from `from` on that is at least `gap` away from each time in `taken`,
/// which are in ascending order.
pub fn first_gap(taken: impl Iterator<Item = Millis>, from: Millis, gap: Millis) -> Millis {
    let mut time = from;
    for taken in taken {
        if time + gap <= taken {
            break;
        }
        time = time.max(taken + gap);
    }
    time
}

/// Returns the delay of a caller for which no time is free until `longest`. Those callers are spread
/// by `draw` from the fraction `from` of it on.
pub fn without_reservation(longest: Millis, from: f64, draw: f64) -> Millis {
    Millis((longest.0 as f64 * (from + (1.0 - from) * draw)) as u64)
}

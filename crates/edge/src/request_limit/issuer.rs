//! Issues the permits for requests to one limited backend server.

use heatherknot_types::prelude::*;

use crate::window::SlidingWindow;

/// Lowest rate at which permits are issued, in requests per second. A server with a lower limit
/// still gets a request now and then, or nobody would learn that the limit was raised.
pub const MIN_PERMITS_PER_SECOND: f64 = 0.25;
/// Time for which unused permits accumulate, in seconds.
const BURST_S: f64 = 0.5;
/// Time for which a VM that takes over issues no permits. Another VM may have issued some until now.
const TAKEOVER_DELAY: Millis = Millis(500);
/// Part of the remaining permits that a VM gets in advance along with one. While the limit is used
/// up, hardly any remain.
const ADVANCE_FRACTION: f64 = 0.25;
/// Time for which a VM may use the permits that it got in advance.
pub const ADVANCE_LIFETIME: Millis = Millis(1_000);
/// Longest wait that a VM without a permit is told. It bounds how long a VM doesn't notice that the
/// server takes more again.
const MAX_WAIT: Millis = Millis(1_000);
/// Window over which sends and permits are counted for operators.
pub const COUNT_WINDOW: Millis = Millis(4_000);

/// A token bucket of permits.
#[derive(Debug)]
pub struct PermitIssuer {
    /// Permits that may be issued now.
    level: f64,
    refilled_at: Millis,
    /// When the next VM that gets no permit is told to ask again.
    next_wait_until: Millis,
    issued: SlidingWindow,
}

impl PermitIssuer {
    /// Creates the issuer of a limit that was just stated. It has as many permits as can accumulate.
    pub fn of_new_limit(now: Millis) -> Self {
        Self {
            // Limited by the next call.
            level: f64::INFINITY,
            refilled_at: now,
            next_wait_until: now,
            issued: SlidingWindow::new(COUNT_WINDOW),
        }
    }

    /// Creates the issuer of a limit that another VM issued permits for. It has none at first.
    pub fn of_known_limit(now: Millis) -> Self {
        Self {
            level: 0.0,
            refilled_at: now + TAKEOVER_DELAY,
            ..Self::of_new_limit(now)
        }
    }

    /// Issues a permit for a request to a server with the limit `per_second`; returns how many more
    /// the VM may use within [`ADVANCE_LIFETIME`]. `share` is the part of the limit that this VM may
    /// issue.
    ///
    /// # Errors
    ///
    /// Returns the time after which the VM may ask again if there is no permit.
    pub fn issue(&mut self, per_second: f64, share: f64, now: Millis) -> Result<u32, Millis> {
        let rate = permits_per_second(per_second) * share;
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        self.level = (self.level + gained).min((rate * BURST_S).max(1.0));
        self.refilled_at = self.refilled_at.max(now);
        if self.level >= 1.0 {
            let advance = ((self.level - 1.0) * ADVANCE_FRACTION).floor();
            self.level -= 1.0 + advance;
            self.issued.add(now, 1.0 + advance);
            return Ok(advance as u32);
        }
        Err(self.next_wait(rate, now))
    }

    /// Assigns each VM without a permit the time of another one, so that they don't return
    /// together.
    fn next_wait(&mut self, rate: f64, now: Millis) -> Millis {
        let until = |permits: f64| {
            let millis = permits / rate * 1000.0;
            Millis(millis.min(MAX_WAIT.0 as f64) as u64)
        };
        let next_permit_at = self.refilled_at.max(now) + until(1.0 - self.level);
        let wait_until = self.next_wait_until.max(next_permit_at);
        let wait = wait_until.since(now).min(MAX_WAIT);
        self.next_wait_until = now + wait + until(1.0);
        wait
    }

    /// Returns the number of permits issued in the last [`COUNT_WINDOW`].
    pub fn recently_issued(&mut self, now: Millis) -> u32 {
        self.issued.total(now) as u32
    }
}

/// Returns the rate at which permits are issued for a server with the limit `per_second`.
pub fn permits_per_second(per_second: f64) -> f64 {
    per_second.max(MIN_PERMITS_PER_SECOND)
}

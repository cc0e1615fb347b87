//! Issues the permits for requests to one limited backend server.

use heatherknot_types::prelude::*;

use crate::window::SlidingWindow;

/// Lowest rate at which permits are issued, in requests per second. A server with a lower limit
/// still gets a request now and then, or nobody would learn that the limit was raised.
pub const MIN_PERMITS_PER_SECOND: f64 = 0.25;
/// Time for which unused permits accumulate, in seconds.
const BURST_S: f64 = 0.5;
/// Time for which a new issuer issues no permits, in seconds. Another VM may have issued some until
/// now.
const START_DELAY_S: f64 = 0.5;
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
    /// Creates an issuer that has no permits at first.
    pub fn new(now: Millis) -> Self {
        Self {
            level: 0.0,
            refilled_at: now + Millis((START_DELAY_S * 1000.0) as u64),
            next_wait_until: now,
            issued: SlidingWindow::new(COUNT_WINDOW),
        }
    }

    /// Issues a permit for a request to a server with the limit `per_second`. `share` is the part
    /// of the limit that this VM may issue.
    ///
    /// # Errors
    ///
    /// Returns the time after which the VM may ask again if there is no permit.
    pub fn issue(&mut self, per_second: f64, share: f64, now: Millis) -> Result<(), Millis> {
        let rate = permits_per_second(per_second) * share;
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        self.level = (self.level + gained).min((rate * BURST_S).max(1.0));
        self.refilled_at = self.refilled_at.max(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            self.issued.add(now, 1.0);
            return Ok(());
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

//! Rate limit for log lines of one kind.

use heatherknot_types::prelude::*;

/// Lines of one kind that are logged a second, and in a burst. A line takes about 20 us of a core,
/// and fifty VMs that each log ten refusals a second are enough to see whose they are.
const LINES_PER_SECOND: f64 = 10.0;

/// Token bucket for log lines.
#[derive(Debug)]
pub struct LogRateLimit {
    tokens: f64,
    refilled_at: Millis,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self {
            tokens: LINES_PER_SECOND,
            refilled_at: Millis(0),
        }
    }
}

impl LogRateLimit {
    /// Returns whether one more line may be logged, and counts it if so.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let gained = now.since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + gained).min(LINES_PER_SECOND);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

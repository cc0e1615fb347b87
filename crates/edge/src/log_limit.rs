//! Rate limit for log lines of one kind.

use heatherknot_types::prelude::*;

/// Lines of one kind that are logged a second, and in a burst. A line takes about 20 us of a core,
/// and fifty VMs that each log ten refusals a second are enough to see whose they are.
const LINES_PER_SECOND: f64 = 10.0;

/// Token bucket for log lines.
#[derive(Debug)]
pub struct LogRateLimit {
    left: f64,
    filled: Millis,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self {
            left: LINES_PER_SECOND,
            filled: Millis(0),
        }
    }
}

impl LogRateLimit {
    /// Returns whether one more line may be logged, and counts it if so.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * LINES_PER_SECOND;
        self.left = (self.left + gained).min(LINES_PER_SECOND);
        self.filled = now;
        let may = self.left >= 1.0;
        if may {
            self.left -= 1.0;
        }
        may
    }
}

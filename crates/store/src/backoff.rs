//! Exponential backoff with jitter for calls to the platform.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Exponential backoff. Each delay is drawn at random from the upper half of its range, so that
/// daemons that failed at the same time do not retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The upper bound of the delay after the first failure; it doubles with each further one.
    pub initial: Duration,
    /// The maximum delay.
    pub max: Duration,
    rng: Rc<RefCell<fastrand::Rng>>,
}

impl Backoff {
    /// Creates a backoff that draws its jitter from `rng`.
    pub fn new(initial: Duration, max: Duration, rng: fastrand::Rng) -> Self {
        Self {
            initial,
            max,
            rng: Rc::new(RefCell::new(rng)),
        }
    }

    /// Returns the delay after `failures` consecutive failures, at least one.
    pub fn delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(20);
        let full = self.initial.saturating_mul(1 << doublings).min(self.max);
        let half = full / 2;
        half + half.mul_f64(self.rng.borrow_mut().f64())
    }

    /// Sleeps for [`delay`](Self::delay).
    pub async fn pause(&self, failures: u32) {
        monoio::time::sleep(self.delay(failures)).await;
    }
}

impl Default for Backoff {
    /// Delays from 50 ms up to 5 s, with a generator seeded from the operating system.
    fn default() -> Self {
        let (initial, max) = (Duration::from_millis(50), Duration::from_secs(5));
        Self::new(initial, max, fastrand::Rng::new())
    }
}

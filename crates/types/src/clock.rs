//! Time as the decision functions see it: whole milliseconds that never go back.

use std::fmt;
use std::ops::{Add, Sub};
use std::rc::Rc;

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, or a span of it, in milliseconds.
///
/// Two processes never compare points: a message carries an age or a remaining span.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Gives the span from `earlier` to `self`, or zero where `earlier` is the later one.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Gives the value in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, span: Millis) -> Millis {
        Millis(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (time.tv_sec as u64, time.tv_nsec as u64);
    Millis(secs * 1_000 + nanos / 1_000_000)
}

/// The source of monotonic time, given to whatever needs it so that tests and replays
/// can set it.
#[derive(Clone)]
pub struct Clock {
    read: Rc<dyn Fn() -> Millis>,
}

impl Clock {
    /// Makes a clock from a function that returns the current time.
    pub fn new(read: impl Fn() -> Millis + 'static) -> Self {
        Self {
            read: Rc::new(read),
        }
    }

    /// Makes a clock that counts from now by the operating system's clock since the boot.
    ///
    /// The plain monotonic clock stands still while a VM is suspended. A daemon that woke up
    /// would then go on using grants and claims whose time had passed for everybody else;
    /// this clock counts the suspension, so they have expired when it wakes.
    pub fn system() -> Self {
        let start = since_boot();
        Self::new(move || since_boot().since(start))
    }

    /// Gives the current time.
    pub fn now(&self) -> Millis {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Clock({})", self.now())
    }
}

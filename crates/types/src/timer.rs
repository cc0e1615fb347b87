//! The port for time: a monotonic clock and a sleep that follows it.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, LocalBoxFuture, select};

use crate::clock::{Clock, Millis};

/// Reads the time and waits for it to pass; tests give one that they advance themselves.
#[derive(Clone)]
pub struct Timer {
    /// The monotonic clock.
    pub clock: Clock,
    /// Waits for a span of that clock.
    pub sleep: Rc<dyn Fn(Millis) -> LocalBoxFuture<'static, ()>>,
}

impl Timer {
    /// Makes a timer on the operating system's clock.
    ///
    /// # Panics
    ///
    /// The sleep panics outside a `monoio` runtime whose timer is enabled.
    pub fn system() -> Self {
        Self {
            clock: Clock::system(),
            sleep: Rc::new(|span| Box::pin(monoio::time::sleep(Duration::from_millis(span.0)))),
        }
    }

    /// Gives the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Waits for `span`.
    pub fn wait(&self, span: Millis) -> LocalBoxFuture<'static, ()> {
        (self.sleep)(span)
    }

    /// Runs `work` for at most `span`, and gives `None` where that did not suffice.
    pub async fn limit<T>(&self, span: Millis, work: impl Future<Output = T>) -> Option<T> {
        let work = std::pin::pin!(work);
        match select(work, self.wait(span)).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }
}

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer").finish_non_exhaustive()
    }
}

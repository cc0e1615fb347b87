//! A clock that a test advances manually, or the system clock for measurements.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use heatherknot_http::Flag;
use heatherknot_types::prelude::*;

#[derive(Clone, Default)]
pub struct ManualTime {
    system: Option<Clock>,
    now: Rc<Cell<u64>>,
    sleepers: Rc<RefCell<Vec<(Millis, Flag)>>>,
}

impl ManualTime {
    pub fn new() -> Self {
        let time = Self::default();
        time.now.set(1_000_000);
        time
    }

    /// Uses the system clock instead of a manual one.
    pub fn system() -> Self {
        Self {
            system: Some(Clock::system()),
            ..Self::default()
        }
    }

    pub fn clock(&self) -> Clock {
        if let Some(clock) = &self.system {
            return clock.clone();
        }
        let now = Rc::clone(&self.now);
        Clock::new(move || Millis(now.get()))
    }

    pub fn timer(&self) -> Timer {
        if self.system.is_some() {
            return Timer::system();
        }
        let time = self.clone();
        let sleep = move |span| -> LocalBoxFuture<'static, ()> {
            let flag = Flag::new();
            let end = Millis(time.now.get()) + span;
            time.sleepers.borrow_mut().push((end, flag.clone()));
            Box::pin(async move { flag.wait().await })
        };
        Timer {
            clock: self.clock(),
            sleep: Rc::new(sleep),
        }
    }

    /// Advances the clock by `span` and wakes the sleepers that are due.
    pub fn advance(&self, span: Millis) {
        let now = Millis(self.now.get()) + span;
        self.now.set(now.0);
        let mut sleepers = self.sleepers.borrow_mut();
        let due: Vec<Flag> = sleepers
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, flag)| flag)
            .collect();
        drop(sleepers);
        for flag in due {
            flag.fire();
        }
    }
}

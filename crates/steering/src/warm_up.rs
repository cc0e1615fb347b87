//! Limits how fast traffic to a service's backend servers at one place may grow, so that their
//! caches warm up.
//!
//! After a time without traffic the caches of a place are cold, and a sudden shift of traffic
//! makes every request slow. The allowed rate is the rate served one second earlier plus a step,
//! so it grows by at most that step per second. An unused warmed rate halves every minute.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

use crate::tuning::Tuning;
use crate::window::Window;

/// Warm-up state of one service at one place.
#[derive(Clone, Debug)]
pub struct WarmUp {
    warmed_rate: f64,
    served: Window,
    /// Requests served in the windows that ended at recent ticks, oldest first.
    recent: VecDeque<(Millis, u32)>,
    last: Millis,
}

impl WarmUp {
    /// Creates a cold state.
    pub fn new(tuning: &Tuning, now: Millis) -> Self {
        Self {
            warmed_rate: 0.0,
            served: Window::new(tuning.window, tuning.window_grain),
            recent: VecDeque::new(),
            last: now,
        }
    }

    /// Returns how many requests may start in a window, where `step` is the growth allowed per
    /// second. At least one, so that a cold place can warm up at all.
    pub fn limit(&self, step: f64) -> u32 {
        (self.warmed_rate + step).floor().max(1.0) as u32
    }

    /// Returns whether one more request may start.
    pub fn fits(&mut self, step: f64, now: Millis) -> bool {
        self.served.count(now) < self.limit(step)
    }

    /// Returns when one more request may start.
    pub fn free_at(&self, step: f64, now: Millis) -> Millis {
        self.served.free_at(self.limit(step), now)
    }

    /// Counts a started request.
    pub fn start(&mut self, now: Millis) {
        self.served.add(now);
    }

    /// Raises the warmed rate to what was served one window ago, or lets it decay.
    ///
    /// Guards against growth by more than one step per second: a warmed rate that rose with each
    /// served request would permit the next step at once.
    pub fn tick(&mut self, tuning: &Tuning, now: Millis) {
        let span = now.since(self.last).as_secs_f64();
        self.last = now;
        let served = self.served.count(now);
        self.recent.push_back((now, served));
        let half_lives = span / tuning.cooling_half_life.as_secs_f64();
        let cooled = self.warmed_rate * 0.5_f64.powf(half_lives);
        self.warmed_rate = cooled.max(f64::from(served).min(self.warmed_rate));
        while let Some(&(at, count)) = self.recent.front() {
            if at + tuning.window > now {
                break;
            }
            self.recent.pop_front();
            self.warmed_rate = self.warmed_rate.max(f64::from(count));
        }
    }

    /// Sets a warmed rate that is known from elsewhere, such as from another VM of the place.
    pub fn set_warmed_rate(&mut self, warmed_rate: f64) {
        self.warmed_rate = warmed_rate;
    }

    /// Returns the warmed rate in requests per second.
    pub fn warmed_rate(&self) -> f64 {
        self.warmed_rate
    }
}

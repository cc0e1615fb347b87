//! Counts events in a sliding window.

use std::collections::VecDeque;

use heatherknot_types::prelude::*;

/// Events of the last window, oldest first.
///
/// An event at `t` counts from `t` up to but not including `t + span`. A grain above 1 ms rounds
/// each event up to the end of its grain, which stores fewer entries but counts each event a
/// little longer, so the count may be too high but never too low.
#[derive(Clone, Debug)]
pub struct Window {
    span: Millis,
    grain: u64,
    events: VecDeque<(Millis, u32)>,
    sum: u32,
}

impl Window {
    /// Creates an empty window of length `span` with a resolution of `grain` (at least 1 ms).
    pub fn new(span: Millis, grain: Millis) -> Self {
        Self {
            span,
            grain: grain.0.max(1),
            events: VecDeque::new(),
            sum: 0,
        }
    }

    /// Counts one event at `now`.
    pub fn add(&mut self, now: Millis) {
        self.add_many(now, 1);
    }

    /// Counts `n` events at `now`.
    pub fn add_many(&mut self, now: Millis, n: u32) {
        let at = Millis(now.0.div_ceil(self.grain) * self.grain);
        self.sum += n;
        match self.events.back_mut() {
            Some((last, count)) if *last >= at => *count += n,
            _ => self.events.push_back((at, n)),
        }
    }

    /// Returns the number of events in the window at `now` and removes older ones.
    pub fn count(&mut self, now: Millis) -> u32 {
        while let Some(&(at, n)) = self.events.front() {
            if at + self.span > now {
                break;
            }
            self.events.pop_front();
            self.sum -= n;
        }
        self.sum
    }

    /// Returns the number of events in the window at `now` without removing older ones.
    pub fn peek(&self, now: Millis) -> u32 {
        let gone = self
            .events
            .iter()
            .take_while(|(at, _)| *at + self.span <= now);
        self.sum - gone.map(|(_, n)| n).sum::<u32>()
    }

    /// Returns the time at which fewer than `limit` events are in the window if none is added. A
    /// limit of zero is never met and returns the end of the window.
    pub fn free_at(&self, limit: u32, now: Millis) -> Millis {
        let mut left = self.peek(now);
        if left < limit {
            return now;
        }
        for &(at, n) in &self.events {
            if at + self.span <= now {
                continue;
            }
            left -= n;
            if left < limit {
                return at + self.span;
            }
        }
        now + self.span
    }
}

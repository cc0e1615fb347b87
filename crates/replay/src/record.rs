//! Recording of a running daemon's inputs and decisions as a trace.
//!
//! The lines of several daemons can be joined under one head: a replay puts them in order of
//! time. The recording counts requests and writes sums, so its size depends on the number of
//! services and places and not on the number of requests, and it stops at a limit.

use std::collections::BTreeMap;

use heatherknot_types::prelude::*;

use crate::trace::{Decision, Demand, Event, Head, Seen, StatedOutcome};
use crate::write;

/// How often demand and decisions are summed up.
pub const RECORD_INTERVAL: Millis = Millis(1000);
/// The least change of a rate that is written, in thousandths of the rate written before.
const RATE_CHANGE_PERMILLE: f64 = 100.0;

/// Which requests a rate counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Asked {
    /// The failure domain that the callers are nearest to.
    pub source: DomainName,
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: Class,
    /// Whether each request may run only once.
    pub at_most_once: bool,
}

/// Writes what one daemon sees and decides as the lines of a trace.
pub struct Recorder {
    vm: VmName,
    sink: Box<dyn FnMut(&str)>,
    left: usize,
    full: bool,
    began: Millis,
    summed: Millis,
    asked: BTreeMap<Asked, u32>,
    written: BTreeMap<Asked, f64>,
    decided: BTreeMap<ServiceName, Decision>,
}

impl Recorder {
    /// Begins a recording at `now` with its head. `sink` gets each line without its end; no
    /// more than `limit` bytes of lines are given to it.
    pub fn new(
        vm: VmName,
        head: &Head,
        limit: usize,
        now: Millis,
        sink: impl FnMut(&str) + 'static,
    ) -> Self {
        let mut recorder = Self {
            vm,
            sink: Box::new(sink),
            left: limit,
            full: false,
            began: now,
            summed: now,
            asked: BTreeMap::new(),
            written: BTreeMap::new(),
            decided: BTreeMap::new(),
        };
        recorder.write(&write::head_line(head));
        recorder
    }

    /// Tells whether the limit was reached; nothing is written any more.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Counts a request of a caller.
    pub fn asked(&mut self, asked: &Asked) {
        if self.full {
            return;
        }
        if let Some(count) = self.asked.get_mut(asked) {
            *count += 1;
        } else {
            self.asked.insert(asked.clone(), 1);
        }
    }

    /// Counts a decision: the place that a request was sent to, or none where it was refused.
    pub fn decided(&mut self, service: &ServiceName, place: Option<&PlaceName>) {
        if self.full {
            return;
        }
        if !self.decided.contains_key(service) {
            let none = Decision {
                service: service.clone(),
                sent: BTreeMap::new(),
                refused: 0,
            };
            self.decided.insert(service.clone(), none);
        }
        let decision = self.decided.get_mut(service).expect("inserted above");
        match place {
            Some(place) => *decision.sent.entry(place.clone()).or_default() += 1,
            None => decision.refused += 1,
        }
    }

    /// Writes something else that the daemon saw.
    pub fn saw(&mut self, seen: Seen, now: Millis) {
        self.event(now, seen);
    }

    /// Writes what was counted, once in each [`RECORD_INTERVAL`]. Call it at least as often.
    pub fn tick(&mut self, now: Millis) {
        let span = now.since(self.summed);
        if span < RECORD_INTERVAL || self.full {
            return;
        }
        self.summed = now;
        self.write_rates(span, now);
        for (_, decision) in std::mem::take(&mut self.decided) {
            self.event(now, Seen::Decision(decision));
        }
    }

    /// Writes an outcome that has to hold in a replay of this recording.
    pub fn states(&mut self, outcome: &StatedOutcome) {
        self.write(&write::outcome_line(outcome));
    }

    /// Writes the rates that have changed. A rate counts from the beginning of its interval,
    /// so the line bears that time.
    fn write_rates(&mut self, span: Millis, now: Millis) {
        let counted = std::mem::take(&mut self.asked);
        let known: Vec<Asked> = self.written.keys().cloned().collect();
        let silent = known
            .into_iter()
            .filter(|asked| !counted.contains_key(asked));
        let silent: Vec<(Asked, u32)> = silent.map(|asked| (asked, 0)).collect();
        for (asked, count) in counted.into_iter().chain(silent) {
            let rate = f64::from(count) / span.as_secs_f64();
            let before = self.written.get(&asked).copied().unwrap_or(0.0);
            if !differs(before, rate) {
                continue;
            }
            self.written.insert(asked.clone(), rate);
            let demand = Demand {
                source: asked.source,
                block: String::new(),
                service: asked.service,
                class: asked.class,
                at_most_once: asked.at_most_once,
                per_second: (rate * 100.0).round() / 100.0,
            };
            self.event(now - span, Seen::Demand(demand));
        }
    }

    fn event(&mut self, at: Millis, seen: Seen) {
        let event = Event {
            at: at.since(self.began),
            vm: self.vm.clone(),
            seen,
        };
        self.write(&write::event_line(&event));
    }

    fn write(&mut self, line: &str) {
        let size = line.len() + 1;
        if self.full || size > self.left {
            self.full = true;
            return;
        }
        self.left -= size;
        (self.sink)(line);
    }
}

fn differs(before: f64, now: f64) -> bool {
    (now - before).abs() * 1000.0 > before * RATE_CHANGE_PERMILLE
}

//! Load reports between daemons: differences with their age, batched within a bound.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One VM's load, each value under a short name that the reporting packages agree on.
pub type Loads = BTreeMap<Arc<str>, u32>;

/// A part of one VM's report: the values that changed since the version it follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelta {
    /// The VM that reports.
    #[serde(rename = "v")]
    vm: VmName,
    /// The run of the VM that reports.
    #[serde(rename = "i")]
    incarnation: Incarnation,
    /// Orders the reports of one run.
    #[serde(rename = "n")]
    number: u64,
    /// How long ago the values were measured, when this message was written.
    #[serde(rename = "g")]
    age: Millis,
    /// The number of the report that the values are a delta from; zero for all values.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    base: u64,
    #[serde(rename = "l")]
    loads: Loads,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// What one message carries.
pub type Batch = Vec<ReportDelta>;

/// How far a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// To a VM of the same domain, which gets reports of all VMs.
    Domain,
    /// To a VM of another domain, which gets this VM's own report and keeps it to itself.
    OtherDomain,
}

type NextBatch = Rc<dyn Fn(Scope) -> Option<Batch>>;

/// How heartbeats exchange reports.
#[derive(Clone)]
pub struct ReportPort {
    /// Takes what to send to a VM, where there is anything.
    pub next_batch: NextBatch,
    /// Takes in what a VM sent.
    pub merge: Rc<dyn Fn(Scope, Batch)>,
}

/// The latest report of one VM.
#[derive(Clone, Debug)]
struct Report {
    incarnation: Incarnation,
    number: u64,
    measured_at: Millis,
    loads: Loads,
    /// The values that the latest report changed, and the report that they changed.
    changed: Loads,
    base: u64,
    /// Messages that carried the report.
    send_count: u32,
}

/// A report as decisions read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportView {
    /// The run of the VM that reports.
    pub incarnation: Incarnation,
    /// How long ago the values were measured, at least.
    pub age: Millis,
    /// The values.
    pub loads: Loads,
}

/// Limits of the reports.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Values that one message carries at most.
    pub max_values_per_message: usize,
    /// Messages in which a daemon sends one report of its own.
    pub max_own_sends: u32,
    /// Messages in which a daemon passes one report of another VM on.
    pub max_forwards: u32,
    /// Reports older than this are forgotten.
    pub max_age: Millis,
}

impl Default for ReportOptions {
    fn default() -> Self {
        Self {
            max_values_per_message: 14,
            max_own_sends: 6,
            max_forwards: 2,
            max_age: Millis(30_000),
        }
    }
}

/// The latest reports of all VMs that one daemon has heard.
#[derive(Clone)]
pub struct ReportTable {
    me: VmName,
    timer: Timer,
    options: ReportOptions,
    reports: Rc<RefCell<BTreeMap<VmName, Report>>>,
}

impl ReportTable {
    /// Makes an empty board.
    pub fn new(me: VmName, timer: Timer, options: ReportOptions) -> Self {
        Self {
            me,
            timer,
            options,
            reports: Rc::default(),
        }
    }

    /// Reports this daemon's own loads. Values that did not change are not sent again.
    pub fn publish(&self, incarnation: Incarnation, loads: Loads) {
        let mut reports = self.reports.borrow_mut();
        let last = reports
            .get(&self.me)
            .filter(|r| r.incarnation == incarnation);
        let (number, changed, base) = match last {
            // A value that disappeared can't be told by a delta.
            Some(last) if last.loads.keys().all(|name| loads.contains_key(name)) => {
                let differs =
                    |(name, load): &(&Arc<str>, &u32)| last.loads.get(*name) != Some(load);
                let changed = loads.iter().filter(differs);
                let changed = changed
                    .map(|(name, load)| (Arc::clone(name), *load))
                    .collect();
                (last.number + 1, changed, last.number)
            }
            Some(last) => (last.number + 1, loads.clone(), 0),
            None => (1, loads.clone(), 0),
        };
        let report = Report {
            incarnation,
            number,
            measured_at: self.timer.now(),
            loads,
            changed,
            base,
            send_count: 0,
        };
        reports.insert(self.me.clone(), report);
    }

    /// Gives the latest report of a VM.
    pub fn view(&self, vm: &VmName) -> Option<ReportView> {
        let now = self.timer.now();
        let reports = self.reports.borrow();
        reports.get(vm).map(|report| ReportView {
            incarnation: report.incarnation,
            age: now.since(report.measured_at),
            loads: report.loads.clone(),
        })
    }

    /// Takes what the next message carries: the least sent reports first, then the freshest.
    pub fn next_batch(&self, scope: Scope) -> Option<Batch> {
        let now = self.timer.now();
        if scope == Scope::OtherDomain {
            let reports = self.reports.borrow();
            let own = reports.get(&self.me)?;
            return Some(vec![own.full(&self.me, now)]);
        }
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, r| now.since(r.measured_at) < self.options.max_age);
        let max_sends = |vm: &VmName| match *vm == self.me {
            true => self.options.max_own_sends,
            false => self.options.max_forwards,
        };
        let mut queue: Vec<_> = reports
            .iter_mut()
            .filter(|(vm, r)| r.send_count < max_sends(vm))
            .collect();
        queue.sort_by_key(|(_, r)| (r.send_count, now.since(r.measured_at)));
        let mut batch = Vec::new();
        let mut values = 0;
        for (vm, report) in queue {
            let delta = report.delta(vm, now);
            values += delta.loads.len() + 1;
            if values > self.options.max_values_per_message && !batch.is_empty() {
                break;
            }
            report.send_count += 1;
            batch.push(delta);
        }
        (!batch.is_empty()).then_some(batch)
    }

    /// Takes in what a VM sent. A delta from a report that this daemon does not have
    /// is left out; the full values come with a later message.
    pub fn merge(&self, scope: Scope, batch: Batch) {
        let now = self.timer.now();
        let mut reports = self.reports.borrow_mut();
        for delta in batch {
            if delta.vm == self.me || delta.age >= self.options.max_age {
                continue;
            }
            let known = reports.get(&delta.vm);
            if let Some(mut report) = Report::from_delta(known, &delta, now) {
                if scope == Scope::OtherDomain {
                    // Reports of all domains would crowd out those of this one.
                    report.send_count = u32::MAX;
                }
                reports.insert(delta.vm, report);
            }
        }
    }

    /// Gives the port that heartbeats use.
    pub fn port(&self) -> ReportPort {
        let (sender, receiver) = (self.clone(), self.clone());
        ReportPort {
            next_batch: Rc::new(move |scope| sender.next_batch(scope)),
            merge: Rc::new(move |scope, batch| receiver.merge(scope, batch)),
        }
    }
}

impl Report {
    /// Gives the values that changed, and every other time all of them, for those who
    /// missed the report before.
    fn delta(&self, vm: &VmName, now: Millis) -> ReportDelta {
        let full = self.full(vm, now);
        if self.base == 0 || self.send_count % 2 == 1 {
            return full;
        }
        ReportDelta {
            base: self.base,
            loads: self.changed.clone(),
            ..full
        }
    }

    fn full(&self, vm: &VmName, now: Millis) -> ReportDelta {
        ReportDelta {
            vm: vm.clone(),
            incarnation: self.incarnation,
            number: self.number,
            age: now.since(self.measured_at),
            base: 0,
            loads: self.loads.clone(),
        }
    }

    fn from_delta(known: Option<&Report>, delta: &ReportDelta, now: Millis) -> Option<Report> {
        let known = known.filter(|r| r.incarnation == delta.incarnation);
        if known.is_some_and(|r| r.number >= delta.number) {
            return None;
        }
        let mut loads = Loads::new();
        if delta.base != 0 {
            loads.clone_from(&known.filter(|r| r.number == delta.base)?.loads);
        }
        loads.extend(delta.loads.clone());
        Some(Report {
            incarnation: delta.incarnation,
            number: delta.number,
            measured_at: now - delta.age,
            loads,
            changed: delta.loads.clone(),
            base: delta.base,
            send_count: 0,
        })
    }
}
